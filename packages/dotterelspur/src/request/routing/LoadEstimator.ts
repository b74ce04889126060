import type { RoutingOptions } from './RoutingOptions.js'
import type { TargetRecord } from './TargetRecord.js'

const MEANS_CACHE_MS = 100
const DURATION_SMOOTHING = 0.02

/** Means over the fresh targets of a lane, cached for `MEANS_CACHE_MS`. */
interface LaneMeans {
  readonly computedAtMs: number
  /** Mean share of capacity in use by other nodes' requests. */
  readonly othersShare: number
  /** Age at which a load report has half its weight; see LoadEstimator. */
  readonly halfWeightAgeMs: number
  /** Mean utilisation, including this node's own requests. */
  readonly utilisation: number
  /** Median pace of the targets; null when no target has a measured pace. */
  readonly medianPaceMs: number | null
}

/**
 * Estimates the current utilisation of each target. Load reports arrive late and are the same for every node; used
 * unchanged, they would send the requests of all nodes to the same target until the next report. The estimate
 * therefore counts this node's own requests exactly, and moves the reported load of the other nodes towards the
 * mean of the lane as the report ages.
 *
 * All nodes act on the same report until the next one. A node sees the effect of its own routing at once and that
 * of the other nodes only in a later report, so a report that keeps its weight for too long makes the groups fill
 * up and empty in turn, and p95 time to first token grows with the number of nodes. A report has half its weight
 * at the age of (this node's share of the load) x (mean request duration), the time within which this node's own
 * requests can correct it.
 */
export class LoadEstimator {
  private means: LaneMeans | null = null

  constructor (private readonly records: readonly TargetRecord[], private readonly options: Pick<RoutingOptions, 'initialRequestDurationMs' | 'stragglerRatio'>, private averageDurationMs = options.initialRequestDurationMs) {}

  /** Exponential moving average of the duration of this node's completed attempts. */
  get meanDurationMs (): number {
    return this.averageDurationMs
  }

  /** Records the duration of a completed attempt of this node. */
  recordDuration (durationMs: number): void {
    this.averageDurationMs += DURATION_SMOOTHING * (durationMs - this.averageDurationMs)
  }

  /** Estimated requests at the target divided by its concurrent capacity; above 1, some are waiting there. */
  utilisation (record: TargetRecord, nowMs: number): number {
    const { othersShare, halfWeightAgeMs } = this.laneMeans(nowMs)
    return this.estimate(record, othersShare, halfWeightAgeMs, nowMs)
  }

  meanUtilisation (nowMs: number): number {
    return this.laneMeans(nowMs).utilisation
  }

  /** Ratio of the target's pace to the median pace; 1 for targets below the straggler ratio. */
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
