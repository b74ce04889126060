import type { GroupPresence, ServicePresence } from '../../process/Presence.js'
import type { NodeId } from '../../process/ids.js'
import type { MeshDocument } from '../MeshApi.js'
import type { DocumentVersion } from './DocumentTable.js'
import type { MemberRecord, MemberVersion } from './MemberRecord.js'

/** Nodes of different protocol versions refuse each other in the handshake. */
export const MESH_PROTOCOL_VERSION = 1

/** Numbers on the wire; never reused for another meaning within a protocol version. The names are used as metric labels. */
export enum FrameKind {
  Beat = 1,
  Members = 2,
  MembersSync = 3,
  Announce = 4,
  Want = 5,
  Documents = 6,
  DocumentsSync = 7,
  DocumentVersions = 8,
  ProbeAsk = 9,
  ProbeReply = 10,
  Leaving = 11,
  CallOpen = 20,
  CallMessage = 21,
  CallEnd = 22,
  CallError = 23,
  CallCancel = 24,
  CallCredit = 25
}

export enum EvidenceKind {
  Group = 0,
  Service = 1
}

/** One watcher's observation of one group or service worker. */
export type EvidenceBody =
  | { readonly kind: EvidenceKind.Group, readonly presence: GroupPresence }
  | { readonly kind: EvidenceKind.Service, readonly presence: ServicePresence }

/** A complete evidence record; later load updates on the same link refer to it by `index`. */
export interface FullEvidence {
  readonly index: number
  readonly watcher: NodeId
  readonly body: EvidenceBody
}

/** The fields that change in every interval, for an evidence record that was sent in full before. */
export interface LoadUpdate {
  readonly index: number
  readonly ageMs: number
  readonly running: number
  readonly waiting: number
  readonly cachePercent: number
  readonly loadAgeMs: number
}

/**
 * The periodic message on a link. It is both a request and a response: the peer echoes `sequence`, and `echoSequence`
 * with `echoHeldMs` states how long ago, on the sender's clock, the sender received that heartbeat of the receiver. So
 * the receiver knows that this heartbeat was composed at least `echoHeldMs` after it sent its own, and dates the ages
 * in it from there.
 */
export interface HeartbeatFrame {
  readonly kind: FrameKind.Beat
  readonly sequence: number
  /** 0 while the sender has received no heartbeat from the receiver. */
  readonly echoSequence: number
  readonly echoHeldMs: number
  readonly membersDigest: number
  readonly documentsDigest: number
  /** Age of the most recent contact with the store, by the sender or through its peers; -1 for none. */
  readonly storeAgeMs: number
  readonly full: readonly FullEvidence[]
  readonly short: readonly LoadUpdate[]
}

export type GossipFrame =
  | HeartbeatFrame
  /** Member records that changed, or that a comparison found to be newer. */
  | { readonly kind: FrameKind.Members, readonly records: readonly MemberRecord[] }
  /** Versions of all the sender's member records; requests those that are newer at the receiver. */
  | { readonly kind: FrameKind.MembersSync, readonly versions: readonly MemberVersion[] }
  /** Versions of documents that the sender holds. */
  | { readonly kind: FrameKind.Announce, readonly versions: readonly DocumentVersion[] }
  | { readonly kind: FrameKind.Want, readonly keys: readonly string[] }
  | { readonly kind: FrameKind.Documents, readonly documents: readonly MeshDocument[] }
  /** Hashes of the sender's buckets; requests the versions in the buckets that differ. */
  | { readonly kind: FrameKind.DocumentsSync, readonly buckets: readonly number[] }
  | { readonly kind: FrameKind.DocumentVersions, readonly versions: readonly DocumentVersion[] }
  /** Indirect probe: asks whether the receiver has a working link to `target`. */
  | { readonly kind: FrameKind.ProbeAsk, readonly target: NodeId, readonly incarnation: number }
  | { readonly kind: FrameKind.ProbeReply, readonly target: NodeId, readonly incarnation: number, readonly heardAgeMs: number }
  /** The sender leaves the mesh; the link closes. */
  | { readonly kind: FrameKind.Leaving }

export type CallFrame =
  | { readonly kind: FrameKind.CallOpen, readonly call: number, readonly incarnation: number, readonly credit: number, readonly method: string, readonly request: unknown }
  | { readonly kind: FrameKind.CallMessage, readonly call: number, readonly message: unknown }
  | { readonly kind: FrameKind.CallEnd, readonly call: number }
  | { readonly kind: FrameKind.CallError, readonly call: number, readonly error: string, readonly reason: string }
  | { readonly kind: FrameKind.CallCancel, readonly call: number }
  | { readonly kind: FrameKind.CallCredit, readonly call: number, readonly credit: number }

export type Frame = GossipFrame | CallFrame
