import { AttemptResult } from './Attempt.js'
import type { RoutingOptions } from './RoutingOptions.js'

const PACE_SMOOTHING = 0.2
const ERROR_SMOOTHING = 0.2
const EJECTION_RESET_FACTOR = 4

/**
 * Health of one target, measured by this node's own attempts: pace, error rate, ejection and ramp-up.
 *
 * A target whose presence is complete and fresh can still break the streams sent to it, or be several times slower
 * than its peers. The symptom is broken streams or long gaps at one target while the others are healthy.
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

  /** Moving average of milliseconds per token, or per response of a service; null until the first measurement. */
  get pace (): number | null {
    return this.paceMs
  }

  /** Moving average of the share of broken attempts, 0 to 1. */
  get errorRate (): number {
    return this.errorShare
  }

  recordPace (paceMs: number): void {
    this.paceMs = this.paceMs === null ? paceMs : this.paceMs + PACE_SMOOTHING * (paceMs - this.paceMs)
  }

  /** Records how an attempt ended. Returns true if the target should be ejected; `Lane.ejectIfAllowed` decides. */
  recordResult (result: AttemptResult): boolean {
    if (result === AttemptResult.Cancelled || result === AttemptResult.Refused) return false
    const isBroken = result === AttemptResult.Broken
    this.errorShare += ERROR_SMOOTHING * ((isBroken ? 1 : 0) - this.errorShare)
    this.consecutiveFailures = isBroken ? this.consecutiveFailures + 1 : 0
    return this.consecutiveFailures >= this.options.ejectAfterFailures
  }

  /**
   * Ejects the target. The duration doubles with each ejection, and starts again at `ejectionMs` once more than
   * `EJECTION_RESET_FACTOR` times `maxEjectionMs` has passed since the last one.
   */
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

  /**
   * Share of its normal traffic that the target may take: rises from `rampStartShare` to 1 after it was added or
   * ejected.
   */
  trafficShare (nowMs: number): number {
    const { rampMs, rampStartShare } = this.options
    const passedMs = nowMs - this.rampFromMs
    if (passedMs >= rampMs) return 1
    return Math.max(rampStartShare, Math.min(1, rampStartShare + (1 - rampStartShare) * passedMs / rampMs))
  }
}
