/** Retry-After of requests that a stopping node refuses: another node can serve them at once. */
export const STOPPING_RETRY_MS = 50

/** Time left of the grace period when running requests are abandoned; the process then exits by itself. */
const STOP_MARGIN_MS = 600
/** Time after the begin of a stop in which the directory of another node may still list this one. */
const UNLISTING_MS = 1_000
/** Requests may take this much longer than the longest recent one of their route: as others drain, load moves between nodes. */
const DURATION_SLACK = 1.25
/**
 * Part of the stop that has to be left for a request whose route has no known durations and whose time limit is longer than the stop.
 * Such a limit says nothing about the usual duration, and refusing all such requests would fail callers that know no other node.
 */
const UNKNOWN_SHARE = 0.5

export interface StopTimes {
  readonly startedAtMs: number
  /** When the grace period ends. */
  readonly killedAtMs: number
  /** How long callers may use a directory response that lists this node. */
  readonly directoryTtlMs: number
}

/** What is known of the duration of a request. */
export interface RequestDuration {
  /** The longest recent request of its route; null if none is known. */
  readonly longestMs: number | null
  /** Time that its route and its caller allow it. */
  readonly limitMs: number
}

/** Why a node takes a request, as far as its planned stop is concerned. */
export enum StopBasis {
  /** It arrived before the stop began. */
  BeforeStop = 'before-stop',
  /** Its time limit ends before the stop does. */
  TimeLimit = 'time-limit',
  /** Recent requests of its route took less than what is left of the stop. */
  Durations = 'durations',
  /** No request of its route has been completed, and enough of the stop is left. */
  UnknownDuration = 'unknown-duration'
}

/** Decides what a node still takes once its planned stop has begun, by its grace period and by how long requests take. */
export class StopPlan {
  /** When running requests are abandoned. */
  readonly endsAtMs: number
  /** Until then callers may hold this node's address, so that it must answer on new connections. */
  readonly listensUntilMs: number

  constructor (private readonly times: StopTimes) {
    const { startedAtMs, killedAtMs, directoryTtlMs } = times
    this.endsAtMs = killedAtMs - STOP_MARGIN_MS
    this.listensUntilMs = Math.min(this.endsAtMs, startedAtMs + directoryTtlMs + UNLISTING_MS)
  }

  /** When the stop began. */
  get startedAtMs (): number {
    return this.times.startedAtMs
  }

  /** Why a request can be completed that this node would begin now; null if it can't. */
  admit (nowMs: number, { longestMs, limitMs }: RequestDuration): StopBasis | null {
    const leftMs = this.endsAtMs - nowMs
    if (limitMs <= leftMs) return StopBasis.TimeLimit
    if (longestMs !== null) return longestMs * DURATION_SLACK <= leftMs ? StopBasis.Durations : null
    return leftMs >= (this.endsAtMs - this.times.startedAtMs) * UNKNOWN_SHARE ? StopBasis.UnknownDuration : null
  }
}
