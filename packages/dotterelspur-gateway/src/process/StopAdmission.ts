import type { Clock, Route } from 'dotterelspur'
import { RouteDurations } from './RouteDurations.js'
import { StopBasis, STOPPING_RETRY_MS, type StopPlan } from './StopPlan.js'

/** How a request was admitted. */
export interface StopDecision {
  readonly basis: StopBasis
  /** The longest recent request of its route at that time; null if none was known. */
  readonly longestMs: number | null
}

export interface StopCounts {
  /** Requests that were taken since the stop began. */
  readonly taken: number
  /** Requests that were refused as not run since the stop began. */
  readonly refused: number
}

/** Admits the requests that this node can complete: all of them until its planned stop begins. */
export class StopAdmission {
  private readonly durations = new RouteDurations()
  private isAnnounced = false
  private plan: StopPlan | null = null
  private taken = 0
  private refused = 0

  constructor (private readonly clock: Clock) {}

  get isStopping (): boolean {
    return this.isAnnounced || this.plan !== null
  }

  get counts (): StopCounts {
    return { taken: this.taken, refused: this.refused }
  }

  /** The stop begins later; requests are taken until then. */
  announce (): void {
    this.isAnnounced = true
  }

  begin (plan: StopPlan): void {
    this.plan = plan
  }

  /** Milliseconds since the stop began; negative before it. Null while this node is not stopping. */
  sinceStopMs (atMs: number): number | null {
    return this.plan === null ? null : atMs - this.plan.startedAtMs
  }

  /** `deadlineMs` is the time that the caller allows; null if it states none. Returns null for a request that this node can't complete. */
  admit ({ name, timeoutMs }: Route, deadlineMs: number | null): StopDecision | null {
    const longestMs = this.durations.longestMs(name)
    if (this.plan === null) return { basis: StopBasis.BeforeStop, longestMs }
    const basis = this.plan.admit(this.clock.nowMs(), { longestMs, limitMs: Math.min(timeoutMs, deadlineMs ?? Infinity) })
    if (basis === null) return null
    this.taken += 1
    return { basis, longestMs }
  }

  /** Retry-After of a request that was not run; `otherwiseMs` applies while this node is not stopping. */
  retryAfterMs (otherwiseMs: number): number {
    return this.isStopping ? STOPPING_RETRY_MS : otherwiseMs
  }

  noteRefused (): void {
    if (this.isStopping) this.refused += 1
  }

  noteCompleted ({ name }: Route, tookMs: number): void {
    this.durations.note(name, tookMs)
  }

  noteRoutes (routes: readonly Route[]): void {
    this.durations.retain(new Set(routes.map(({ name }) => name)))
  }
}
