import type { Clock, Teardown } from 'dotterelspur'
import type { EndpointKeeper } from './EndpointKeeper.js'
import type { ManifestKeeper } from './ManifestKeeper.js'

/**
 * What a process must have read before it can say anything about a request. Callers connect as soon as it listens, and
 * those that lost all nodes at once have one attempt left: refused for want of a manifest that comes in a tenth of a
 * second, they would be lost.
 */
export class FirstKnowledge {
  private readonly waiting = new Set<() => void>()

  constructor (private readonly clock: Clock, private readonly manifest: ManifestKeeper, private readonly endpoints: EndpointKeeper) {
    manifest.registerListener(() => { this.look() })
    endpoints.registerListener(() => { this.look() })
  }

  get isComplete (): boolean {
    return this.manifest.current !== null && this.endpoints.isKnown
  }

  /** Resolves once all is known, or after `timeoutMs`. */
  async wait (timeoutMs: number): Promise<void> {
    if (this.isComplete) return
    await new Promise<void>((resolve) => {
      let cancelTimer: Teardown = () => {}
      const end = (): void => {
        this.waiting.delete(end)
        cancelTimer()
        resolve()
      }
      this.waiting.add(end)
      cancelTimer = this.clock.registerTimer(timeoutMs, end)
    })
  }

  private look (): void {
    if (!this.isComplete) return
    for (const end of [...this.waiting]) end()
  }
}
