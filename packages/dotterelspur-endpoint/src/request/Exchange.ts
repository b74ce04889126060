import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { ByteCollector, failed, success } from 'dotterelspur'
import type { Clock, ResponseTotal, Result, Teardown } from 'dotterelspur'

/** How far one HTTP exchange got; decides what may be said of it when it breaks. */
export enum ExchangePhase {
  /** It waits for a connection: no byte of it has been written, and none will be once it is aborted. */
  Queued = 'queued',
  /** Bytes may have reached the endpoint. */
  Sent = 'sent',
  /** The head of the answer is here. */
  Answering = 'answering',
  Complete = 'complete'
}

export enum ExchangeEnd {
  /** The connection failed or broke. */
  Broken = 'broken',
  /** Nothing came in time. */
  TimedOut = 'timed-out',
  Aborted = 'aborted',
  /** The answer is larger than its bound. */
  TooLarge = 'too-large'
}

/** Why an exchange ended before its answer was whole, and how far it had got by then. */
export interface ExchangeFailure {
  readonly phase: ExchangePhase
  readonly end: ExchangeEnd
  readonly reason: string
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: IncomingHttpHeaders
}

/** One step of an answer's body; `chunk` undefined is its proper end. */
export interface BodyStep {
  readonly chunk: Buffer | undefined
}

export interface ExchangeOptions {
  readonly clock: Clock
  readonly bufferedBytes: number
  /** What the process buffers of all bodies. */
  readonly total: ResponseTotal<Exchange>
  readonly signal?: AbortSignal
}

class AbortedExchange extends Error {}

/**
 * One HTTP request and its answer over the library's dispatcher, which alone tells when the first byte is
 * about to be written. An error before that moment proves that nothing ran; any later one proves nothing.
 */
export class Exchange implements Dispatcher.DispatchHandler {
  private phase = ExchangePhase.Queued
  private controller: Dispatcher.DispatchController | undefined
  private head: AnswerHead | undefined
  private failure: ExchangeFailure | undefined
  private readonly chunks: Buffer[] = []
  private bufferedBytes = 0
  private draining = false
  private cancelDrain: Teardown | undefined
  private wake: (() => void) | undefined
  private readonly unlisten: Teardown

  constructor (dispatcher: Dispatcher, request: Dispatcher.DispatchOptions, private readonly options: ExchangeOptions) {
    this.unlisten = this.listen(options.signal)
    if (this.failure === undefined) dispatcher.dispatch(request, this)
  }

  /**
   * Whether the head, or the end of the exchange, comes within `timeoutMs`; the exchange goes on without it. One that still waits
   * for a connection by then ends: nothing of it was sent.
   */
  async headComes (timeoutMs: number): Promise<boolean> {
    const hasCome = await this.waitUntil(() => this.head !== undefined, timeoutMs)
    if (hasCome || this.phase !== ExchangePhase.Queued) return hasCome
    this.stop(ExchangeEnd.TimedOut, `no connection within ${Math.round(timeoutMs)} ms`)
    return true
  }

  /** Whether more of the body, or the end of the exchange, comes within `timeoutMs`; the exchange goes on without it. */
  bodyComes (timeoutMs: number): Promise<boolean> {
    return this.waitUntil(() => this.hasBody, timeoutMs)
  }

  /** The head of the answer, within `timeoutMs` of this call. A failure after it shows in the body. */
  async answer (timeoutMs: number): Promise<Result<AnswerHead, ExchangeFailure>> {
    await this.waitFor(() => this.head !== undefined, timeoutMs)
    return this.head !== undefined ? success(this.head) : failed(this.failure!)
  }

  /** The next part of the body. What was received before a failure is given first. */
  async next (timeoutMs: number): Promise<Result<BodyStep, ExchangeFailure>> {
    await this.waitFor(() => this.hasBody, timeoutMs)
    const chunk = this.chunks.shift()
    if (chunk !== undefined) {
      this.bufferedBytes -= chunk.length
      if (this.bufferedBytes === 0) this.controller?.resume()
      return success({ chunk })
    }
    return this.failure === undefined ? success({ chunk: undefined }) : failed(this.failure)
  }

  /** The whole body, at most `limitBytes`, within `timeoutMs`. */
  async body (limitBytes: number, timeoutMs: number): Promise<Result<Buffer, ExchangeFailure>> {
    const deadlineMs = this.options.clock.nowMs() + timeoutMs
    const body = new ByteCollector()
    try {
      return await this.collect(body, limitBytes, deadlineMs)
    } finally {
      this.options.total.noteSize(this, 0)
    }
  }

