import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { HeldKind, ShedReason, type CallerLoad, type Clock, type ConnectionLoad, type LoadedConnection, type ReadTurns, type Teardown, type TurnTaker } from 'dotterelspur'
import { SocketStandIn } from './SocketStandIn.js'

const KIB = 1_024
/** Requests of one connection that are handled at a time, and after which no more are read. */
const MAX_AHEAD = 8
const MIN_SLICE_BYTES = KIB
/** Holds a usual request. */
const FIRST_SLICE_BYTES = 2 * KIB
const MAX_SLICE_BYTES = 64 * KIB
/** A slice that is parsed faster is followed by a larger one, and one that takes longer by a smaller one. */
const FAST_SLICE_MS = 0.25
const SLOW_SLICE_MS = 2
const MAX_SEND_BYTES = 256 * KIB
/** After its response, so much of a body is read and dropped, so that a caller that is still sending receives the response. */
const MAX_DROPPED_BYTES = 8 * KIB * KIB
/** How long a caller that is told of the close may take to receive its response and to close its side. */
const LINGER_MS = 5_000

type WriteCallback = (error?: Error | null) => void

interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
}

export interface GuardedConnectionParts {
  readonly load: CallerLoad
  readonly turns: ReadTurns
  readonly clock: Clock
}

/**
 * A caller's connection that hands on what it receives in slices, and stops reading while too many requests of it have not been answered. Stands in
 * for the socket in requests of an HTTP server.
 */
export class GuardedConnection extends SocketStandIn implements LoadedConnection, TurnTaker {
  readonly load: ConnectionLoad | null
  private readonly exchanges = new Set<Exchange>()
  /** Handlers of requests that were parsed with those before them, and wait for their responses. */
  private readonly delayed: Array<() => void> = []
  private sliceBytes = FIRST_SLICE_BYTES
  private isWanted = false
  /** Where the rest of a body whose request has been answered ends at the latest, in bytes of the connection. */
  private dropEndBytes = Infinity
  private tookMs = 0
  /** Bytes of the connection when its last response was complete; null before that. */
  private idleAtBytes: number | null = null
  /** The last request that was answered before its body was complete. */
  private cutRequest: IncomingMessage | null = null
  private cancelLinger: Teardown | null = null

  constructor (raw: Socket, private readonly parts: GuardedConnectionParts) {
    super(raw)
    // Each request that has not been answered listens for the end of its connection.
    this.setMaxListeners(0)
    this.load = parts.load.add(this)
    raw.on('readable', () => { this.receive() })
    raw.on('end', () => { if (this.isLingering) this.destroy(); else this.push(null) })
    raw.on('error', (error) => { this.destroy(error) })
    raw.on('close', () => { if (!this.destroyed) this.destroy() })
  }

  /** Whether the next step is the caller's: the rest of a body, or reading a response. */
  get awaitsCaller (): boolean {
    return this.writableLength > 0 || (this.isInsideBody && !this.isBodyPaused)
  }

  /** Whether it has been used, and its caller has begun no other request. */
  get isIdle (): boolean {
    return this.exchanges.size === 0 && !this.isInsideBody && this.raw.readableLength === 0 && this.idleAtBytes === this.raw.bytesRead
  }

  /** Whether its last response has been sent, and what the caller still sends is dropped until it closes its side. */
  get isLingering (): boolean {
    return this.cancelLinger !== null
  }

  /** Time that parsing has taken lately. */
  get spentMs (): number {
    return this.tookMs
  }

  /**
   * Destroys the connection once everything has been written. Bytes that are unread by then would turn the close into a reset, which takes a response with it
   * that the caller has not received: while a body is incomplete, the rest is dropped until the caller closes its side.
   */
  destroySoon (): void {
    if (this.writable) this.end()
    if (this.writableFinished) this.closeOrLinger()
    else this.once('finish', () => { this.closeOrLinger() })
  }

  /** Counts a request until it has been answered, and handles it once few others of this connection are. */
  accept (request: IncomingMessage, response: ServerResponse, handle: () => void): void {
    const exchange: Exchange = { request, response }
    this.exchanges.add(exchange)
    this.dropEndBytes = Infinity
    this.cutRequest = null
    this.load?.beginRequest()
    response.once('prefinish', () => { this.noteResponses() })
    response.once('close', () => {
      this.exchanges.delete(exchange)
      this.idleAtBytes = this.raw.bytesRead
      if (!request.complete) this.noteCutBody(request)
      this.load?.endRequest()
      this.noteResponses()
      this.delayed.shift()?.()
      this.waitForTurn()
    })
    if (this.exchanges.size <= MAX_AHEAD) handle()
    else this.delayed.push(handle)
  }

  /** The connection is no longer used for HTTP, and counts as in use until it is closed. */
  noteUpgrade (): void {
    this.load?.noteUpgrade()
  }

  /** Counts a body that is held for a request of this connection. */
  growBodies (changeBytes: number): void {
    if (changeBytes >= 0) this.load?.noteProgress()
    this.load?.grow(HeldKind.Bodies, changeBytes)
  }

  /** Called by the owner of what callers make the process hold. */
  close (_reason: ShedReason): void {
    this.destroy()
  }

  giveWay (): void {
    if (this.load !== null) this.parts.load.shed(this.load, ShedReason.Work)
  }

  takeTurn (): void {
    if (!this.mayPass || this.raw.readableLength === 0) return
    this.pass()
  }

