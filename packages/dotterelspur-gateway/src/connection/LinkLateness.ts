import type { NodeId } from 'dotterelspur'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'

/** A state of the lease holder that may be older than this when it arrives is logged as late. Several probes are missing by then. */
const LATE_MS = 1_400
/** States are no longer late below this; on a sound link they stay below the interval of probes. */
const ON_TIME_MS = 1_000

/** Logs when the lease holder's states begin to arrive late, and when they are on time again. */
export class LinkLateness {
  private isLate = false
  private lateMs = 0

  constructor (private readonly log: DecisionLog) {}

  /** Upper bound of the age of the last state when it arrived. */
  get lastMs (): number {
    return this.lateMs
  }

  note (from: NodeId, lateMs: number): void {
    this.lateMs = lateMs
    const isLate = lateMs > (this.isLate ? ON_TIME_MS : LATE_MS)
    if (isLate === this.isLate) return
    this.isLate = isLate
    this.log.write(isLate ? LogKind.LinkLate : LogKind.LinkOnTime, { from, lateMs: Math.round(lateMs) })
  }
}
