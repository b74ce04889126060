import { type CallEvent, CallEventKind, FrameKind, type MeshError, MeshErrorKind } from 'dotterelspur'
import type { Connection } from '../connection/Connection.js'

/** One call that this node makes. Events are queued until the caller reads them; the credit limits their number. */
export class OutgoingCall {
  private readonly events: CallEvent[] = []
  private pendingRead: ((event: CallEvent) => void) | undefined
  private isEnded = false
  private consumed = 0

  constructor (private readonly connection: Connection, readonly callId: number, private readonly creditWindow: number) {}

  deliver (message: unknown): void {
    this.push({ kind: CallEventKind.Message, message })
  }

  end (): void {
    this.finish({ kind: CallEventKind.End })
  }

  fail (error: MeshError): void {
    this.finish({ kind: CallEventKind.Error, error })
  }

  /** Asks the peer to stop; effects that the call has had until then are not undone. */
  cancel (reason: string): void {
    if (this.isEnded) return
    this.connection.sendCall({ kind: FrameKind.CallCancel, call: this.callId })
    this.fail({ kind: MeshErrorKind.Interrupted, reason })
  }

  async next (): Promise<CallEvent> {
    const queued = this.events.shift()
    const event = queued ?? await new Promise<CallEvent>((resolve) => { this.pendingRead = resolve })
    if (event.kind === CallEventKind.Message) this.noteConsumed()
    return event
  }

  private finish (event: CallEvent): void {
    if (this.isEnded) return
    this.push(event)
    this.isEnded = true
  }

  private push (event: CallEvent): void {
    if (this.isEnded) return
    const read = this.pendingRead
    this.pendingRead = undefined
    if (read === undefined) this.events.push(event)
    else read(event)
  }

  /** Grants credit in steps of half the window, so that one credit frame covers many messages. */
  private noteConsumed (): void {
    this.consumed += 1
    if (this.isEnded || this.consumed < this.creditWindow / 2) return
    this.connection.sendCall({ kind: FrameKind.CallCredit, call: this.callId, credit: this.consumed })
    this.consumed = 0
  }
}
