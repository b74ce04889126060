import type { Clock } from '../Clock.js'

/** A connection with bytes that wait to be parsed. */
export interface TurnTaker {
  /** Parses some bytes, within `ReadTurns.spend`. */
  takeTurn (): void
  /** What parsing for it has taken lately. */
  readonly spentMs: number
  /** Parsing for all does not keep up, and this one has taken most. */
  giveWay (): void
}

/** What may be spent on parsing before other work gets its turn. */
const BUDGET_MS = 8
/** A backlog of so many connections or fewer may last. */
const MAX_WAITING = 32
/** Beyond `MAX_WAITING`, how long a backlog may last. */
const BACKLOG_MS = 1_000
/** A usual request takes some milliseconds, on a part of a core as well. */
const MIN_SPENT_MS = 250

/**
 * Lets connections parse what they have received in turns, so that none holds up the others. Load pattern: many callers send bodies in chunks of a byte, or
 * requests of a few bytes, of which one read from a socket takes as much processor time as a hundred ordinary requests.
 */
export class ReadTurns {
  private readonly waiting = new Set<TurnTaker>()
  private isScheduled = false
  private spentMs = 0
  private backlogSinceMs: number | null = null

  /** @param defer calls back once other events have been handled. */
  constructor (private readonly clock: Clock, private readonly defer: (callback: () => void) => void) {}

  get size (): number {
    return this.waiting.size
  }

  /** Whether a connection may parse a read at once, without waiting for its turn. */
  get hasTime (): boolean {
    return this.spentMs < BUDGET_MS
  }

  /** Parses, and returns how long it took. */
  spend (parse: () => void): number {
    const startedAtMs = this.clock.nowMs()
    parse()
    const tookMs = this.clock.nowMs() - startedAtMs
    this.spentMs += tookMs
    // The budget is renewed once other events have been handled.
    if (!this.hasTime) this.schedule()
    return tookMs
  }

  add (taker: TurnTaker): void {
    this.waiting.add(taker)
    this.schedule()
  }

  remove (taker: TurnTaker): void {
    this.waiting.delete(taker)
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    this.defer(() => {
      this.isScheduled = false
      this.spentMs = 0
      this.run()
    })
  }

  private run (): void {
    for (const taker of this.waiting) {
      if (!this.hasTime) break
      this.waiting.delete(taker)
      taker.takeTurn()
    }
    this.noteBacklog()
    if (this.waiting.size > 0) this.schedule()
  }

  private noteBacklog (): void {
    if (this.waiting.size <= MAX_WAITING) {
      this.backlogSinceMs = null
      return
    }
    const nowMs = this.clock.nowMs()
    this.backlogSinceMs ??= nowMs
    if (nowMs - this.backlogSinceMs < BACKLOG_MS) return
    let most: TurnTaker | null = null
    for (const taker of this.waiting) if (most === null || taker.spentMs > most.spentMs) most = taker
    if (most === null || most.spentMs < MIN_SPENT_MS) return
    this.waiting.delete(most)
    most.giveWay()
  }
}