  /** Bodies together are larger than their bound, and this one is the largest. */
  endAtTotal (): void {
    this.options.total.noteSize(this, 0)
    this.chunks.length = 0
    this.stop(ExchangeEnd.TooLarge, `answers are larger than ${this.options.total.limitBytes} bytes together`)
  }

  private async collect (body: ByteCollector, limitBytes: number, deadlineMs: number): Promise<Result<Buffer, ExchangeFailure>> {
    for (;;) {
      const step = await this.next(deadlineMs - this.options.clock.nowMs())
      if (!step.ok) return step
      if (step.value.chunk === undefined) return success(body.take())
      if (body.sizeBytes + step.value.chunk.length > limitBytes) return failed(this.stop(ExchangeEnd.TooLarge, `the answer is larger than ${limitBytes} bytes`))
      body.push(step.value.chunk)
      this.options.total.noteSize(this, body.sizeBytes)
    }
  }

  /** Closes the connection unless the answer is complete; an unfinished one is cancelled by that. */
  close (): void {
    if (this.phase !== ExchangePhase.Complete && this.failure === undefined) this.stop(ExchangeEnd.Aborted, 'closed')
  }

  /**
   * Lets a body of which nothing more is expected come to its end, so that the connection can be used again. One
   * that goes on instead is closed.
   */
  drain (timeoutMs: number): void {
    if (this.phase === ExchangePhase.Complete || this.failure !== undefined) return
    if (this.chunks.length > 0) return this.close()
    this.draining = true
    this.cancelDrain = this.options.clock.registerTimer(timeoutMs, () => { this.close() })
    this.controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.failure !== undefined) return controller.abort(new AbortedExchange(this.failure.reason))
    this.phase = ExchangePhase.Sent
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return
    this.phase = ExchangePhase.Answering
    this.head = { status, headers }
    this.notify()
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.failure !== undefined) return
    if (this.draining) return this.close()
    this.chunks.push(chunk)
    this.bufferedBytes += chunk.length
    if (this.bufferedBytes >= this.options.bufferedBytes) controller.pause()
    this.notify()
  }

  onResponseEnd (): void {
    this.phase = ExchangePhase.Complete
    this.cancelDrain?.()
    this.unlisten()
    this.notify()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.settle(ExchangeEnd.Broken, error.message)
  }

  private listen (signal: AbortSignal | undefined): Teardown {
    if (signal === undefined) return () => {}
    const onAbort = (): void => { this.stop(ExchangeEnd.Aborted, 'aborted by the caller') }
    if (signal.aborted) onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
    return () => { signal.removeEventListener('abort', onAbort) }
  }

  private get hasBody (): boolean {
    return this.chunks.length > 0 || this.phase === ExchangePhase.Complete
  }

  private async waitFor (ready: () => boolean, timeoutMs: number): Promise<void> {
    const isOver = await this.waitUntil(ready, timeoutMs)
    if (!isOver) this.stop(ExchangeEnd.TimedOut, `nothing came within ${Math.round(timeoutMs)} ms`)
  }

  /** False if it is neither ready nor has failed within the time. */
  private async waitUntil (ready: () => boolean, timeoutMs: number): Promise<boolean> {
    const isOver = (): boolean => ready() || this.failure !== undefined
    const timer = { hasFired: false }
    const cancel = this.options.clock.registerTimer(timeoutMs, () => {
      timer.hasFired = true
      this.notify()
    })
    while (!isOver() && !timer.hasFired) await new Promise<void>((resolve) => { this.wake = resolve })
    cancel()
    return isOver()
  }

  private stop (end: ExchangeEnd, reason: string): ExchangeFailure {
    const failure = this.settle(end, reason)
    if (this.phase !== ExchangePhase.Complete) this.controller?.abort(new AbortedExchange(reason))
    return failure
  }

  private settle (end: ExchangeEnd, reason: string): ExchangeFailure {
    this.failure ??= { phase: this.phase, end, reason }
    this.cancelDrain?.()
    this.unlisten?.()
    this.notify()
    return this.failure
  }

  private notify (): void {
    const wake = this.wake
    this.wake = undefined
    wake?.()
  }
}
