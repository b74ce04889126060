import type { Random } from '../../process/Random.js'
import type { PoolKey, ReturnCounts } from './FleetObservation.js'
import { laterCounts, RETURN_BUCKET_MS, RETURN_BUCKETS } from './ReturnCounts.js'

/**
 * Callers retry between these shares of the time that they have left. They accept at most a third; with less than a
 * twentieth, a retry reaches the endpoints before the requests that caused the rejection have ended.
 */
const RETURN_SHARE = { least: 0.05, most: 0.33 } as const
/**
 * Added to the free rate of each part of the schedule, as a share of the capacity: parts that differ by less are chosen
 * about equally often. Otherwise all nodes would send their callers to the same part until the next aggregate.
 */
const LEVELING_SHARE = 0.1
/**
 * The probability of a part rises with this power of its free rate. A higher power avoids crowded parts better, but sends
 * the callers of all nodes to the same parts until the next aggregate.
 */
const FREE_RATE_POWER = 3

/**
 * Whether a caller that is rejected is likely to retry. Callers retry once, so one that has spent as much of its time as a
 * scheduled retry takes does not come again. One that has spent more has lost its node, and still has its retry.
 */
export function isLikelyToRetry (spentMs: number, leftMs: number): boolean {
  return spentMs === 0 || spentMs > RETURN_SHARE.most * (spentMs + leftMs)
}

interface PoolReturns {
  /** Callers that this node has told to retry, by bucket of its own clock. */
  readonly told: Map<number, number>
  /** The same when this node last reported, and when the report was made that the last aggregate includes. */
  reported: ReadonlyMap<number, number>
  included: ReadonlyMap<number, number>
}

/** A part of the time in which a caller may retry, within one bucket. */
interface ReturnSlice {
  readonly fromMs: number
  readonly widthMs: number
  readonly loadPerMs: number
}

/**
 * Chooses when rejected callers retry, so that they arrive at the rate that is free then.
 *
 * This handles the callers that a burst, or the loss of all nodes, has left without an answer. If each were told a
 * random time, most retries would arrive at the times that most callers have already been told, and be rejected again.
 * All nodes share how many callers they have told, since one node's own are a small part of them in a large fleet.
 */
export class ReturnSchedule {
  private readonly pools = new Map<PoolKey, PoolReturns>()
  private fleetReturns: Readonly<Record<PoolKey, ReturnCounts>> | null = null
  private receivedAtMs = -Infinity
  private prunedBucket = -Infinity
  private scheduled = 0

  /** Callers that this node has told to retry, since the start. */
  get scheduledCount (): number {
    return this.scheduled
  }

  /** Records that a caller of the pool was told to retry after `delayMs`. */
  noteReturn (key: PoolKey, delayMs: number, nowMs: number): void {
    this.scheduled += 1
    if (delayMs >= RETURN_BUCKETS * RETURN_BUCKET_MS) return
    this.prune(nowMs)
    const { told } = this.poolOf(key)
    const bucket = bucketAt(nowMs + delayMs)
    told.set(bucket, (told.get(bucket) ?? 0) + 1)
  }

  /** What this node reports to the others; undefined while no caller that it rejected is still to retry. */
  localObservation (nowMs: number): Record<PoolKey, ReturnCounts> | undefined {
    this.prune(nowMs)
    for (const pool of this.pools.values()) pool.reported = new Map(pool.told)
    const counts = [...this.pools].map(([key, { told }]) => [key, countsAhead(told, nowMs)] as const).filter(([, ahead]) => ahead.some((count) => count > 0))
    return counts.length === 0 ? undefined : Object.fromEntries(counts)
  }

  /** Applies the aggregate of all nodes' observations; absent from a coordinator of the previous build, and while no node has any. */
  applyFleetObservation (fleetReturns: Readonly<Record<PoolKey, ReturnCounts>> | undefined, nowMs: number): void {
    this.fleetReturns = fleetReturns ?? null
    this.receivedAtMs = nowMs
    for (const pool of this.pools.values()) pool.included = pool.reported
  }

