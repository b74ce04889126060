import type { Clock, Teardown } from 'dotterelspur'
import { LogKind, type DecisionLog, type LogFields } from './DecisionLog.js'

const CHECK_INTERVAL_MS = 50
/** A check that is this late is logged: the callers' closes and the endpoints' responses were not read for that long. */
const LOGGED_HOLD_MS = 200

/** Measures for how long the event loop did not run timers, by how late its checks are. */
export class LoopMonitor {
  private holdCount = 0
  private totalMs = 0
  private cancelTimer: Teardown = () => {}

  /** @param readState what is under way at the time of a hold, for its log line. */
  constructor (private readonly clock: Clock, private readonly log: DecisionLog, private readonly readState: () => LogFields) {}

  /** Holds that were logged since the start. */
  get holds (): number {
    return this.holdCount
  }

  /** Sum of the delays of all checks since the start. */
  get heldMs (): number {
    return this.totalMs
  }

  start (): void {
    const dueAtMs = this.clock.nowMs() + CHECK_INTERVAL_MS
    this.cancelTimer = this.clock.registerTimer(CHECK_INTERVAL_MS, () => {
      this.note(this.clock.nowMs() - dueAtMs)
      this.start()
    })
  }

  stop (): void {
    this.cancelTimer()
  }

  private note (lateMs: number): void {
    this.totalMs += Math.max(0, lateMs)
    if (lateMs < LOGGED_HOLD_MS) return
    this.holdCount += 1
    this.log.write(LogKind.LoopHeld, { heldMs: Math.round(lateMs), ...this.readState() })
  }
}
