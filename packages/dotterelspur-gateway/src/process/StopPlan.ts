/** Retry-After of requests that a stopping node refuses: another node can serve them at once. */
export const STOPPING_RETRY_MS = 50

/** Time left of the grace period when running requests are abandoned, at most; the process then exits by itself. */
const STOP_MARGIN_MS = 350
/** Part of the grace period that this margin may take. */
const STOP_MARGIN_SHARE = 1 / 8
/** Time after the begin of a stop in which the directory of another node may still list this one. */
const UNLISTING_MS = 1_000
/** An error for a request whose time limit has passed is sent within this time. */
const LIMIT_SLACK_MS = 150
/** Requests may take this many times the longest recent one of their route: as nodes stop, load moves between the others. */
const DURATION_SLACK = 2

export interface StopTimes {
  readonly startedAtMs: number
  /** When the grace period ends. */
  readonly killedAtMs: number
  /** How long callers may use a directory response that lists this node. */
  readonly directoryTtlMs: number
}

/** What is known of the duration of a request. */
export interface RequestDuration {
  /** The longest recent request of its route, or one that still runs; null if none is known. */
  readonly longestMs: number | null
  /** Time that its route and its caller allow it. */
  readonly limitMs: number
  /** Its caller may send it again if its end is not known. */
  readonly isRepeatable: boolean
}

/** Why a node takes a request, as far as its planned stop is concerned. */
export enum StopBasis {
  /** It arrived before the stop began. */
  BeforeStop = 'before-stop',
  /** Its time limit ends before the stop does. */
  TimeLimit = 'time-limit',
  /** It may be repeated, and recent requests of its route took far less than what is left of the stop. */
  Durations = 'durations'
}

/**
 * Decides what a node still takes once its planned stop has begun. Only a time limit bounds how long a request takes. How long others took is an estimate, on which
 * only requests are taken that their callers may repeat, and only while callers may hold this node's address.
 *
 * Load pattern: callers go on sending for as long as their directory responses list the node, while the requests that they send elsewhere slow all endpoints down.
 */
export class StopPlan {
  /** When running requests are abandoned. */
  readonly endsAtMs: number
  /** Until then callers may hold this node's address, so that it must answer on new connections. */
  readonly listensUntilMs: number

  constructor (private readonly times: StopTimes) {
    const { startedAtMs, killedAtMs, directoryTtlMs } = times
    this.endsAtMs = killedAtMs - Math.min(STOP_MARGIN_MS, (killedAtMs - startedAtMs) * STOP_MARGIN_SHARE)
    this.listensUntilMs = Math.min(this.endsAtMs, startedAtMs + directoryTtlMs + UNLISTING_MS)
  }

  /** When the stop began. */
  get startedAtMs (): number {
    return this.times.startedAtMs
  }

  /** Why a request can be completed that this node would begin now; null if it can't. */
  admit (nowMs: number, { longestMs, limitMs, isRepeatable }: RequestDuration): StopBasis | null {
    const leftMs = this.endsAtMs - nowMs
    if (limitMs + LIMIT_SLACK_MS <= leftMs) return StopBasis.TimeLimit
    if (!isRepeatable || longestMs === null || nowMs >= this.listensUntilMs) return null
    return longestMs * DURATION_SLACK <= leftMs ? StopBasis.Durations : null
  }
}
