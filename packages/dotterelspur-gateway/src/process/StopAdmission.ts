import type { Clock, Route } from 'dotterelspur'
import { RouteDurations } from './RouteDurations.js'
import { STOPPING_RETRY_MS, type StopPlan } from './StopPlan.js'

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

  /** `deadlineMs` is the time that the caller allows; null if it states none. */
  admits ({ name, timeoutMs }: Route, deadlineMs: number | null): boolean {
    if (this.plan === null) return true
    const admits = this.plan.admits(this.clock.nowMs(), { longestMs: this.durations.longestMs(name), limitMs: Math.min(timeoutMs, deadlineMs ?? Infinity) })
    if (admits) this.taken += 1
    return admits
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
