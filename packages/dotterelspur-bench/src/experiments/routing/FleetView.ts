import { DEFAULT_EVIDENCE_TTL_MS, DEFAULT_PROBE_INTERVAL_MS, TargetKind, groupTargetId, type CacheEvent, type Clock, type GroupTarget, type LoadReport, type Random } from 'dotterelspur'
import type { EngineModel } from './EngineModel.js'
import type { Policy } from './Policy.js'

const FAILURE_DOMAINS = 3
const CACHE_PAGE_INTERVAL_MS = 1_000
const CACHE_PAGE_LOST_SHARE = 0.1
/** From a probe at its watcher to the node that hears of it. */
const RELAY_MS = 250

interface Reading {
  readonly atMs: number
  readonly load: LoadReport
}

/** What the nodes get to know of the engines, and when: readings taken at each probe, delivered late, pages of cache events with gaps. */
export class FleetView {
  private readonly readings: Reading[][]
  private readonly lastAliveMs: number[]
  private readonly formations: number[]
  private readonly pendingEvents: CacheEvent[][]

  constructor (
    private readonly clock: Clock,
    private readonly engines: readonly EngineModel[],
    private readonly loadLagMs: number,
    private readonly random: Random
  ) {
    this.readings = engines.map(() => [])
    this.lastAliveMs = engines.map(() => 0)
    this.formations = engines.map(() => 1)
    this.pendingEvents = engines.map(() => [])
  }

  static failureDomainOf (index: number): string {
    return `domain-${index % FAILURE_DOMAINS}`
  }

  engineOf (target: GroupTarget): EngineModel | undefined {
    const index = Number(target.group)
    return this.formations[index] === target.formation ? this.engines[index] : undefined
  }

  /** The group is formed anew: same name, next formation, empty cache. */
  revive (index: number): void {
    this.formations[index]!++
    this.readings[index] = []
    this.engines[index]!.revive()
  }

  /** Starts probes and deliveries; each node hears at its own phase. */
  start (policies: readonly Policy[]): void {
    this.every(0, DEFAULT_PROBE_INTERVAL_MS, () => this.probe())
    this.every(CACHE_PAGE_INTERVAL_MS, CACHE_PAGE_INTERVAL_MS, () => this.deliverCacheEvents(policies))
    for (const policy of policies) {
      this.deliver(policy)
      this.every(this.random.next() * DEFAULT_PROBE_INTERVAL_MS, DEFAULT_PROBE_INTERVAL_MS, () => this.deliver(policy))
    }
  }

  private probe (): void {
    const nowMs = this.clock.nowMs()
    this.engines.forEach((engine, index) => {
      if (!engine.alive) return
      this.lastAliveMs[index] = nowMs
      const load = { running: engine.running, waiting: engine.queued, capacity: engine.slots, cacheUsed: 0, ageMs: 0 }
      this.readings[index]!.push({ atMs: nowMs, load })
      const keptFromMs = nowMs - this.loadLagMs - 2 * DEFAULT_PROBE_INTERVAL_MS
      while (this.readings[index]!.length > 1 && this.readings[index]![1]!.atMs < keptFromMs) this.readings[index]!.shift()
    })
  }

  private deliver (policy: Policy): void {
    const nowMs = this.clock.nowMs()
    policy.learn(this.engines.map((engine, index) => this.targetOf(engine, index, nowMs)), nowMs)
  }

  private targetOf (engine: EngineModel, index: number, nowMs: number): GroupTarget {
    const visibleFromMs = nowMs - this.loadLagMs
    const reading = this.readings[index]!.findLast((one) => one.atMs <= visibleFromMs) ??
      { atMs: visibleFromMs, load: { running: 0, waiting: 0, capacity: engine.slots, cacheUsed: 0, ageMs: 0 } }
    const formation = this.formations[index]!
    const aliveMs = Math.min(this.lastAliveMs[index]!, nowMs - RELAY_MS)
    return {
      kind: TargetKind.Group,
      id: groupTargetId(`${index}`, formation),
      group: `${index}`,
      formation,
      model: 'model',
      version: 'v1',
      adapters: [],
      address: '',
      region: 'region-1',
      failureDomain: FleetView.failureDomainOf(index),
      evidenceExpiresAtMs: aliveMs + DEFAULT_EVIDENCE_TTL_MS,
      leaving: false,
      load: { ...reading.load, ageMs: nowMs - reading.atMs },
      loadRequestedAtMs: nowMs
    }
  }

  private deliverCacheEvents (policies: readonly Policy[]): void {
    const nowMs = this.clock.nowMs()
    this.engines.forEach((engine, index) => {
      const events = this.pendingEvents[index]!
      this.pendingEvents[index] = [...engine.cacheEvents()]
      if (events.length === 0) return
      const page = { events, nextSequence: events.at(-1)!.sequence + 1 }
      for (const policy of policies) {
        if (this.random.next() < CACHE_PAGE_LOST_SHARE) continue
        policy.learnCache(groupTargetId(`${index}`, this.formations[index]!), page, nowMs)
      }
    })
  }

  private every (firstMs: number, intervalMs: number, run: () => void): void {
    this.clock.registerTimer(firstMs, () => {
      run()
      this.every(intervalMs, intervalMs, run)
    })
  }
}
