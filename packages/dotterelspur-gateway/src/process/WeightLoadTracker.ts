import type { EndpointId, EndpointRecord, EngineSpec, ModelId, ModelSpec } from 'dotterelspur'

const SECOND_MS = 1_000

interface RunningLoad {
  readonly model: ModelId
  /** When it is taken for ended, if the list never says so. */
  readonly untilMs: number
}

/** A load as one node tells it to another, whose clock differs. */
export interface LoadInProgress {
  readonly endpoint: EndpointId
  readonly model: ModelId
  /** Until it is taken for ended. */
  readonly leftMs: number
}

/** An order without an answer may still be carried out; after this time its host is free for another try. */
const UNCERTAIN_LOAD_MS = 5_000

/** A load that shares the weight store with others takes longer than alone; then its host is free for another order. */
const LOAD_TIMEOUT_FACTOR = 2

/**
 * Counts loads from the weight store that this process has begun, so that the fleet keeps to the store's rate. Only
 * the holder of the lease begins loads; two holders for a moment stay below the rate, because each keeps to the
 * parallel limit, which is reached long before the rate is.
 */
export class WeightLoadTracker {
  private readonly running = new Map<EndpointId, RunningLoad>()
  private startTimesMs: number[] = []

  begin (endpoint: EndpointId, { model, loadMs }: ModelSpec, nowMs: number): void {
    this.running.set(endpoint, { model, untilMs: nowMs + loadMs * LOAD_TIMEOUT_FACTOR })
    this.startTimesMs.push(nowMs)
  }

  /** The load did not begin. */
  drop (endpoint: EndpointId): void {
    this.running.delete(endpoint)
  }

  /** Nobody knows whether the load began. */
  markUncertain (endpoint: EndpointId, nowMs: number): void {
    const load = this.running.get(endpoint)
    if (load !== undefined) this.running.set(endpoint, { ...load, untilMs: Math.min(load.untilMs, nowMs + UNCERTAIN_LOAD_MS) })
  }

  inProgress (nowMs: number): LoadInProgress[] {
    this.dropEnded(nowMs)
    return [...this.running].map(([endpoint, { model, untilMs }]) => ({ endpoint, model, leftMs: untilMs - nowMs }))
  }

  /** Takes over what another node tells in place of what was known. */
  replace (loads: readonly LoadInProgress[], nowMs: number): void {
    this.running.clear()
    for (const { endpoint, model, leftMs } of loads) this.running.set(endpoint, { model, untilMs: nowMs + leftMs })
  }

  /** The list shows what is on a host: a load of it has ended. */
  noteStagedModels ({ endpoint, staged }: EndpointRecord): void {
    const load = this.running.get(endpoint)
    if (load !== undefined && staged.includes(load.model)) this.running.delete(endpoint)
  }

  /** The host is gone, and its load with it. */
  retain (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    for (const endpoint of this.running.keys()) {
      if (!endpoints.has(endpoint)) this.running.delete(endpoint)
    }
  }

  /** Hosts whose load is under way, and the model. */
  loading (nowMs: number): Map<EndpointId, ModelId> {
    this.dropEnded(nowMs)
    return new Map([...this.running].map(([endpoint, { model }]) => [endpoint, model]))
  }

  /** Loads that may begin now. */
  allowance (engine: Pick<EngineSpec, 'loadsPerSecond' | 'loadsAtOnce'>, nowMs: number): number {
    this.startTimesMs = this.startTimesMs.filter((startMs) => nowMs - startMs < SECOND_MS)
    this.dropEnded(nowMs)
    const parallel = engine.loadsAtOnce - this.running.size
    const rate = Math.floor(engine.loadsPerSecond) - this.startTimesMs.length
    return Math.max(0, Math.min(parallel, rate))
  }

  private dropEnded (nowMs: number): void {
    for (const [endpoint, { untilMs }] of this.running) {
      if (nowMs >= untilMs) this.running.delete(endpoint)
    }
  }
}
