import type { GroupPresence, ServicePresence } from '../../process/Presence.js'
import type { NodeId } from '../../process/ids.js'
import type { MeshDocument } from '../MeshApi.js'
import type { DocumentVersion } from './DocumentTable.js'
import type { MemberRecord, MemberVersion } from './MemberRecord.js'

/** Nodes of different protocol versions refuse each other in the handshake. */
export const MESH_PROTOCOL_VERSION = 1

/** Numbers on the wire; never reused for another meaning within a protocol version. */
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

/** What one watcher says of one group or service worker. */
export type EvidenceBody =
  | { readonly kind: EvidenceKind.Group, readonly presence: GroupPresence }
  | { readonly kind: EvidenceKind.Service, readonly presence: ServicePresence }

/** A line in full; `index` names it in later short lines on the same link. */
export interface FullEvidence {
  readonly index: number
  readonly watcher: NodeId
  readonly body: EvidenceBody
}

/** What changes in every interval of a line that was sent in full before. */
export interface LoadUpdate {
  readonly index: number
  readonly ageMs: number
  readonly running: number
  readonly waiting: number
  readonly cachePercent: number
  readonly loadAgeMs: number
}

/**
 * The regular exchange on a link. It is at once a request and an answer: `sequence` can be echoed, and
 * `echoSequence` with `echoHeldMs` says how long ago, on the sender's clock, it received that beat of the
 * receiver's. So the receiver can place the ages in it after the time at which it asked itself.
 */
export interface HeartbeatFrame {
  readonly kind: FrameKind.Beat
  readonly sequence: number
  /** 0 when no beat of the receiver's has arrived yet. */
  readonly echoSequence: number
  readonly echoHeldMs: number
  readonly membersDigest: number
  readonly documentsDigest: number
  /** Age of the freshest contact with the store that the sender knows of; -1 for none. */
  readonly storeAgeMs: number
  readonly full: readonly FullEvidence[]
  readonly short: readonly LoadUpdate[]
}

export type GossipFrame =
  | HeartbeatFrame
  /** Member records that changed, or that a sync found newer. */
  | { readonly kind: FrameKind.Members, readonly records: readonly MemberRecord[] }
  /** All that the sender has; asks for what is newer at the receiver. */
  | { readonly kind: FrameKind.MembersSync, readonly versions: readonly MemberVersion[] }
  /** The sender holds these. */
  | { readonly kind: FrameKind.Announce, readonly versions: readonly DocumentVersion[] }
  | { readonly kind: FrameKind.Want, readonly keys: readonly string[] }
  | { readonly kind: FrameKind.Documents, readonly documents: readonly MeshDocument[] }
  /** Hashes of the sender's buckets; asks for the versions in those that differ. */
  | { readonly kind: FrameKind.DocumentsSync, readonly buckets: readonly number[] }
  | { readonly kind: FrameKind.DocumentVersions, readonly versions: readonly DocumentVersion[] }
  /** Asks whether the receiver hears `target`. */
  | { readonly kind: FrameKind.ProbeAsk, readonly target: NodeId, readonly incarnation: number }
  | { readonly kind: FrameKind.ProbeReply, readonly target: NodeId, readonly incarnation: number, readonly heardAgeMs: number }
  /** The sender leaves for good; the link closes. */
  | { readonly kind: FrameKind.Leaving }

export type CallFrame =
  | { readonly kind: FrameKind.CallOpen, readonly call: number, readonly incarnation: number, readonly credit: number, readonly method: string, readonly request: unknown }
  | { readonly kind: FrameKind.CallMessage, readonly call: number, readonly message: unknown }
  | { readonly kind: FrameKind.CallEnd, readonly call: number }
  | { readonly kind: FrameKind.CallError, readonly call: number, readonly error: string, readonly reason: string }
  | { readonly kind: FrameKind.CallCancel, readonly call: number }
  | { readonly kind: FrameKind.CallCredit, readonly call: number, readonly credit: number }

export type Frame = GossipFrame | CallFrame
