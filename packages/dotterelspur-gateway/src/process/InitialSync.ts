import type { Clock, Teardown } from 'dotterelspur'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { ManifestFollower } from './ManifestFollower.js'

/**
 * Limit from process start: the initial reads complete within a tenth of a second, or the store is unavailable and
 * requests should not wait.
 */
const MAX_WAIT_MS = 600

/** A source that is read once after process start. */
export interface InitialSyncSource {
  readonly isSynchronized: boolean
  registerSynchronizedListener (listener: () => void): Teardown
}

/**
 * Tracks the reads that a process must complete before it can answer requests. Callers connect as soon as it listens,
 * and callers that lost all nodes at once have one attempt left: rejecting them because the manifest arrives a tenth of
 * a second later would lose their requests.
 */
export class InitialSync {
  private readonly waiting = new Set<() => void>()
  private readonly startedAtMs: number

  constructor (private readonly clock: Clock, private readonly manifest: ManifestFollower, private readonly endpoints: EndpointRegistry, private readonly quarantine: InitialSyncSource | null, private readonly otherSources: readonly InitialSyncSource[] = [], private readonly evacuations: InitialSyncSource | null = null) {
    this.startedAtMs = clock.nowMs()
    manifest.registerListener(() => { this.check() })
    endpoints.registerListener(() => { this.check() })
    for (const other of this.allSources) other.registerSynchronizedListener(() => { this.check() })
  }

  /** Whether the requests that crash endpoints are known. Until then, no request can be told from them. */
  get knowsQuarantine (): boolean {
    return this.quarantine?.isSynchronized ?? true
  }

  /** Includes the evacuations: a node that starts during one must send no requests into the failure domain. */
  get isComplete (): boolean {
    return this.manifest.current !== null && this.endpoints.isSynchronized && this.knowsQuarantine && (this.evacuations?.isSynchronized ?? true)
  }

  /** Resolves once all sources are read, or when the wait limit since process start has passed. */
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

  /** Includes the suspects in the lease: after all nodes were killed, requests that crash endpoints arrive as soon as a node listens. */
  private get isAllRead (): boolean {
    return this.isComplete && this.otherSources.every(({ isSynchronized }) => isSynchronized)
  }

  private get allSources (): readonly InitialSyncSource[] {
    return [this.quarantine, ...this.otherSources, this.evacuations].filter((source) => source !== null)
  }

  private check (): void {
    if (!this.isAllRead) return
    for (const end of [...this.waiting]) end()
  }
}
