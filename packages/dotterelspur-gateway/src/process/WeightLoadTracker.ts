import type { EndpointId, EndpointRecord, EngineSpec, ModelId, ModelSpec } from 'dotterelspur'

const SECOND_MS = 1_000

interface RunningLoad {
  readonly model: ModelId
  /** Time after which the load counts as completed if the list never shows it. */
  readonly untilMs: number
}

/** A load in progress as sent to another node, whose clock differs. */
export interface LoadInProgress {
  readonly endpoint: EndpointId
  readonly model: ModelId
  /** Remaining time until the load counts as completed. */
  readonly leftMs: number
}

/** An order without a response may still be carried out; after this time its host may be used again. */
const UNCERTAIN_LOAD_MS = 5_000

/**
 * A load that shares the weight store with others takes longer than alone; after this multiple of the declared time its
 * host may be used again.
 */
const LOAD_TIMEOUT_FACTOR = 2

/**
 * Tracks loads from the weight store that this process has started, so that the fleet stays within the store's rate
 * limit. Only the lease holder starts loads; two concurrent holders stay below the rate limit for a moment, because
 * each one respects the concurrency limit, which is reached long before the rate limit is.
 */
export class WeightLoadTracker {
  private readonly running = new Map<EndpointId, RunningLoad>()
  private startTimesMs: number[] = []

  begin (endpoint: EndpointId, { model, loadMs }: ModelSpec, nowMs: number): void {
    this.running.set(endpoint, { model, untilMs: nowMs + loadMs * LOAD_TIMEOUT_FACTOR })
    this.startTimesMs.push(nowMs)
  }

  /** Removes a load that did not start. */
  drop (endpoint: EndpointId): void {
    this.running.delete(endpoint)
  }

  /** Shortens the timeout of a load that may not have started. */
  markUncertain (endpoint: EndpointId, nowMs: number): void {
    const load = this.running.get(endpoint)
    if (load !== undefined) this.running.set(endpoint, { ...load, untilMs: Math.min(load.untilMs, nowMs + UNCERTAIN_LOAD_MS) })
  }

  inProgress (nowMs: number): LoadInProgress[] {
    this.dropEnded(nowMs)
    return [...this.running].map(([endpoint, { model, untilMs }]) => ({ endpoint, model, leftMs: untilMs - nowMs }))
  }

  /**
   * Replaces the tracked loads by those received from another node. A load that is new counts as started now, since this node may take
   * the lease over within a second.
   */
  replace (loads: readonly LoadInProgress[], nowMs: number): void {
    this.startTimesMs = [...this.recentStarts(nowMs), ...loads.filter(({ endpoint, model }) => this.running.get(endpoint)?.model !== model).map(() => nowMs)]
    this.running.clear()
    for (const { endpoint, model, leftMs } of loads) this.running.set(endpoint, { model, untilMs: nowMs + leftMs })
  }

  /** Removes a load whose model the list shows as staged on the host. */
  noteStagedModels ({ endpoint, staged }: EndpointRecord): void {
    const load = this.running.get(endpoint)
    if (load !== undefined && staged.includes(load.model)) this.running.delete(endpoint)
  }

  /** Removes the loads of hosts that are no longer listed. */
  retain (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    for (const endpoint of this.running.keys()) {
      if (!endpoints.has(endpoint)) this.running.delete(endpoint)
    }
  }

  /** Hosts with a load in progress, and the model. */
  loading (nowMs: number): Map<EndpointId, ModelId> {
    this.dropEnded(nowMs)
    return new Map([...this.running].map(([endpoint, { model }]) => [endpoint, model]))
  }

  /** Number of loads that may start now. */
  allowance (engine: Pick<EngineSpec, 'loadsPerSecond' | 'loadsAtOnce'>, nowMs: number): number {
    this.startTimesMs = this.recentStarts(nowMs)
    this.dropEnded(nowMs)
    const parallel = engine.loadsAtOnce - this.running.size
    const rate = Math.floor(engine.loadsPerSecond) - this.startTimesMs.length
    return Math.max(0, Math.min(parallel, rate))
  }

  private recentStarts (nowMs: number): number[] {
    return this.startTimesMs.filter((startMs) => nowMs - startMs < SECOND_MS)
  }

  private dropEnded (nowMs: number): void {
    for (const [endpoint, { untilMs }] of this.running) {
      if (nowMs >= untilMs) this.running.delete(endpoint)
    }
  }
}
