import { type DocumentVersion, failed, type Frame, FrameKind, type MemberVersion, type Result, success } from 'dotterelspur'
import { Packr } from 'msgpackr'
import { FieldReader } from './FieldReader.js'
import { readDocument, readFullLine, readHealth, readMember, readShortLine, writeDocument, writeFullLine, writeMember, writeShortLine } from './recordCodec.js'

/** Why the bytes of a frame could not be decoded. */
export interface MalformedFrame {
  readonly reason: string
}

/** Encodes and decodes the fields of one kind of frame; the kind precedes them on the wire. */
interface Codec<One extends Frame> {
  readonly write: (frame: One) => unknown[]
  readonly read: (fields: FieldReader) => Omit<One, 'kind'>
}

type Codecs = { readonly [Kind in Frame['kind']]: Codec<Extract<Frame, { kind: Kind }>> }

const writeVersion = ({ key, version }: DocumentVersion): unknown[] => [key, version]
const readVersion = (fields: FieldReader): DocumentVersion => ({ key: fields.text('key'), version: fields.integer('version', 1) })
const writeMemberVersion = (version: MemberVersion): unknown[] => [version.node, version.incarnation, version.revision, version.health]
const readMemberVersion = (fields: FieldReader): MemberVersion =>
  ({ node: fields.text('node'), incarnation: fields.integer('incarnation'), revision: fields.integer('revision'), health: readHealth(fields) })

const CODECS: Codecs = {
  [FrameKind.Beat]: {
    write: (frame) => [frame.sequence, frame.echoSequence, frame.echoHeldMs, frame.membersDigest, frame.documentsDigest, frame.storeAgeMs, frame.full.map(writeFullLine), frame.short.map(writeShortLine)],
    read: (fields) => ({
      sequence: fields.integer('sequence', 1),
      echoSequence: fields.integer('echoSequence'),
      echoHeldMs: fields.integer('echoHeldMs'),
      membersDigest: fields.integer('membersDigest'),
      documentsDigest: fields.integer('documentsDigest'),
      storeAgeMs: fields.integer('storeAgeMs', -1),
      full: fields.list('full', readFullLine),
      short: fields.list('short', readShortLine)
    })
  },
  [FrameKind.Members]: {
    write: (frame) => [frame.records.map(writeMember)],
    read: (fields) => ({ records: fields.list('records', readMember) })
  },
  [FrameKind.MembersSync]: {
    write: (frame) => [frame.versions.map(writeMemberVersion)],
    read: (fields) => ({ versions: fields.list('versions', readMemberVersion) })
  },
  [FrameKind.Announce]: {
    write: (frame) => [frame.versions.map(writeVersion)],
    read: (fields) => ({ versions: fields.list('versions', readVersion) })
  },
  [FrameKind.Want]: {
    write: (frame) => [frame.keys],
    read: (fields) => ({ keys: fields.list('keys', (item) => item.text('key')) })
  },
  [FrameKind.Documents]: {
    write: (frame) => [frame.documents.map(writeDocument)],
    read: (fields) => ({ documents: fields.list('documents', readDocument) })
  },
  [FrameKind.DocumentsSync]: {
    write: (frame) => [frame.buckets],
    read: (fields) => ({ buckets: fields.list('buckets', (item) => item.integer('bucket')) })
  },
  [FrameKind.DocumentVersions]: {
    write: (frame) => [frame.versions.map(writeVersion)],
    read: (fields) => ({ versions: fields.list('versions', readVersion) })
  },
  [FrameKind.ProbeAsk]: {
    write: (frame) => [frame.target, frame.incarnation],
    read: (fields) => ({ target: fields.text('target'), incarnation: fields.integer('incarnation') })
  },
  [FrameKind.ProbeReply]: {
    write: (frame) => [frame.target, frame.incarnation, frame.heardAgeMs],
    read: (fields) => ({ target: fields.text('target'), incarnation: fields.integer('incarnation'), heardAgeMs: fields.integer('heardAgeMs') })
  },
  [FrameKind.Leaving]: { write: () => [], read: () => ({}) },
  [FrameKind.CallOpen]: {
    write: (frame) => [frame.call, frame.incarnation, frame.credit, frame.method, frame.request],
    read: (fields) => ({ call: fields.integer('call'), incarnation: fields.integer('incarnation'), credit: fields.integer('credit', 1), method: fields.text('method'), request: fields.any() })
  },
  [FrameKind.CallMessage]: {
    write: (frame) => [frame.call, frame.message],
    read: (fields) => ({ call: fields.integer('call'), message: fields.any() })
  },
  [FrameKind.CallEnd]: { write: (frame) => [frame.call], read: (fields) => ({ call: fields.integer('call') }) },
  [FrameKind.CallError]: {
    write: (frame) => [frame.call, frame.error, frame.reason],
    read: (fields) => ({ call: fields.integer('call'), error: fields.text('error'), reason: fields.text('reason') })
  },
  [FrameKind.CallCancel]: { write: (frame) => [frame.call], read: (fields) => ({ call: fields.integer('call') }) },
  [FrameKind.CallCredit]: {
    write: (frame) => [frame.call, frame.credit],
    read: (fields) => ({ call: fields.integer('call'), credit: fields.integer('credit', 1) })
  }
}

/** Maximum number of entries in a received list; senders stay far below it. */
const MAX_LIST_ENTRIES = 65_536

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true })

export function encodeFrame (frame: Frame): Buffer {
  const codec = CODECS[frame.kind] as Codec<Frame>
  return packr.pack([frame.kind, ...codec.write(frame)])
}

/** Packs the fields of a message that is not a frame, such as those of the handshake. */
export function packFields (fields: readonly unknown[]): Buffer {
  return packr.pack(fields)
}

/** Unpacks bytes from the network into fields. */
export function unpackFields (bytes: Uint8Array): Result<readonly unknown[], MalformedFrame> {
  try {
    const value: unknown = packr.unpack(bytes)
    return Array.isArray(value) ? success(value as unknown[]) : failed({ reason: 'not a list of fields' })
  } catch (error) {
    return failed({ reason: `not MessagePack: ${(error as Error).message}` })
  }
}

/** Creates a reader for the fields of one message, with the limit on list lengths. */
export function createReader (fields: readonly unknown[]): FieldReader {
  return new FieldReader(fields, MAX_LIST_ENTRIES)
}

export function decodeFrame (bytes: Uint8Array): Result<Frame, MalformedFrame> {
  const unpacked = unpackFields(bytes)
  if (!unpacked.ok) return unpacked
  const [kind, ...fields] = unpacked.value
  const codec = typeof kind === 'number' && Object.hasOwn(CODECS, kind) ? CODECS[kind as Frame['kind']] as Codec<Frame> : undefined
  if (codec === undefined) return failed({ reason: 'unknown kind of frame' })
  const reader = createReader(fields)
  const body = codec.read(reader)
  if (reader.fault !== undefined) return failed({ reason: `${FrameKind[kind as FrameKind]}: ${reader.fault}` })
  return success({ kind, ...body } as Frame)
}
