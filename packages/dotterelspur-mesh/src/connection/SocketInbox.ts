import type { RawData, WebSocket } from 'ws'
import { type Clock, failed, type Result, success, type Teardown } from 'dotterelspur'

/** A message as the socket delivered it. */
export interface SocketMessage {
  readonly data: RawData
  readonly isBinary: boolean
}

/** Messages queued until they are read; a peer that sends more before it is authenticated is disconnected. */
const MAX_QUEUED_MESSAGES = 64

/** Lets a handshake read messages one at a time, and returns those that follow it for the established connection. */
export class SocketInbox {
  private queue: SocketMessage[] = []
  private pendingRead: ((message: Result<SocketMessage, string>) => void) | undefined
  private closedReason: string | undefined
  private readonly onMessage = (data: RawData, isBinary: boolean): void => this.deliver({ data, isBinary })
  private readonly onEnd = (reason: string): void => this.end(reason)
  private readonly onClose = (_code: number, reason: Buffer): void => this.end(reason.toString() || 'connection closed')
  private readonly onError = (error: Error): void => this.end(error.message)

  constructor (private readonly socket: WebSocket) {
    socket.on('message', this.onMessage)
    socket.on('close', this.onClose)
    socket.on('error', this.onError)
  }

  /** Resolves to the next message, or fails with the reason why there is none. */
  next (): Promise<Result<SocketMessage, string>> {
    const message = this.queue.shift()
    if (message !== undefined) return Promise.resolve(success(message))
    if (this.closedReason !== undefined) return Promise.resolve(failed(this.closedReason))
    return new Promise((resolve) => { this.pendingRead = resolve })
  }

  /** Makes a pending or later read fail once the timeout has passed; the teardown cancels the deadline. */
  registerDeadline (clock: Clock, timeoutMs: number): Teardown {
    return clock.registerTimer(timeoutMs, () => this.onEnd('handshake timed out'))
  }

  /** Stops listening to the socket and returns the messages that were not read. */
  detach (): readonly SocketMessage[] {
    this.socket.off('message', this.onMessage)
    this.socket.off('close', this.onClose)
    this.socket.off('error', this.onError)
    return this.queue
  }

  private deliver (message: SocketMessage): void {
    const read = this.pendingRead
    if (read !== undefined) {
      this.pendingRead = undefined
      read(success(message))
    } else if (this.queue.length < MAX_QUEUED_MESSAGES) {
      this.queue.push(message)
    } else {
      this.socket.terminate()
    }
  }

  private end (reason: string): void {
    this.closedReason ??= reason
    const read = this.pendingRead
    this.pendingRead = undefined
    read?.(failed(this.closedReason))
  }
}
