import type { Clock, Teardown } from 'dotterelspur'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { ManifestFollower } from './ManifestFollower.js'

/** From a process's start: what it must know is there within a tenth of a second, or the store is out and nobody should wait. */
const MAX_WAIT_MS = 600

/** Something that is read once after a process's start. */
export interface InitialSyncSource {
  readonly isKnown: boolean
  registerKnown (listener: () => void): Teardown
}

/**
 * What a process must have read before it can say anything about a request. Callers connect as soon as it listens, and
 * those that lost all nodes at once have one attempt left: refused for want of a manifest that comes in a tenth of a
 * second, they would be lost.
 */
export class InitialSync {
  private readonly waiting = new Set<() => void>()
  private readonly startedAtMs: number

  constructor (private readonly clock: Clock, private readonly manifest: ManifestFollower, private readonly endpoints: EndpointRegistry, private readonly otherSources: readonly InitialSyncSource[]) {
    this.startedAtMs = clock.nowMs()
    manifest.registerListener(() => { this.check() })
    endpoints.registerListener(() => { this.check() })
    for (const other of otherSources) other.registerKnown(() => { this.check() })
  }

  get isComplete (): boolean {
    return this.manifest.current !== null && this.endpoints.isSynced
  }

  /** Resolves once all is known, or the process has run for so long that it should be. */
  async wait (): Promise<void> {
    const leftMs = this.startedAtMs + MAX_WAIT_MS - this.clock.nowMs()
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
    return this.isComplete && this.otherSources.every(({ isKnown }) => isKnown)
  }

  private check (): void {
    if (!this.isAllRead) return
    for (const end of [...this.waiting]) end()
  }
}
