import { type CallHandler, FrameKind, MeshErrorKind, type NodeId } from 'dotterelspur'
import { type Connection, SendResult } from '../connection/Connection.js'

const MAX_REASON_LENGTH = 300

/** One call served by a handler of this node. The handler is resumed for its next message only while the caller has granted credit. */
export class ServedCall {
  private readonly abort = new AbortController()
  private wakeForCredit: (() => void) | undefined

  constructor (private readonly connection: Connection, private readonly callId: number, private credit: number) {}

  async run (handler: CallHandler, request: unknown, from: NodeId): Promise<void> {
    try {
      await this.pump(handler(request, from, this.abort.signal)[Symbol.asyncIterator]())
    } catch (error) {
      this.fail(MeshErrorKind.Rejected, (error as Error).message)
    }
  }

  grant (credit: number): void {
    this.credit += credit
    this.wakeForCredit?.()
  }

  /** Called when the caller has cancelled the call or its connection has closed. */
  cancel (): void {
    this.abort.abort()
    this.wakeForCredit?.()
  }

  private async pump (messages: AsyncIterator<unknown>): Promise<void> {
    for (;;) {
      await this.waitForCredit()
      if (this.abort.signal.aborted) break
      const step = await messages.next()
      if (this.abort.signal.aborted) break
      if (step.done === true) {
        this.connection.sendCall({ kind: FrameKind.CallEnd, call: this.callId })
        return
      }
      this.credit -= 1
      const sent = this.connection.sendCall({ kind: FrameKind.CallMessage, call: this.callId, message: step.value })
      if (sent === SendResult.TooLarge) this.fail(MeshErrorKind.Rejected, 'a message exceeds the maximum frame size')
      if (sent !== SendResult.Sent) break
    }
    this.abort.abort()
    await messages.return?.()
  }

  private async waitForCredit (): Promise<void> {
    while (this.credit <= 0 && !this.abort.signal.aborted) {
      await new Promise<void>((resolve) => { this.wakeForCredit = resolve })
      this.wakeForCredit = undefined
    }
  }

  private fail (error: MeshErrorKind, reason: string): void {
    if (this.abort.signal.aborted) return
    this.connection.sendCall({ kind: FrameKind.CallError, call: this.callId, error, reason: reason.slice(0, MAX_REASON_LENGTH) })
  }
}
