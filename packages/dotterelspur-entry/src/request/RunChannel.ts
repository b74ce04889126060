import type { RunEvent, RunEvents } from './RunRequest.js'

const DEFAULT_CAPACITY = 32

export interface RunChannelListener {
  /** Called for every event, also after the consumer has stopped reading. */
  readonly onEvent?: (event: RunEvent) => void
  /** Called when the consumer stops before the run has ended. */
  readonly onAbandoned?: () => void
}

/**
 * Bounded queue of one run's events between producer and consumer. A producer that is ahead waits, so that a slow caller slows
 * the engine down instead of filling this process's memory. The consumer takes all queued events at once.
 */
export class RunChannel {
  private queued: RunEvent[] = []
  private ended = false
  private abandoned = false
  private wakeConsumer: (() => void) | null = null
  private wakeProducer: (() => void) | null = null

  constructor (private readonly listener: RunChannelListener = {}, private readonly capacity = DEFAULT_CAPACITY) {}

  /** Returns undefined if the queue has room, otherwise a promise that resolves once it has. */
  push (event: RunEvent): Promise<void> | undefined {
    this.listener.onEvent?.(event)
    if (this.abandoned) return undefined
    this.queued.push(event)
    this.signalConsumer()
    if (this.queued.length < this.capacity) return undefined
    return new Promise((resolve) => { this.wakeProducer = resolve })
  }

  /** Marks the end of the events. */
  end (): void {
    this.ended = true
    this.signalConsumer()
  }

  /**
   * The events, for one consumer. This is not a generator, because a generator would delay `return` until the pending `next`
   * has resolved, and the consumer must be able to end the iteration while it waits for events.
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

  /** Called when the consumer has stopped reading: further events are dropped, and the producer never waits again. */
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
