import { RequestKind, type Clock, type Route } from 'dotterelspur'
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
  private readonly durations: RouteDurations
  private isAnnounced = false
  private plan: StopPlan | null = null
  private taken = 0
  private refused = 0

  /** `longestRunningMs` states for how long the oldest request of a route has run that has not ended; 0 if there is none. */
  constructor (private readonly clock: Clock, private readonly longestRunningMs: (route: string) => number) {
    this.durations = new RouteDurations(clock)
  }

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
  admit (route: Route, deadlineMs: number | null): StopDecision | null {
    const decision = this.decide(route, Math.min(route.timeoutMs, deadlineMs ?? Infinity))
    if (decision !== null && this.plan !== null) this.taken += 1
    return decision
  }

  /** Whether a request may be sent to another endpoint that has `leftMs` of its time limit left. */
  admitsRetry (route: Route, leftMs: number): boolean {
    return this.decide(route, leftMs) !== null
  }

  /** Retry-After of a request that was not run; `otherwiseMs` applies while this node is not stopping. */
  retryAfterMs (otherwiseMs: number): number {
    return this.isStopping ? STOPPING_RETRY_MS : otherwiseMs
  }

  noteRefused (): void {
    if (this.isStopping) this.refused += 1
  }

  noteEnded ({ name }: Route, tookMs: number): void {
    this.durations.note(name, tookMs)
  }

  noteRoutes (routes: readonly Route[]): void {
    this.durations.retain(new Set(routes.map(({ name }) => name)))
  }

  private decide ({ name, kind }: Route, limitMs: number): StopDecision | null {
    const longestMs = this.longestMs(name)
    if (this.plan === null) return { basis: StopBasis.BeforeStop, longestMs }
    const basis = this.plan.admit(this.clock.nowMs(), { longestMs, limitMs, isRepeatable: kind === RequestKind.Idempotent })
    return basis === null ? null : { basis, longestMs }
  }

  /** Requests that still run show that an estimate by earlier ones is too short. */
  private longestMs (route: string): number | null {
    const knownMs = this.durations.longestMs(route)
    return knownMs === null || this.plan === null ? knownMs : Math.max(knownMs, this.longestRunningMs(route))
  }
}
