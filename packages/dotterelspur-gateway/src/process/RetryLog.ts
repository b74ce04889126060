import type { Clock, RetryUsage, ServiceId } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Interval between two lines about one service: a few within each window of the budget. */
const LINE_INTERVAL_MS = 2_000

/** The view of the fleet by which this node's part of the budget is determined. */
export interface BudgetView {
  /** Number of nodes among which the extra is divided. */
  readonly nodes: number
  /** This node's part of the extra, from 0 to 1. */
  readonly part: number
}

interface ServiceLines {
  writtenAtMs: number
  /** Retries that the budget did not allow, since the last line. */
  refused: number
}

/** Logs what this node uses of the retry budget that all nodes share, so that an excess can be traced to nodes and their views. */
export class RetryLog {
  private readonly services = new Map<ServiceId, ServiceLines>()
  private refusedTotal = 0

  constructor (private readonly clock: Clock, private readonly log: DecisionLog) {}

  /** Retries that the budget did not allow, since the start. */
  get refused (): number {
    return this.refusedTotal
  }

  /** Records that a retry was taken from the budget, or that the budget did not allow it. */
  note (service: ServiceId, isTaken: boolean, usage: RetryUsage, view: BudgetView): void {
    const nowMs = this.clock.nowMs()
    const lines = this.services.get(service) ?? { writtenAtMs: -Infinity, refused: 0 }
    this.services.set(service, lines)
    if (!isTaken) {
      lines.refused += 1
      this.refusedTotal += 1
    }
    if (nowMs - lines.writtenAtMs < LINE_INTERVAL_MS) return
    this.log.write(LogKind.RetryBudget, { service, ...usage, ...view, refused: lines.refused })
    lines.writtenAtMs = nowMs
    lines.refused = 0
  }
}
