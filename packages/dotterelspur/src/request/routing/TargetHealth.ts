import { AttemptResult } from './Attempt.js'
import type { RoutingOptions } from './RoutingOptions.js'

const PACE_SMOOTHING = 0.2
const ERROR_SMOOTHING = 0.2
const EJECTION_RESET_FACTOR = 4

/**
 * What this node's own attempts say of one target: its pace, its errors, and whether it is ejected or ramping up.
 *
 * A target may be complete and fresh by its presence and still break what is sent to it, or be several times
 * slower than its peers. It shows as broken streams or long gaps on one target while the others are well.
 */
export class TargetHealth {
  private paceMs: number | null = null
  private errorShare = 0
  private consecutiveFailures = 0
  private ejections = 0
  private lastEjectedAtMs = -Infinity
  private ejectedUntilMs = -Infinity
  private rampFromMs: number

  constructor (private readonly options: RoutingOptions, addedAtMs: number, startsWithRamp: boolean) {
    this.rampFromMs = startsWithRamp ? addedAtMs : -Infinity
  }

  /** Smoothed milliseconds per token, or per response of a service; null until there was one. */
  get pace (): number | null {
    return this.paceMs
  }

  /** Smoothed share of attempts that broke, 0 to 1. */
  get errorRate (): number {
    return this.errorShare
  }

  recordPace (paceMs: number): void {
    this.paceMs = this.paceMs === null ? paceMs : this.paceMs + PACE_SMOOTHING * (paceMs - this.paceMs)
  }

  /** Takes in how an attempt ended. Returns true when the target should be ejected, which the caller may deny. */
  recordResult (result: AttemptResult): boolean {
    if (result === AttemptResult.Cancelled || result === AttemptResult.Refused) return false
    const isBroken = result === AttemptResult.Broken
    this.errorShare += ERROR_SMOOTHING * ((isBroken ? 1 : 0) - this.errorShare)
    this.consecutiveFailures = isBroken ? this.consecutiveFailures + 1 : 0
    return this.consecutiveFailures >= this.options.ejectAfterFailures
  }

  /** Takes the target out for a while; each ejection soon after another lasts twice as long. */
  eject (nowMs: number): void {
    const { ejectionMs, maxEjectionMs, rampMs } = this.options
    if (nowMs - this.lastEjectedAtMs > EJECTION_RESET_FACTOR * maxEjectionMs) this.ejections = 0
    const durationMs = Math.min(maxEjectionMs, ejectionMs * 2 ** this.ejections)
    this.ejections++
    this.consecutiveFailures = 0
    this.lastEjectedAtMs = nowMs
    this.ejectedUntilMs = nowMs + durationMs
    this.rampFromMs = rampMs > 0 ? this.ejectedUntilMs : -Infinity
  }

  isEjected (nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs
  }

  /** Share of its usual traffic that a new or returning target may take, from `rampStart` to 1. */
  trafficShare (nowMs: number): number {
    const { rampMs, rampStartShare } = this.options
    const passedMs = nowMs - this.rampFromMs
    if (passedMs >= rampMs) return 1
    return Math.max(rampStartShare, Math.min(1, rampStartShare + (1 - rampStartShare) * passedMs / rampMs))
  }
}
