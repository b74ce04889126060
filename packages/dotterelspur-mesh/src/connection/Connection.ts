import type { WebSocket, RawData } from 'ws'
import { type Frame, FrameKind, type MemberRecord } from 'dotterelspur'
import { decodeFrame, encodeFrame } from './FrameCodec.js'
import type { MeshMetrics } from './MeshMetrics.js'
import type { SocketMessage } from './SocketInbox.js'

/** Gossip frames are dropped above this share of the queue limit; later digests and retries replace their content. */
const GOSSIP_QUEUE_SHARE = 1 / 8
/** A call is rejected above this share of the queue limit, before any of its frames is sent. */
const CALL_QUEUE_SHARE = 1 / 2
const POLICY_VIOLATION = 1008
const NORMAL_CLOSE = 1000
const MAX_REASON_BYTES = 100

/** Limits of one connection; all nodes of a fleet should use the same values. */
export interface ConnectionLimits {
  readonly maxFrameBytes: number
  readonly maxQueuedBytes: number
}

/** A document body has at most 1 MiB; the rest of a frame is for its other fields. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = { maxFrameBytes: 1_310_720, maxQueuedBytes: 8_388_608 }

export enum SendResult {
  Sent = 'sent',
  /** The connection is closed; nothing was sent. */
  Closed = 'closed',
  /** The frame exceeds the size that the peer accepts; nothing was sent. */
  TooLarge = 'too-large'
}

export enum ConnectionPurpose {
  Gossip = 0,
  Call = 1
}

/** An established connection to an authenticated peer process. */
export class Connection {
  private frameListener: ((frame: Frame) => void) | undefined
  private closeListener: ((reason: string) => void) | undefined
  private earlyFrames: Frame[] = []
  private closeReason: string | undefined

  constructor (
    private readonly socket: WebSocket,
    readonly peer: MemberRecord,
    readonly purpose: ConnectionPurpose,
    readonly isDialer: boolean,
    private readonly metrics: MeshMetrics,
    private readonly limits: ConnectionLimits,
    earlyMessages: readonly SocketMessage[]
  ) {
    for (const message of earlyMessages) this.onMessage(message.data, message.isBinary)
    socket.on('message', (data, isBinary) => this.onMessage(data, isBinary))
    socket.on('close', (_code, reason) => this.onClose(reason.toString()))
    socket.on('error', (error) => this.onClose(error.message))
    if (socket.readyState === socket.CLOSED) this.closeReason = 'connection lost'
  }

  get isOpen (): boolean {
    return this.closeReason === undefined && this.socket.readyState === this.socket.OPEN
  }

  /** Whether too many bytes are queued to start another call. */
  get isFull (): boolean {
    return this.socket.bufferedAmount > this.limits.maxQueuedBytes * CALL_QUEUE_SHARE
  }

  get queuedBytes (): number {
    return this.socket.bufferedAmount
  }

  /** Sets the listeners; frames received before are passed to `onFrame` at once. */
  setListeners (onFrame: (frame: Frame) => void, onClose: (reason: string) => void): void {
    this.frameListener = onFrame
    this.closeListener = onClose
    const frames = this.earlyFrames
    this.earlyFrames = []
    for (const frame of frames) onFrame(frame)
    if (this.closeReason !== undefined) onClose(this.closeReason)
  }

  /** Sends a gossip frame, or drops and counts it if the peer reads too slowly. */
  sendGossip (frame: Frame): void {
    if (!this.isOpen) return
    if (this.socket.bufferedAmount > this.limits.maxQueuedBytes * GOSSIP_QUEUE_SHARE) this.metrics.countDropped(frame.kind)
    else this.write(frame)
  }

  sendCall (frame: Frame): SendResult {
    return this.isOpen ? this.write(frame) : SendResult.Closed
  }

  ping (): void {
    if (this.isOpen) this.socket.ping()
  }

  /** Registers a listener for pings and pongs, which show that the peer is alive while a connection carries no frames. */
  setActivityListener (listener: () => void): void {
    this.socket.on('pong', listener)
    this.socket.on('ping', listener)
  }

  close (reason: string): void {
    if (this.closeReason !== undefined) return
    this.metrics.countClosed(reason)
    this.socket.close(NORMAL_CLOSE, reason.slice(0, MAX_REASON_BYTES))
  }

  terminate (reason: string): void {
    this.metrics.countClosed(reason)
    this.socket.terminate()
    this.onClose(reason)
  }

  private write (frame: Frame): SendResult {
    const bytes = encodeFrame(frame)
    if (bytes.length > this.limits.maxFrameBytes) return SendResult.TooLarge
    if (this.socket.bufferedAmount + bytes.length > this.limits.maxQueuedBytes) {
      this.terminate('queue-full')
      return SendResult.Closed
    }
    this.metrics.countSent(frame.kind, bytes.length + headerBytes(bytes.length, this.isDialer))
    this.socket.send(bytes)
    return SendResult.Sent
  }

  private onMessage (data: RawData, isBinary: boolean): void {
    const bytes = data as Buffer
    const decoded = isBinary ? decodeFrame(bytes) : undefined
    if (decoded === undefined || !decoded.ok) {
      this.metrics.countMalformed()
      this.socket.close(POLICY_VIOLATION, (decoded === undefined ? 'text frame' : decoded.error.reason).slice(0, MAX_REASON_BYTES))
      return
    }
    const frame = decoded.value
    this.metrics.countReceived(frame.kind, bytes.length + headerBytes(bytes.length, !this.isDialer))
    if (this.purposeOf(frame) !== this.purpose) {
      this.metrics.countMalformed()
      this.socket.close(POLICY_VIOLATION, 'frame on the wrong kind of connection')
      return
    }
    if (this.frameListener === undefined) this.earlyFrames.push(frame)
    else this.frameListener(frame)
  }

  private purposeOf (frame: Frame): ConnectionPurpose {
    return frame.kind >= FrameKind.CallOpen ? ConnectionPurpose.Call : ConnectionPurpose.Gossip
  }

  private onClose (reason: string): void {
    if (this.closeReason !== undefined) return
    this.closeReason = reason === '' ? 'connection lost' : reason
    this.closeListener?.(this.closeReason)
  }
}

const SMALL_PAYLOAD = 125
const MEDIUM_PAYLOAD = 65_535
const MASK_BYTES = 4

/** Size of a WebSocket frame's header; frames sent by the client end are masked. */
export function headerBytes (payloadBytes: number, masked: boolean): number {
  const lengthBytes = payloadBytes <= SMALL_PAYLOAD ? 2 : payloadBytes <= MEDIUM_PAYLOAD ? 4 : 10
  return lengthBytes + (masked ? MASK_BYTES : 0)
}
