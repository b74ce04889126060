import { StreamEventKind, type Clock, type Interrupt, type InterruptKind, type ReceivedEvent, type StreamEvent, type Teardown } from 'dotterelspur'

export type OpenStream = (signal: AbortSignal) => AsyncIterable<StreamEvent>

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

export interface AttemptStreamListener {
  /** An event has arrived; it is kept until it is taken. */
  onEvent (): void
  /** The stream has become silent by the endpoint client's limits. */
  onSilent (): void
}

/** The event stream of one attempt. */
export class AttemptStream {
  private readonly iterator: AsyncIterator<StreamEvent>
  private readonly abort = new AbortController()
  private isReading = false
  private ready: ReceivedEvent | null | undefined
  private silent = false
  /** Time at which the next event was requested, on the node's clock. */
  private requestedAtMs = 0

  constructor (open: OpenStream, private readonly clock: Clock, private readonly listener: AttemptStreamListener) {
    this.iterator = open(this.abort.signal)[Symbol.asyncIterator]()
    this.request()
  }

  /** How long the stream has been silent since its next event was requested. */
  get silentMs (): number {
    return this.isReading ? this.clock.nowMs() - this.requestedAtMs : 0
  }

  /** Whether the endpoint client has reported the stream as silent since its last event. */
  get isSilent (): boolean {
    return this.silent
  }

  /** Requests one event, so that backpressure from the consumer reaches the engine's connection. */
  request (): void {
    if (this.isReading || this.ready !== undefined) return
    this.isReading = true
    this.requestedAtMs = this.clock.nowMs()
    this.read()
  }

  /** The event that has arrived, null for the end of the stream; undefined if there is none. */
  take (): ReceivedEvent | null | undefined {
    const event = this.ready
    this.ready = undefined
    return event
  }

  close (): void {
    this.abort.abort()
    this.iterator.return?.().catch(() => {})
  }

  private read (): void {
    this.iterator.next().then(
      (result) => { this.handleEvent(result.done === true ? null : result.value) },
      () => { this.handleEvent(null) })
  }

  private handleEvent (event: StreamEvent | null): void {
    this.silent = event?.kind === StreamEventKind.Silent
    if (event?.kind === StreamEventKind.Silent) {
      this.read()
      this.listener.onSilent()
      return
    }
    this.isReading = false
    this.ready = event
    this.listener.onEvent()
  }
}
