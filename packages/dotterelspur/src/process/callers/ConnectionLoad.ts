import type { ShedReason } from './CallerLoad.js'

/** What one connection makes a process hold, besides itself. */
export enum HeldKind {
  /** Bytes that have been read and wait to be parsed. */
  Unparsed = 'unparsed',
  /** Requests that have been parsed and not been answered. */
  Requests = 'requests',
  /** Bodies of these requests. */
  Bodies = 'bodies',
  /** Responses that have not been sent. */
  Responses = 'responses'
}

/** The sockets and parsers of a connection, and the head of a request that it may be sending. */
const CONNECTION_BYTES = 16_384
/** The objects of a request and its response, and what handles it. */
const REQUEST_BYTES = 32_768

/** A connection as its owner sees it. */
export interface LoadedConnection {
  /** Whether the next step is the caller's: the rest of a body, or reading a response. */
  readonly awaitsCaller: boolean
  close (reason: ShedReason): void
}

interface ConnectionLoadListener {
  resize (changeBytes: number): void
  release (load: ConnectionLoad): void
  nowMs (): number
}

/** The part that one connection has in a `CallerLoad`. */
export class ConnectionLoad {
  private readonly bytes: Record<HeldKind, number> = { [HeldKind.Unparsed]: 0, [HeldKind.Requests]: 0, [HeldKind.Bodies]: 0, [HeldKind.Responses]: 0 }
  private totalBytes = 0
  private requestCount = 0
  private hasHadRequest = false
  private hasBeenUpgraded = false
  private isReleased = false
  private lastProgressAtMs: number

  constructor (private readonly connection: LoadedConnection, openedAtMs: number, private readonly listener: ConnectionLoadListener) {
    this.lastProgressAtMs = openedAtMs
  }

  /** When the caller last sent something, or read something. */
  get progressAtMs (): number {
    return this.lastProgressAtMs
  }

  get heldBytes (): number {
    return this.totalBytes
  }

  /** Whether it makes the process hold more than the connection itself. */
  get isLoaded (): boolean {
    return this.totalBytes > CONNECTION_BYTES
  }

  get awaitsCaller (): boolean {
    return this.connection.awaitsCaller
  }

  get isInUse (): boolean {
    return this.requestCount > 0 || this.hasBeenUpgraded
  }

  /** Whether it is no longer used for HTTP, such as a link between nodes. */
  get isUpgraded (): boolean {
    return this.hasBeenUpgraded
  }

  get wasUsed (): boolean {
    return this.hasHadRequest
  }

  begin (): void {
    this.resize(CONNECTION_BYTES)
  }

  noteProgress (): void {
    this.lastProgressAtMs = this.listener.nowMs()
  }

  noteUpgrade (): void {
    this.hasBeenUpgraded = true
  }

  beginRequest (): void {
    this.hasHadRequest = true
    this.requestCount += 1
    this.hold(HeldKind.Requests, this.requestCount * REQUEST_BYTES)
  }

  endRequest (): void {
    this.requestCount -= 1
    this.hold(HeldKind.Requests, this.requestCount * REQUEST_BYTES)
  }

  /** Sets what is held of one kind. */
  hold (kind: HeldKind, bytes: number): void {
    if (this.isReleased) return
    const changeBytes = bytes - this.bytes[kind]
    this.bytes[kind] = bytes
    this.resize(changeBytes)
  }

  /** Changes what is held of one kind. */
  grow (kind: HeldKind, changeBytes: number): void {
    this.hold(kind, this.bytes[kind] + changeBytes)
  }

  close (reason: ShedReason): void {
    this.release()
    this.connection.close(reason)
  }

  /** The connection is gone. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.listener.release(this)
    this.resize(-this.totalBytes)
  }

  private resize (changeBytes: number): void {
    this.totalBytes += changeBytes
    this.listener.resize(changeBytes)
  }
}
