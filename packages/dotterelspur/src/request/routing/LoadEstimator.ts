import type { RoutingOptions } from './RoutingOptions.js'
import type { TargetRecord } from './TargetRecord.js'

const MEANS_CACHE_MS = 100
const DURATION_SMOOTHING = 0.02

/** What an estimate compares a target with; computed over the lane now and then. */
interface LaneMeans {
  readonly computedAtMs: number
  /** Mean share of capacity that other nodes hold. */
  readonly othersShare: number
  /** A report of this age counts half; see trustMs below. */
  readonly halfWeightAgeMs: number
  /** Mean utilisation, this node's own requests included. */
  readonly utilisation: number
  /** Median of the targets' pace; null when none is known. */
  readonly medianPaceMs: number | null
}

/**
 * Estimates how full each target is now. Reports are late and the same for every node: taken at face value they
 * send all nodes to the same target until the next report. So this node's own requests are counted exactly, and
 * what is reported of the others' fades to the mean of the lane as the report ages.
 *
 * How fast it fades decides between order and oscillation: all nodes act on the same report until the next one,
 * and what a node did wrong shows in its own count at once, in the others' only later. A node may therefore steer
 * by a report only as far as its own requests can correct it: a report as old as (its share of the load) x (how
 * long a request runs) counts half. Trusted longer, the groups fill and empty in turn, and p95 first token grows
 * with the number of nodes.
 */
export class LoadEstimator {
  private means: LaneMeans | null = null

  constructor (private readonly records: readonly TargetRecord[], private readonly options: Pick<RoutingOptions, 'initialRequestDurationMs' | 'stragglerRatio'>, private averageDurationMs = options.initialRequestDurationMs) {}

  /** Mean time that an attempt of this node ran. */
  get meanDurationMs (): number {
    return this.averageDurationMs
  }

  /** An attempt of this node ran for this long. */
  recordDuration (durationMs: number): void {
    this.averageDurationMs += DURATION_SMOOTHING * (durationMs - this.averageDurationMs)
  }

  /** Requests at the target as a share of what it can run side by side; above 1 some wait. */
  utilisation (record: TargetRecord, nowMs: number): number {
    const { othersShare, halfWeightAgeMs } = this.laneMeans(nowMs)
    return this.estimate(record, othersShare, halfWeightAgeMs, nowMs)
  }

  meanUtilisation (nowMs: number): number {
    return this.laneMeans(nowMs).utilisation
  }

  /** How many times slower than the median the target is; 1 for those that are not stragglers. */
  slowness (record: TargetRecord, nowMs: number): number {
    const { medianPaceMs } = this.laneMeans(nowMs)
    const paceMs = record.health.pace
    if (medianPaceMs === null || paceMs === null || medianPaceMs <= 0) return 1
    const ratio = paceMs / medianPaceMs
    return ratio >= this.options.stragglerRatio ? ratio : 1
  }

  private estimate (record: TargetRecord, meanOthersShare: number, halfWeightAgeMs: number, nowMs: number): number {
    const capacity = record.capacity()
    const ageMs = Math.max(0, nowMs - record.loadReadAtMs())
    const weight = halfWeightAgeMs / (halfWeightAgeMs + ageMs)
    const reportedShare = record.reportedOtherRequests() / capacity
    const othersShare = meanOthersShare + (reportedShare - meanOthersShare) * weight
    return othersShare + record.inFlight.count / capacity
  }

  private halfWeightAgeMs (ownShare: number, othersShare: number): number {
    const share = ownShare / Math.max(Number.EPSILON, ownShare + othersShare)
    return Math.max(1, share * this.averageDurationMs)
  }

  private laneMeans (nowMs: number): LaneMeans {
    if (this.means !== null && nowMs - this.means.computedAtMs < MEANS_CACHE_MS) return this.means
    const fresh = this.records.filter((record) => record.target.evidenceExpiresAtMs > nowMs)
    const othersShare = mean(fresh.map((record) => record.reportedOtherRequests() / record.capacity()))
    const ownShare = mean(fresh.map((record) => record.inFlight.count / record.capacity()))
    const halfWeightAgeMs = this.halfWeightAgeMs(ownShare, othersShare)
    const paces = fresh.map((record) => record.health.pace).filter((pace) => pace !== null)
    this.means = { computedAtMs: nowMs, othersShare, halfWeightAgeMs, utilisation: ownShare + othersShare, medianPaceMs: median(paces) }
    return this.means
  }
}

function mean (values: readonly number[]): number {
  if (values.length === 0) return 0
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function median (values: readonly number[]): number | null {
  if (values.length === 0) return null
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor((sorted.length - 1) / 2)]!
}