  override _read (): void {
    this.isWanted = true
    // Its caller could not go on with a body that was paused.
    if (this.isInsideBody) this.load?.noteProgress()
    this.waitForTurn()
  }

  override _write (chunk: Buffer | string, encoding: BufferEncoding, callback: WriteCallback): void {
    this.noteResponses()
    this.send(typeof chunk === 'string' ? Buffer.from(chunk, encoding) : chunk, callback)
  }

  override _writev (chunks: Array<{ chunk: Buffer | string, encoding: BufferEncoding }>, callback: WriteCallback): void {
    this.noteResponses()
    this.sendAll(chunks.map(({ chunk, encoding }) => typeof chunk === 'string' ? Buffer.from(chunk, encoding) : chunk), callback)
  }

  override _final (callback: WriteCallback): void {
    this.raw.end(() => { callback() })
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.parts.turns.remove(this)
    this.cancelLinger?.()
    this.delayed.splice(0)
    this.load?.release()
    this.raw.destroy()
    callback(error)
  }

  private get mayPass (): boolean {
    return this.isWanted && !this.destroyed && !this.isLingering && this.exchanges.size < MAX_AHEAD
  }

  private get isInsideBody (): boolean {
    if (this.cutRequest?.complete === false) return true
    for (const { request } of this.exchanges) if (!request.complete) return true
    return false
  }

  /** Whether the rest of a body is not read because this process has no room for it. */
  private get isBodyPaused (): boolean {
    for (const { request } of this.exchanges) if (!request.complete && request.isPaused()) return true
    return false
  }

  private noteCutBody (request: IncomingMessage): void {
    this.cutRequest = request
    this.dropEndBytes = this.raw.bytesRead + MAX_DROPPED_BYTES
  }

  private closeOrLinger (): void {
    if (this.destroyed || this.isLingering) return
    if (!this.isInsideBody && this.raw.readableLength === 0) {
      this.destroy()
      return
    }
    this.cancelLinger = this.parts.clock.registerTimer(LINGER_MS, () => { this.destroy() })
    this.parts.turns.remove(this)
    this.dropUnread()
  }

  /** Bytes are taken from the socket without being parsed. */
  private dropUnread (): void {
    while (this.raw.read() !== null) { /* The response has been sent. */ }
    this.noteUnparsed()
  }

  /** The raw socket stops reading by itself while what it has read is not taken. */
  private receive (): void {
    if (this.exchanges.size === 0) this.load?.noteProgress()
    if (this.raw.bytesRead > this.dropEndBytes) return this.giveWay()
    if (this.isLingering) return this.dropUnread()
    this.noteUnparsed()
    if (this.raw.readableLength === 0) this.readEnd()
    else if (this.mayPass && this.raw.readableLength <= this.sliceBytes && this.parts.turns.hasTime) this.pass()
    else this.waitForTurn()
  }

  private waitForTurn (): void {
    if (this.raw.readableLength > 0 && this.mayPass) this.parts.turns.add(this)
  }

  private pass (): void {
    const bytes = this.raw.read(Math.min(this.sliceBytes, this.raw.readableLength)) as Buffer
    this.noteUnparsed()
    this.isWanted = false
    const tookMs = this.parts.turns.spend(() => { this.push(bytes) })
    this.tookMs += tookMs
    if (tookMs > SLOW_SLICE_MS) this.sliceBytes = Math.max(MIN_SLICE_BYTES, this.sliceBytes / 2)
    else if (tookMs < FAST_SLICE_MS && bytes.length === this.sliceBytes) this.sliceBytes = Math.min(MAX_SLICE_BYTES, this.sliceBytes * 2)
    if (this.raw.readableLength > 0) return
    this.tookMs /= 2
    this.readEnd()
  }

  /** A socket without data that has ended says so once it is read. */
  private readEnd (): void {
    this.raw.read(0)
  }

  /** Sends small pieces together. */
  private sendAll (pieces: readonly Buffer[], callback: WriteCallback): void {
    const [first, ...rest] = pieces
    if (first === undefined) return callback()
    if (pieces.some(({ length }) => length > MAX_SEND_BYTES)) return this.send(first, (error) => { if (error) callback(error); else this.sendAll(rest, callback) })
    this.raw.cork()
    for (const piece of pieces.slice(0, -1)) this.raw.write(piece)
    this.raw.write(pieces.at(-1)!, (error) => { this.noteWritten(error, callback) })
    this.raw.uncork()
  }

  /** Sends a large piece in parts, so that a caller that reads it slowly is seen to make progress. */
  private send (piece: Buffer, callback: WriteCallback): void {
    const rest = piece.subarray(MAX_SEND_BYTES)
    this.raw.write(piece.subarray(0, MAX_SEND_BYTES), (error) => {
      if (error || rest.length === 0) return this.noteWritten(error, callback)
      this.load?.noteProgress()
      this.send(rest, callback)
    })
  }

  private noteUnparsed (): void {
    this.load?.hold(HeldKind.Unparsed, this.raw.readableLength)
  }

  private noteResponses (): void {
    let bytes = this.writableLength
    for (const { response } of this.exchanges) if (response.socket === null) bytes += response.writableLength
    this.load?.hold(HeldKind.Responses, bytes)
  }

  private noteWritten (error: Error | null | undefined, callback: WriteCallback): void {
    this.load?.noteProgress()
    callback(error)
    this.noteResponses()
  }
}

/** The connection of a guarded listener; null for another. */
export function guardedConnection (socket: Duplex): GuardedConnection | null {
  return socket instanceof GuardedConnection ? socket : null
}
