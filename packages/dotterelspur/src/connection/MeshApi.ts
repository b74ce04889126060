import type { FailureDomainId, HomeId, NodeId, RegionId } from '../process/ids.js'
import type { GroupPresence, ServicePresence } from '../process/Presence.js'
import type { Result } from '../process/Result.js'
import type { Teardown } from '../process/Teardown.js'

export enum NodeState {
  Alive = 'alive',
  /** Did not answer some peers; treated as alive until it is dead or refutes. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** Serves what it has, is in no directory answer, and will exit. */
  Draining = 'draining',
  Left = 'left'
}

/** What every node knows of a node. A higher incarnation replaces a lower one; within one, later states win as the mesh's rules say. */
export interface NodeMember {
  readonly node: NodeId
  /** Set once by the process at start; a restart has a higher one. */
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

/** The home that a member's request ids carry. */
export function homeOf (member: Pick<NodeMember, 'node' | 'incarnation'>): HomeId {
  return `${member.node}.${member.incarnation}`
}

/**
 * A versioned value that all nodes come to hold: a copy of a platform object. The highest version wins, a
 * deletion is a version with `deleted` true, and versions never fall.
 */
export interface MeshDocument {
  /** The platform key, such as `teams/tradeline`. */
  readonly key: string
  readonly version: number
  readonly body: unknown
  readonly deleted: boolean
}

/** What one node says it has in force of a document. */
export interface InForceReport {
  readonly node: NodeId
  readonly version: number
}

export enum MeshErrorKind {
  /** No such node is known, or it is dead; nothing was sent. */
  UnknownNode = 'unknown-node',
  /** The node has restarted under another incarnation; nothing was done. */
  WrongIncarnation = 'wrong-incarnation',
  /** No connection could be made; nothing was sent. */
  Unreachable = 'unreachable',
  /** It was sent, and the link broke or the time ran out before the reply. */
  Interrupted = 'interrupted',
  /** The peer's queue is full; nothing was done. */
  Overloaded = 'overloaded',
  /** The peer's handler refused or failed. */
  Rejected = 'rejected'
}

export interface MeshError {
  readonly kind: MeshErrorKind
  readonly reason: string
}

export enum CallEventKind {
  /** One message from the handler. */
  Message = 'message',
  /** The handler finished; the explicit end mark of a call. */
  End = 'end',
  Error = 'error'
}

export type CallEvent =
  | { readonly kind: CallEventKind.Message, readonly message: unknown }
  | { readonly kind: CallEventKind.End }
  | { readonly kind: CallEventKind.Error, readonly error: MeshError }

/** Serves one kind of call: yields messages, ends or throws. `signal` aborts when the caller cancels or its link breaks. */
export type CallHandler = (request: unknown, from: NodeId, signal: AbortSignal) => AsyncIterable<unknown>

/**
 * Node-to-node messaging as the other packages use it. Listeners run after a change is committed, with the
 * new snapshot already in place.
 */
export interface MeshApi {
  readonly self: NodeMember
  /** A snapshot of all known nodes, self included. */
  members (): readonly NodeMember[]
  registerMembersListener (listener: (members: readonly NodeMember[]) => void): Teardown

  document (key: string): MeshDocument | undefined
  documents (prefix: string): readonly MeshDocument[]
  /** Takes a document in if its version is higher than the one held, and spreads it. Returns whether it was taken. */
  offerDocument (document: MeshDocument): boolean
  registerDocumentListener (prefix: string, listener: (document: MeshDocument) => void): Teardown

  /** Replaces what this node, as watcher, says of the groups and services that it watches. A change for the worse is pushed at once. */
  publishPresence (groups: readonly GroupPresence[], services: readonly ServicePresence[]): void
  /** The freshest evidence held of each group, with `ageMs` as of now on this node's clock, counted from when this node asked. */
  groupPresence (): readonly GroupPresence[]
  servicePresence (): readonly ServicePresence[]

  /** Milliseconds since this node last heard the store, itself or through a peer (as the peer aged it). */
  storeContactAgeMs (): number
  /** Tells the mesh that this node itself has just heard the store. */
  noteStoreContact (): void
  /** Milliseconds since any peer answered; Infinity when there never was one, 0 when this node is alone by its settings. */
  peerContactAgeMs (): number

  /** Asks every living node which version of a document it has in force; those that don't answer in time are absent. */
  inForce (key: string, timeoutMs: number): Promise<readonly InForceReport[]>

  /** Calls a handler on the process `home`; the events end with End or Error. */
  call (home: HomeId, method: string, request: unknown, signal: AbortSignal): AsyncIterable<CallEvent>
  registerCallHandler (method: string, handler: CallHandler): Teardown

  /** Announces that this node drains; it stays a member until `leave`. */
  announceDraining (): void
  leave (): Promise<void>
}

/** What a call's single message or its error comes to, for calls that have exactly one. */
export type SingleReply = Result<unknown, MeshError>
