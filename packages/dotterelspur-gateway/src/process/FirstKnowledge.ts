import type { Clock, Teardown } from 'dotterelspur'
import type { EndpointKeeper } from './EndpointKeeper.js'
import type { ManifestKeeper } from './ManifestKeeper.js'

/** From a process's start: what it must know is there within a tenth of a second, or the store is out and nobody should wait. */
const WAIT_LIMIT_MS = 600

/** Something that is read once after a process's start. */
export interface ReadOnce {
  readonly isKnown: boolean
  registerKnown (listener: () => void): Teardown
}

/**
 * What a process must have read before it can say anything about a request. Callers connect as soon as it listens, and
 * those that lost all nodes at once have one attempt left: refused for want of a manifest that comes in a tenth of a
 * second, they would be lost.
 */
export class FirstKnowledge {
  private readonly waiting = new Set<() => void>()
  private readonly startedAtMs: number

  constructor (private readonly clock: Clock, private readonly manifest: ManifestKeeper, private readonly endpoints: EndpointKeeper, private readonly besides: readonly ReadOnce[]) {
    this.startedAtMs = clock.nowMs()
    manifest.registerListener(() => { this.look() })
    endpoints.registerListener(() => { this.look() })
    for (const other of besides) other.registerKnown(() => { this.look() })
  }

  get isComplete (): boolean {
    return this.manifest.current !== null && this.endpoints.isKnown
  }

  /** Resolves once all is known, or the process has run for so long that it should be. */
  async wait (): Promise<void> {
    const leftMs = this.startedAtMs + WAIT_LIMIT_MS - this.clock.nowMs()
    if (this.isAllRead || leftMs <= 0) return
    await new Promise<void>((resolve) => {
      let cancelTimer: Teardown = () => {}
      const end = (): void => {
        this.waiting.delete(end)
        cancelTimer()
        resolve()
      }
      this.waiting.add(end)
      cancelTimer = this.clock.registerTimer(leftMs, end)
    })
  }

  /** Also what must not be sent: after all nodes were killed, requests that end endpoints come as soon as one listens. */
  private get isAllRead (): boolean {
    return this.isComplete && this.besides.every(({ isKnown }) => isKnown)
  }

  private look (): void {
    if (!this.isAllRead) return
    for (const end of [...this.waiting]) end()
  }
}
