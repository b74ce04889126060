import type { Clock } from 'dotterelspur'
import { CallKind } from './PlatformFaults.js'

export interface CallRates {
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

export interface CallCounts {
  readonly reads: number
  readonly writes: number
  readonly watchesOpened: number
  readonly waitingWatches: number
  readonly refused: number
}

const SECOND_MS = 1_000

/** Counts the platform's calls by kind, and rejects those above its rates. Opening a watch counts as a read. */
export class CallMeter {
  private readonly counts = { reads: 0, writes: 0, watchesOpened: 0, waitingWatches: 0, refused: 0 }
  private readonly allowance: Record<'reads' | 'writes', number>
  private refilledAtMs: number

  constructor (private readonly clock: Clock, private readonly rates: CallRates) {
    this.allowance = { reads: rates.readsPerSecond, writes: rates.writesPerSecond }
    this.refilledAtMs = clock.nowMs()
  }

  snapshot (): CallCounts {
    return { ...this.counts }
  }

  /** Counts a call. Returns 0 if it is admitted, otherwise the milliseconds after which to retry. */
  admit (call: CallKind): number {
    this.refill()
    const bucket = call === CallKind.Write ? 'writes' : 'reads'
    this.counts[bucket]++
    if (call === CallKind.Watch) this.counts.watchesOpened++
    if (this.allowance[bucket] >= 1) {
      this.allowance[bucket]--
      return 0
    }
    this.counts.refused++
    const perSecond = bucket === 'writes' ? this.rates.writesPerSecond : this.rates.readsPerSecond
    return Math.ceil(SECOND_MS / perSecond)
  }

  watchStarted (): void {
    this.counts.waitingWatches++
  }

  watchEnded (): void {
    this.counts.waitingWatches--
  }

  private refill (): void {
    const nowMs = this.clock.nowMs()
    const elapsedSeconds = (nowMs - this.refilledAtMs) / SECOND_MS
    this.refilledAtMs = nowMs
    this.allowance.reads = Math.min(this.rates.readsPerSecond, this.allowance.reads + elapsedSeconds * this.rates.readsPerSecond)
    this.allowance.writes = Math.min(this.rates.writesPerSecond, this.allowance.writes + elapsedSeconds * this.rates.writesPerSecond)
  }
}
