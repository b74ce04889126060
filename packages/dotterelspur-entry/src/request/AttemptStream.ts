import { InterruptKind, type Clock, type Interrupt, type NextEvent, type StreamEvent, type Teardown } from 'dotterelspur'

/** Interrupts one request when its caller disconnects or its deadline passes. All waits of the request then end. */
export class RequestInterrupt {
  private interrupt: Interrupt | null = null
  private readonly listeners = new Set<(interrupt: Interrupt) => void>()

  get current (): Interrupt | null {
    return this.interrupt
  }

  fire (kind: InterruptKind): void {
    if (this.interrupt !== null) return
    this.interrupt = { kind }
    for (const listener of [...this.listeners]) listener(this.interrupt)
  }

  registerListener (listener: (interrupt: Interrupt) => void): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }
}

/** Resolves with null after the duration, or with the interrupt if one fires first. */
export function waitOrInterrupt (clock: Clock, durationMs: number, interrupt: RequestInterrupt): Promise<Interrupt | null> {
  if (interrupt.current !== null) return Promise.resolve(interrupt.current)
  return new Promise((resolve) => {
    const settle = (result: Interrupt | null): void => {
      cancelTimer()
      unregister()
      resolve(result)
    }
    const cancelTimer = clock.registerTimer(durationMs, () => { settle(null) })
    const unregister = interrupt.registerListener(settle)
  })
}

/**
 * The event stream of one attempt. A wait for the next event ends early when the request is interrupted or `stall` is
 * called, so an adapter that never detects a dead connection can't block the request.
 */
export class AttemptStream {
  private readonly iterator: AsyncIterator<StreamEvent>
  private readonly abort: AbortController
  private waiting: ((event: NextEvent) => void) | null = null
  private pending: Promise<void> | null = null
  private ready: NextEvent | undefined
  private readonly unregister: Teardown
  /** Time of the last event, or of the opening of the stream before the first one, on the node's clock. */
  lastEventAtMs: number

  constructor (open: (signal: AbortSignal) => AsyncIterable<StreamEvent>, private readonly interrupt: RequestInterrupt, private readonly clock: Clock) {
    this.abort = new AbortController()
    this.lastEventAtMs = clock.nowMs()
    this.iterator = open(this.abort.signal)[Symbol.asyncIterator]()
    this.unregister = interrupt.registerListener((fired) => { this.settle(fired) })
    this.pull()
  }

  next (): NextEvent | Promise<NextEvent> {
    if (this.ready !== undefined) return this.takeReady()
    if (this.interrupt.current !== null) return this.interrupt.current
    this.pull()
    return new Promise((resolve) => { this.waiting = resolve })
  }

  /** Whether a call of `next` is waiting for an event. */
  get isWaiting (): boolean {
    return this.waiting !== null
  }

  stall (): void {
    this.settle({ kind: InterruptKind.Stalled })
  }

  close (): void {
    this.unregister()
    this.abort.abort()
    this.iterator.return?.().catch(() => {})
  }

  private takeReady (): NextEvent {
    const event = this.ready!
    this.ready = undefined
    this.pull()
    return event
  }

  /** Reads at most one event ahead, so that backpressure from the consumer reaches the engine's connection. */
  private pull (): void {
    if (this.pending !== null || this.ready !== undefined) return
    this.pending = this.iterator.next().then(
      (result) => { this.handleEvent(result.done === true ? null : result.value) },
      () => { this.handleEvent(null) })
  }

  private handleEvent (event: NextEvent): void {
    this.pending = null
    this.lastEventAtMs = this.clock.nowMs()
    if (this.waiting === null) this.ready = event
    else this.settle(event)
  }

  private settle (event: NextEvent): void {
    const resolve = this.waiting
    this.waiting = null
    resolve?.(event)
  }
}
