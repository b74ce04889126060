import type { Outcome } from 'dotterelspur'
import { finishedWith, type RunEvent, type RunEvents } from './RunRequest.js'

type Step = IteratorResult<readonly RunEvent[]>

/** Ends runs of which this node only passes the events on. */
export class NodeEnd {
  private hasEnded = false
  private readonly listeners = new Set<() => void>()

  constructor (private readonly outcome: Outcome) {}

  end (): void {
    this.hasEnded = true
    for (const listener of [...this.listeners]) listener()
  }

  /** The events of a run until its end or this node's. */
  until (events: RunEvents): RunEvents {
    const iterator = events[Symbol.asyncIterator]()
    let isCut = false
    const cut = async (): Promise<Step> => {
      if (isCut) return { done: true, value: undefined }
      isCut = true
      iterator.return?.(undefined).catch(() => { /* Nobody waits for the run's own end any more. */ })
      return { done: false, value: [finishedWith(this.outcome)] }
    }
    const iterate: AsyncIterator<readonly RunEvent[]> = {
      next: async () => isCut ? await cut() : await this.nextOrEnd(iterator) ?? await cut(),
      return: async () => await iterator.return?.(undefined) ?? { done: true, value: undefined }
    }
    return { [Symbol.asyncIterator]: () => iterate }
  }

  /** The next events; null once this node ends. */
  private async nextOrEnd (iterator: AsyncIterator<readonly RunEvent[]>): Promise<Step | null> {
    if (this.hasEnded) return null
    return await new Promise((resolve, reject) => {
      const listener = (): void => { resolve(null) }
      this.listeners.add(listener)
      iterator.next().then(resolve, reject).finally(() => { this.listeners.delete(listener) })
    })
  }
}
