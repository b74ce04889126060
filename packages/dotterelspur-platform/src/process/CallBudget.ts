import type { Clock } from 'dotterelspur'
import { CallKind } from '../request/PlatformCall.js'

export interface CallBudgetSettings {
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

/** Totals since the process started, exported as metrics. */
export interface CallTotals {
  readonly reads: number
  readonly writes: number
  readonly watchesOpened: number
  readonly waitingWatches: number
  /** Calls not sent, because of this node's own rate limit or the retry time that the platform returned. */
  readonly withheld: number
  /** Calls rejected by the platform's rate limit. */
  readonly refused: number
  /** Calls that were sent and got no response. */
  readonly unanswered: number
}

const SECOND_MS = 1_000
const BUCKETS: Readonly<Record<CallKind, 'reads' | 'writes'>> = {
  [CallKind.Read]: 'reads',
  [CallKind.Watch]: 'reads',
  [CallKind.Write]: 'writes'
}

/**
 * Counts the calls of this process and enforces its own rate limits.
 *
 * All nodes share the platform's rates. A loop on one node that calls without waiting would exhaust them, and lease
 * renewals would be rejected on all nodes, including those without a fault. The node's own limit confines such a
 * fault to the node that has it.
 */
export class CallBudget {
  private readonly totals = { reads: 0, writes: 0, watchesOpened: 0, waitingWatches: 0, withheld: 0, refused: 0, unanswered: 0 }
  private readonly allowance: Record<'reads' | 'writes', number>
  private readonly blockedUntilMs = { reads: 0, writes: 0 }
  private refilledAtMs: number

  constructor (private readonly clock: Clock, private readonly settings: CallBudgetSettings) {
    this.allowance = { reads: settings.readsPerSecond, writes: settings.writesPerSecond }
    this.refilledAtMs = clock.nowMs()
  }

  snapshot (): CallTotals {
    return { ...this.totals }
  }

  /** Acquires one call. Returns 0 when it may be sent, else the milliseconds to wait before the next attempt. */
  acquire (call: CallKind): number {
    this.refill()
    const bucket = BUCKETS[call]
    const blockedMs = this.blockedUntilMs[bucket] - this.clock.nowMs()
    if (blockedMs > 0) return this.withhold(blockedMs)
    if (this.allowance[bucket] < 1) return this.withhold(SECOND_MS / this.rate(bucket))
    this.allowance[bucket]--
    this.totals[bucket]++
    if (call === CallKind.Watch) this.totals.watchesOpened++
    return 0
  }

  /** Records that the platform rate-limited a call. No call of the same bucket is sent until the retry time has passed. */
  recordRefusal (call: CallKind, retryAfterMs: number): void {
    this.totals.refused++
    this.blockedUntilMs[BUCKETS[call]] = this.clock.nowMs() + retryAfterMs
  }

  recordUnanswered (): void {
    this.totals.unanswered++
  }

  recordWatchStart (): void {
    this.totals.waitingWatches++
  }

  recordWatchEnd (): void {
    this.totals.waitingWatches--
  }

  private withhold (waitMs: number): number {
    this.totals.withheld++
    return Math.max(1, Math.ceil(waitMs))
  }

  private rate (bucket: 'reads' | 'writes'): number {
    return bucket === 'reads' ? this.settings.readsPerSecond : this.settings.writesPerSecond
  }

  private refill (): void {
    const nowMs = this.clock.nowMs()
    const elapsedSeconds = Math.max(0, nowMs - this.refilledAtMs) / SECOND_MS
    this.refilledAtMs = nowMs
    for (const bucket of ['reads', 'writes'] as const) {
      this.allowance[bucket] = Math.min(this.rate(bucket), this.allowance[bucket] + elapsedSeconds * this.rate(bucket))
    }
  }
}
