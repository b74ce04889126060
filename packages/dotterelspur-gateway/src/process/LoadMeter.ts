import type { EndpointId, EngineSpec } from 'dotterelspur'

const SECOND_MS = 1_000

interface RunningLoad {
  readonly untilMs: number
}

/**
 * Counts loads from the weight store that this process has begun, so that the fleet keeps to the store's rate. Only
 * the holder of the lease begins loads; two holders for a moment stay below the rate, because each keeps to the
 * parallel limit, which is reached long before the rate is.
 */
export class LoadMeter {
  private readonly running = new Map<EndpointId, RunningLoad>()
  private startTimesMs: number[] = []

  begin (endpoint: EndpointId, nowMs: number, loadMs: number): void {
    this.running.set(endpoint, { untilMs: nowMs + loadMs })
    this.startTimesMs.push(nowMs)
  }

  end (endpoint: EndpointId): void {
    this.running.delete(endpoint)
  }

  isLoading (endpoint: EndpointId): boolean {
    return this.running.has(endpoint)
  }

  /** Loads that may begin now. */
  allowance (engine: Pick<EngineSpec, 'loadsPerSecond' | 'loadsAtOnce'>, nowMs: number): number {
    this.startTimesMs = this.startTimesMs.filter((startMs) => nowMs - startMs < SECOND_MS)
    for (const [endpoint, { untilMs }] of this.running) {
      if (nowMs >= untilMs) this.running.delete(endpoint)
    }
    const parallel = engine.loadsAtOnce - this.running.size
    const rate = Math.floor(engine.loadsPerSecond) - this.startTimesMs.length
    return Math.max(0, Math.min(parallel, rate))
  }
}