  /**
   * When a caller that has `leftMs` left is to retry; null where it can't be scheduled: without the aggregate's returns,
   * or without the pool's capacity, which only a recent aggregate tells.
   */
  retryAfterMs (key: PoolKey, leftMs: number, capacityPerMs: number | null, random: Random, nowMs: number): number | null {
    if (this.fleetReturns === null || capacityPerMs === null) return null
    // Beyond the schedule's end all retries would fall into its last bucket.
    if (leftMs * RETURN_SHARE.most > RETURN_BUCKETS * RETURN_BUCKET_MS) return null
    const slices = slicesOf(this.returnsAhead(key, nowMs), leftMs)
    const mostPerMs = Math.max(...slices.map(({ loadPerMs }) => loadPerMs)) + LEVELING_SHARE * capacityPerMs
    const weights = slices.map(({ widthMs, loadPerMs }) => widthMs * (mostPerMs - loadPerMs) ** FREE_RATE_POWER)
    const sum = weights.reduce((partial, weight) => partial + weight, 0)
    if (!(sum > 0)) return null
    let drawn = random.next() * sum
    for (const [index, { fromMs, widthMs }] of slices.entries()) {
      if (drawn < weights[index]!) return fromMs + widthMs * drawn / weights[index]!
      drawn -= weights[index]!
    }
    return null
  }

  /** Callers of all nodes that will retry, by bucket from now on. */
  private returnsAhead (key: PoolKey, nowMs: number): number[] {
    const fleet = laterCounts(this.fleetReturns?.[key] ?? [], nowMs - this.receivedAtMs)
    const pool = this.pools.get(key)
    if (pool === undefined) return Array.from({ length: RETURN_BUCKETS }, (_unused, index) => fleet[index] ?? 0)
    const included = countsAhead(pool.included, nowMs)
    return countsAhead(pool.told, nowMs).map((count, index) => Math.max(0, (fleet[index] ?? 0) + count - included[index]!))
  }

  /** Drops retries whose time has passed, and pools without any. */
  private prune (nowMs: number): void {
    const current = bucketAt(nowMs)
    if (current === this.prunedBucket) return
    this.prunedBucket = current
    for (const [key, { told }] of this.pools) {
      for (const bucket of told.keys()) {
        if (bucket < current) told.delete(bucket)
      }
      if (told.size === 0) this.pools.delete(key)
    }
  }

  private poolOf (key: PoolKey): PoolReturns {
    let pool = this.pools.get(key)
    if (pool === undefined) {
      pool = { told: new Map(), reported: new Map(), included: new Map() }
      this.pools.set(key, pool)
    }
    return pool
  }
}

function bucketAt (atMs: number): number {
  return Math.floor(atMs / RETURN_BUCKET_MS)
}

/** The counts of buckets of the clock as those of buckets that begin now. */
function countsAhead (told: ReadonlyMap<number, number>, nowMs: number): number[] {
  const first = bucketAt(nowMs)
  const aligned = Array.from({ length: RETURN_BUCKETS + 1 }, (_unused, index) => told.get(first + index) ?? 0)
  return laterCounts(aligned, nowMs - first * RETURN_BUCKET_MS).slice(0, RETURN_BUCKETS)
}

/** The parts of the buckets in which a caller may retry. */
function slicesOf (returns: readonly number[], leftMs: number): ReturnSlice[] {
  const earliestMs = leftMs * RETURN_SHARE.least
  const latestMs = leftMs * RETURN_SHARE.most
  return returns.flatMap((count, index) => {
    const fromMs = Math.max(earliestMs, index * RETURN_BUCKET_MS)
    const widthMs = Math.min(latestMs, (index + 1) * RETURN_BUCKET_MS) - fromMs
    return widthMs <= 0 ? [] : [{ fromMs, widthMs, loadPerMs: count / RETURN_BUCKET_MS }]
  })
}
