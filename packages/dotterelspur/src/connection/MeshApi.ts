import type { FailureDomainId, HomeId, NodeId, RegionId } from '../process/ids.js'
import type { GroupPresence, ServicePresence } from '../process/Presence.js'
import type { Result } from '../process/Result.js'
import type { Teardown } from '../process/Teardown.js'

export enum NodeState {
  Alive = 'alive',
  /** Did not respond to some peers; treated as alive until it is declared dead or refutes the suspicion. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** Finishes its current requests, is excluded from directory responses, and will exit. */
  Draining = 'draining',
  Left = 'left'
}

/**
 * A node as listed in every node's membership. A higher incarnation replaces a lower one; within one incarnation the
 * mesh's rules determine which state is newer.
 */
export interface NodeMember {
  readonly node: NodeId
  /** Set by the process at its start; a restarted process has a higher one. */
  readonly incarnation: number
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** `host:port` for peers. */
  readonly meshAddress: string
  /** Base URL for callers. */
  readonly entryAddress: string
  /** Base URL for operators. */
  readonly adminAddress: string
  readonly state: NodeState
}

/** The home in the request ids that a member issues. */
export function homeOf (member: Pick<NodeMember, 'node' | 'incarnation'>): HomeId {
  return `${member.node}.${member.incarnation}`
}

/**
 * A versioned value that is replicated to all nodes: a copy of a platform object. The highest version wins, a deletion
 * is a version with `deleted` true, and versions never decrease.
 */
export interface MeshDocument {
  /** The platform key, such as `teams/tradeline`. */
  readonly key: string
  readonly version: number
  readonly body: unknown
  readonly deleted: boolean
}

/** The version of a document that one node reports to have in force. */
export interface InForceReport {
  readonly node: NodeId
  readonly version: number
}

export enum MeshErrorKind {
  /** The node is not a member, or it is dead; nothing was sent. */
  UnknownNode = 'unknown-node',
  /** The node has restarted with another incarnation; nothing was executed. */
  WrongIncarnation = 'wrong-incarnation',
  /** No connection could be established; nothing was sent. */
  Unreachable = 'unreachable',
  /** The call was sent, and the link broke or the call timed out before the reply. */
  Interrupted = 'interrupted',
  /** The peer's queue is full; nothing was executed. */
  Overloaded = 'overloaded',
  /** The peer's handler refused the call or failed. */
  Rejected = 'rejected'
}

export interface MeshError {
  readonly kind: MeshErrorKind
  readonly reason: string
}

export enum CallEventKind {
  /** One message from the handler. */
  Message = 'message',
  /** The handler finished; explicitly marks the end of a call. */
  End = 'end',
  Error = 'error'
}

export type CallEvent =
  | { readonly kind: CallEventKind.Message, readonly message: unknown }
  | { readonly kind: CallEventKind.End }
  | { readonly kind: CallEventKind.Error, readonly error: MeshError }

/** Handles calls of one method: yields messages, then returns or throws. `signal` aborts if the caller cancels or its link breaks. */
export type CallHandler = (request: unknown, from: NodeId, signal: AbortSignal) => AsyncIterable<unknown>

/**
 * Node-to-node messaging as the other packages use it. Listeners run after a change is committed, when the new snapshot
 * is already available.
 */
export interface MeshApi {
  readonly self: NodeMember
  /** A snapshot of all known nodes, self included. */
  members (): readonly NodeMember[]
  registerMembersListener (listener: (members: readonly NodeMember[]) => void): Teardown

  document (key: string): MeshDocument | undefined
  documents (prefix: string): readonly MeshDocument[]
  /** Stores and disseminates a document if its version is higher than the stored one. Returns whether it was stored. */
  offerDocument (document: MeshDocument): boolean
  registerDocumentListener (prefix: string, listener: (document: MeshDocument) => void): Teardown

  /** Replaces this node's own observations of the groups and services that it watches. A degradation is sent to peers at once. */
  publishPresence (groups: readonly GroupPresence[], services: readonly ServicePresence[]): void
  /** The newest evidence of each group, with `ageMs` as of now on this node's clock, counted from when this node asked. */
  groupPresence (): readonly GroupPresence[]
  servicePresence (): readonly ServicePresence[]

  /** Milliseconds since the last contact with the store, of this node itself or of a peer (from the age that the peer reported). */
  storeContactAgeMs (): number
  /** Records that this node itself has just had contact with the store. */
  noteStoreContact (): void
  /** Milliseconds since the last frame from any peer; Infinity if there was none, 0 if the node has neither peers nor addresses of other nodes. */
  peerContactAgeMs (): number

  /** Asks every living node which version of a document it has in force; nodes that don't respond in time are absent from the result. */
  inForce (key: string, timeoutMs: number): Promise<readonly InForceReport[]>

  /** Calls a handler on the process `home`; the events end with End or Error. */
  call (home: HomeId, method: string, request: unknown, signal: AbortSignal): AsyncIterable<CallEvent>
  registerCallHandler (method: string, handler: CallHandler): Teardown

  /** Announces that this node drains; it stays a member until `leave`. */
  announceDraining (): void
  leave (): Promise<void>
}

/** The single message or the error of a call, for calls that yield exactly one message. */
export type SingleReply = Result<unknown, MeshError>
