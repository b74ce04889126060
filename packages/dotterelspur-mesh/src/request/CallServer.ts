import { type CallFrame, type CallHandler, type Frame, FrameKind, invariant, MeshErrorKind, type Teardown } from 'dotterelspur'
import type { Connection } from '../connection/Connection.js'
import type { CallLimits } from './CallLimits.js'
import { ServedCall } from './ServedCall.js'

type OpenFrame = Extract<CallFrame, { kind: FrameKind.CallOpen }>

/** Serves the calls that other nodes make to this process. */
export class CallServer {
  private readonly handlers = new Map<string, CallHandler>()
  private runningCount = 0

  constructor (private readonly incarnation: number, private readonly limits: CallLimits) {}

  get runningCalls (): number {
    return this.runningCount
  }

  handler (method: string): CallHandler | undefined {
    return this.handlers.get(method)
  }

  registerHandler (method: string, handler: CallHandler): Teardown {
    invariant(!this.handlers.has(method), `a handler of ${method} is registered already`)
    this.handlers.set(method, handler)
    return () => { this.handlers.delete(method) }
  }

  /** Serves the calls of a connection until it closes; calls that still run then are cancelled. */
  attach (connection: Connection, onActivity: () => void, onClosed: () => void): void {
    const calls = new Map<number, ServedCall>()
    const onFrame = (frame: Frame): void => {
      onActivity()
      if (frame.kind === FrameKind.CallOpen) this.open(connection, calls, frame)
      else if (frame.kind === FrameKind.CallCredit) calls.get(frame.call)?.grant(frame.credit)
      else if (frame.kind === FrameKind.CallCancel) calls.get(frame.call)?.cancel()
    }
    connection.setListeners(onFrame, () => {
      for (const call of calls.values()) call.cancel()
      onClosed()
    })
  }

  private open (connection: Connection, calls: Map<number, ServedCall>, frame: OpenFrame): void {
    const refuse = (error: MeshErrorKind, reason: string): void => {
      connection.sendCall({ kind: FrameKind.CallError, call: frame.call, error, reason })
    }
    // A call to an earlier process at this address must not run here: it may already have run there.
    if (frame.incarnation !== this.incarnation) return refuse(MeshErrorKind.WrongIncarnation, `this is incarnation ${this.incarnation}`)
    const handler = this.handlers.get(frame.method)
    if (handler === undefined) return refuse(MeshErrorKind.Rejected, `no handler of ${frame.method}`)
    if (this.runningCount >= this.limits.maxServedCalls) return refuse(MeshErrorKind.Overloaded, `${this.runningCount} calls run here`)
    if (calls.has(frame.call)) return connection.close('a call number is used twice')
    const call = new ServedCall(connection, frame.call, Math.min(frame.credit, this.limits.creditWindow))
    calls.set(frame.call, call)
    this.runningCount += 1
    call.run(handler, frame.request, connection.peer.node).finally(() => {
      calls.delete(frame.call)
      this.runningCount -= 1
    })
  }
}
