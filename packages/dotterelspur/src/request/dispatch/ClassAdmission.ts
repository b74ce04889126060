import { AdmissionShares } from './AdmissionShares.js'
import { CLASS_HALF_LIFE_MS, ClassDemandMeter, countedRank, hasSeveralClasses, validClassSamples, workspaceCode, type ClassSamples, type RequestClass } from './ClassDemand.js'
import { ratePerMs } from './DecayedSum.js'
import type { PoolKey } from './FleetObservation.js'
import type { Manifest } from '../../version/manifest/Manifest.js'

/**
 * Without a fresh aggregate, each rank below the most urgent one of a pool lowers the load up to which its requests are
 * dispatched by this factor.
 */
const LOAD_FACTOR_OF_RANK = 0.9

const SECOND_MS = 1_000

/** How a request's class was weighed, for the log of a refusal. */
export interface ClassDecision {
  /** The share of the class's requests that is dispatched; null without a fresh aggregate. */
  readonly share: number | null
  /** The share of all requests of the pool that fits; null without a fresh aggregate. */
  readonly poolShare: number | null
  /** Requests per second of the class in the whole fleet; null where it is not known. */
  readonly demandPerS: number | null
}

/** A node's view of the demand by class: its own arrivals, and the sum of all nodes from the last aggregate. */
export class ClassAdmission {
  private readonly meter = new ClassDemandMeter()
  private shares: ReadonlyMap<PoolKey, AdmissionShares> = new Map()
  private counts = true

  /** Applies a new manifest: demand is only counted and shared where it allows more than one class. */
  configure (manifest: Pick<Manifest, 'routes' | 'workspaces'>): void {
    this.counts = hasSeveralClasses(manifest)
    if (!this.counts) this.meter.clear()
  }

  /** Counts a request that can still be on time. */
  noteArrival (pool: PoolKey, requestClass: RequestClass, nowMs: number): void {
    if (this.counts) this.meter.noteArrival(pool, requestClass, nowMs)
  }

  localObservation (nowMs: number): ClassSamples | undefined {
    return this.meter.localObservation(nowMs)
  }

  /** Applies the demand by class of an aggregate; undefined where the coordinator runs the previous build. */
  applyFleetObservation (classes: ClassSamples | undefined): void {
    this.shares = new Map(Object.entries(classes ?? {}).map(([pool, samples]) => [pool, new AdmissionShares(validClassSamples(samples))]))
  }

  /** The share of a class's requests that may be dispatched; the pool's share where the demand by class is not known. */
  shareOf (pool: PoolKey, { rank, workspace }: RequestClass, poolShare: number): number {
    return this.shares.get(pool)?.shareOf(countedRank(rank), workspaceCode(workspace), poolShare) ?? poolShare
  }

  /** The factor on the highest load with which a request of the rank is dispatched without a fresh aggregate. */
  loadFactor (pool: PoolKey, rank: number, nowMs: number): number {
    const moreUrgent = this.meter.ranks(pool, nowMs).filter((other) => other < countedRank(rank))
    return LOAD_FACTOR_OF_RANK ** moreUrgent.length
  }

  /** Requests per second of the class, or of its rank's remainder, in the whole fleet; null where they are not known. */
  demandPerS (pool: PoolKey, { rank, workspace }: RequestClass): number | null {
    const requests = this.shares.get(pool)?.requestsOf(countedRank(rank), workspaceCode(workspace))
    return requests === undefined ? null : ratePerMs(requests, CLASS_HALF_LIFE_MS) * SECOND_MS
  }
}
