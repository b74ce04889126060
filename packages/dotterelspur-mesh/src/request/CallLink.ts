import { type Frame, FrameKind, failed, type MeshError, MeshErrorKind, type Result, success } from 'dotterelspur'
import { type Connection, SendResult } from '../connection/Connection.js'
import type { CallLimits } from './CallLimits.js'
import { OutgoingCall } from './OutgoingCall.js'

const ERROR_KINDS = Object.values(MeshErrorKind)

/** A connection to another process, for calls that this node makes. */
export class CallLink {
  private readonly calls = new Map<number, OutgoingCall>()
  private lastCallId = 0
  idleSinceMs: number
  lastActivityAtMs: number

  constructor (readonly connection: Connection, private readonly limits: CallLimits, private readonly nowMs: () => number, onClosed: () => void) {
    this.idleSinceMs = nowMs()
    this.lastActivityAtMs = nowMs()
    connection.setActivityListener(() => { this.lastActivityAtMs = nowMs() })
    connection.setListeners((frame) => this.onFrame(frame), (reason) => {
      this.failAll(reason)
      onClosed()
    })
  }

  get isIdle (): boolean {
    return this.calls.size === 0
  }

  /** Sends the call. An error means that nothing was sent. */
  open (method: string, request: unknown): Result<OutgoingCall, MeshError> {
    const { connection } = this
    if (connection.isFull) return failed({ kind: MeshErrorKind.Overloaded, reason: `${connection.queuedBytes} bytes are queued for ${connection.peer.node}` })
    this.lastCallId += 1
    const call = this.lastCallId
    const { incarnation } = connection.peer
    const sent = connection.sendCall({ kind: FrameKind.CallOpen, call, incarnation, credit: this.limits.creditWindow, method, request })
    if (sent === SendResult.Closed) return failed({ kind: MeshErrorKind.Unreachable, reason: 'the connection closed before the call was sent' })
    if (sent === SendResult.TooLarge) return failed({ kind: MeshErrorKind.Rejected, reason: 'the request exceeds the maximum frame size; nothing was sent' })
    const outgoing = new OutgoingCall(connection, call, this.limits.creditWindow)
    this.calls.set(call, outgoing)
    return success(outgoing)
  }

  /** Called once the caller has read the call's last event or stopped reading; cancels the call if it still runs. */
  release (call: OutgoingCall): void {
    call.cancel('the caller stopped reading')
    this.calls.delete(call.callId)
    this.idleSinceMs = this.nowMs()
  }

  private onFrame (frame: Frame): void {
    this.lastActivityAtMs = this.nowMs()
    if (frame.kind === FrameKind.CallMessage) this.calls.get(frame.call)?.deliver(frame.message)
    else if (frame.kind === FrameKind.CallEnd) this.calls.get(frame.call)?.end()
    else if (frame.kind === FrameKind.CallError) this.calls.get(frame.call)?.fail({ kind: errorKindOf(frame.error), reason: frame.reason })
  }

  private failAll (reason: string): void {
    for (const call of this.calls.values()) call.fail({ kind: MeshErrorKind.Interrupted, reason })
  }
}

/** An unknown kind, as from a newer version, does not show whether the call ran, so it is treated as an interruption. */
function errorKindOf (text: string): MeshErrorKind {
  return ERROR_KINDS.find((kind) => kind === text) ?? MeshErrorKind.Interrupted
}
