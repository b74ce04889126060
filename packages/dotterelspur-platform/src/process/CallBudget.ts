import type { Clock } from 'dotterelspur'
import { CallKind } from '../request/PlatformCall.js'

export interface CallBudgetSettings {
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

/** Totals since the process started; the metrics page shows them. */
export interface CallTotals {
  readonly reads: number
  readonly writes: number
  readonly watchesOpened: number
  readonly waitingWatches: number
  /** Not sent, because of this node's own ceiling or because the platform asked to come back later. */
  readonly withheld: number
  /** Refused by the platform as too many. */
  readonly refused: number
  /** Sent, and not answered. */
  readonly unanswered: number
}

const SECOND_MS = 1_000
const BUCKETS: Readonly<Record<CallKind, 'reads' | 'writes'>> = {
  [CallKind.Read]: 'reads',
  [CallKind.Watch]: 'reads',
  [CallKind.Write]: 'writes'
}

/**
 * Counts the calls of this process and holds them under its own ceiling.
 *
 * The platform's rates are shared by all nodes. A loop that calls without a wait, on one node, would use them
 * up and stop lease renewals everywhere; it would show as refusals on nodes that do nothing wrong. The ceiling
 * keeps such a fault on the node that has it.
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

  /** Takes one call. Returns 0 when it may be sent, else the time to wait before asking again. */
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

  /** The platform refused a call as one too many: none of its kind is sent until it said to come back. */
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
