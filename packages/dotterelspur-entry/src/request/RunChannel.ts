import type { RunEvent, RunEvents } from './RunRequest.js'

const DEFAULT_CAPACITY = 32

export interface RunChannelListener {
  /** Hears every event, also those that the consumer no longer takes. */
  readonly onEvent?: (event: RunEvent) => void
  /** The consumer went before the end. */
  readonly onAbandoned?: () => void
}

/**
 * Events of one run on their way to its consumer. Bounded: a producer that gets ahead waits, so that a slow
 * caller slows the engine in place of filling this process. A consumer takes all that is there at once.
 */
export class RunChannel {
  private queued: RunEvent[] = []
  private ended = false
  private abandoned = false
  private wakeConsumer: (() => void) | null = null
  private wakeProducer: (() => void) | null = null

  constructor (private readonly listener: RunChannelListener = {}, private readonly capacity = DEFAULT_CAPACITY) {}

  /** Undefined when there is room; otherwise a promise of room. */
  push (event: RunEvent): Promise<void> | undefined {
    this.listener.onEvent?.(event)
    if (this.abandoned) return undefined
    this.queued.push(event)
    this.signalConsumer()
    if (this.queued.length < this.capacity) return undefined
    return new Promise((resolve) => { this.wakeProducer = resolve })
  }

  /** No more events come. */
  end (): void {
    this.ended = true
    this.signalConsumer()
  }

  /**
   * For one consumer. Not a generator: ending the iteration must work at once, also while the consumer waits for
   * the next events, and a generator would put it off until they come.
   */
  events (): RunEvents {
    const iterator: AsyncIterator<readonly RunEvent[]> = {
      next: () => this.next(),
      return: async () => {
        this.abandon()
        return { done: true, value: undefined }
      }
    }
    return { [Symbol.asyncIterator]: () => iterator }
  }

  /** The consumer has gone: what comes is dropped, and the producer never waits again. */
  abandon (): void {
    if (this.abandoned) return
    this.abandoned = true
    this.queued = []
    this.signalProducer()
    this.signalConsumer()
    if (!this.ended) this.listener.onAbandoned?.()
  }

  private async next (): Promise<IteratorResult<readonly RunEvent[]>> {
    if (this.queued.length === 0 && !this.ended && !this.abandoned) await new Promise<void>((resolve) => { this.wakeConsumer = resolve })
    if (this.queued.length > 0) return { done: false, value: this.take() }
    return { done: true, value: undefined }
  }

  private take (): readonly RunEvent[] {
    const taken = this.queued
    this.queued = []
    this.signalProducer()
    return taken
  }

  private signalConsumer (): void {
    const wake = this.wakeConsumer
    this.wakeConsumer = null
    wake?.()
  }

  private signalProducer (): void {
    const wake = this.wakeProducer
    this.wakeProducer = null
    wake?.()
  }
}
