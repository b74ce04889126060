import { type CallEvent, CallEventKind, FrameKind, type MeshError, MeshErrorKind } from 'dotterelspur'
import type { Connection } from '../connection/Connection.js'

/** One call that this node makes: events wait here until the caller takes them, as many as the credit allows. */
export class OutgoingCall {
  private readonly events: CallEvent[] = []
  private pendingRead: ((event: CallEvent) => void) | undefined
  private isEnded = false
  private consumed = 0

  constructor (private readonly connection: Connection, readonly call: number, private readonly creditWindow: number) {}

  deliver (message: unknown): void {
    this.push({ kind: CallEventKind.Message, message })
  }

  end (): void {
    this.finish({ kind: CallEventKind.End })
  }

  fail (error: MeshError): void {
    this.finish({ kind: CallEventKind.Error, error })
  }

  /** Tells the peer to stop. What it has done until then is done. */
  cancel (reason: string): void {
    if (this.isEnded) return
    this.connection.sendCall({ kind: FrameKind.CallCancel, call: this.call })
    this.fail({ kind: MeshErrorKind.Interrupted, reason })
  }

  async next (): Promise<CallEvent> {
    const waiting = this.events.shift()
    const event = waiting ?? await new Promise<CallEvent>((resolve) => { this.pendingRead = resolve })
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
    const taker = this.pendingRead
    this.pendingRead = undefined
    if (taker === undefined) this.events.push(event)
    else taker(event)
  }

  /** Grants credit in portions of half the window, so that one credit frame serves many messages. */
  private noteConsumed (): void {
    this.consumed += 1
    if (this.isEnded || this.consumed < this.creditWindow / 2) return
    this.connection.sendCall({ kind: FrameKind.CallCredit, call: this.call, credit: this.consumed })
    this.consumed = 0
  }
}
