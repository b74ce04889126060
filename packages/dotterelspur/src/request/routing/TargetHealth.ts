import { AttemptEnd } from './Attempt.js'
import type { RoutingOptions } from './RoutingOptions.js'

const LATENCY_WEIGHT = 0.2
const ERROR_WEIGHT = 0.2
const QUIET_EJECTIONS = 4

/**
 * What this node's own attempts say of one target: its pace, its errors, and whether it is ejected or ramping up.
 *
 * A target may be complete and fresh by its presence and still break what is sent to it, or be several times
 * slower than its peers. It shows as broken streams or long gaps on one target while the others are well.
 */
export class TargetHealth {
  private paceMs: number | null = null
  private errorShare = 0
  private brokenInRow = 0
  private ejections = 0
  private lastEjectedAtMs = -Infinity
  private ejectedUntilMs = -Infinity
  private rampFromMs: number

  constructor (private readonly options: RoutingOptions, seenAtMs: number, ramps: boolean) {
    this.rampFromMs = ramps ? seenAtMs : -Infinity
  }

  /** Smoothed milliseconds per token, or per response of a service; null until there was one. */
  get pace (): number | null {
    return this.paceMs
  }

  /** Smoothed share of attempts that broke, 0 to 1. */
  get errors (): number {
    return this.errorShare
  }

  notePace (paceMs: number): void {
    this.paceMs = this.paceMs === null ? paceMs : this.paceMs + LATENCY_WEIGHT * (paceMs - this.paceMs)
  }

  /** Takes in how an attempt ended. Returns true when the target should be ejected, which the caller may deny. */
  noteEnd (end: AttemptEnd): boolean {
    if (end === AttemptEnd.Cancelled || end === AttemptEnd.Refused) return false
    const broke = end === AttemptEnd.Broken
    this.errorShare += ERROR_WEIGHT * ((broke ? 1 : 0) - this.errorShare)
    this.brokenInRow = broke ? this.brokenInRow + 1 : 0
    return this.brokenInRow >= this.options.ejectAfterBroken
  }

  /** Takes the target out for a while; each ejection soon after another lasts twice as long. */
  eject (nowMs: number): void {
    const { ejectionMs, longestEjectionMs, rampMs } = this.options
    if (nowMs - this.lastEjectedAtMs > QUIET_EJECTIONS * longestEjectionMs) this.ejections = 0
    const durationMs = Math.min(longestEjectionMs, ejectionMs * 2 ** this.ejections)
    this.ejections++
    this.brokenInRow = 0
    this.lastEjectedAtMs = nowMs
    this.ejectedUntilMs = nowMs + durationMs
    this.rampFromMs = rampMs > 0 ? this.ejectedUntilMs : -Infinity
  }

  isEjected (nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs
  }

  /** Share of its usual traffic that a new or returning target may take, from `rampStart` to 1. */
  ramp (nowMs: number): number {
    const { rampMs, rampStart } = this.options
    const passedMs = nowMs - this.rampFromMs
    if (passedMs >= rampMs) return 1
    return Math.max(rampStart, Math.min(1, rampStart + (1 - rampStart) * passedMs / rampMs))
  }
}
