import type { Clock, Teardown } from 'dotterelspur'
import { LogKind, type DecisionLog, type LogFields } from './DecisionLog.js'

const CHECK_INTERVAL_MS = 50
/** A check that is this late is logged: the callers' closes and the endpoints' responses were not read for that long. */
const LOGGED_HOLD_MS = 200

/** Window over which the delays of checks are compared with the time that has passed. */
const WINDOW_MS = 4_000
/** The loop is overloaded if its checks are late for more than this share of the window; one that is merely busy stays below a fifth. */
const OVERLOADED_SHARE = 0.5

/** Measures for how long the event loop did not run timers, by how late its checks are. */
export class LoopMonitor {
  private holdCount = 0
  private totalMs = 0
  /** Delays of the checks within the window. */
  private delays: Array<{ readonly atMs: number, readonly lateMs: number }> = []
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

  /** Whether the loop has been held for most of the last seconds. */
  get isOverloaded (): boolean {
    return this.delays.reduce((sum, { lateMs }) => sum + Math.min(lateMs, WINDOW_MS), 0) > OVERLOADED_SHARE * WINDOW_MS && this.delays.length > 1
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
    const nowMs = this.clock.nowMs()
    this.totalMs += Math.max(0, lateMs)
    this.delays = this.delays.filter(({ atMs }) => nowMs - atMs < WINDOW_MS)
    if (lateMs > 0) this.delays.push({ atMs: nowMs, lateMs })
    if (lateMs < LOGGED_HOLD_MS) return
    this.holdCount += 1
    this.log.write(LogKind.LoopHeld, { heldMs: Math.round(lateMs), ...this.readState() })
  }
}
