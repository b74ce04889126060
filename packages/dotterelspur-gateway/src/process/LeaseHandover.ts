/** A term lasts at least this long, since taking the lease over is work as well. */
const MIN_TERM_MS = 6_000
/** Bounds how often a node hands over: where all nodes are overloaded as holders, the lease changes hands rarely. */
const STAND_BACK_MS = 60_000
/** Other nodes try within this time, on average much earlier; after it, a node that stands back takes a free lease. */
const STAND_BACK_DELAY_MS = 1_000

/** Decides when a holder that is overloaded hands the lease over. */
export class LeaseHandover {
  private takenAtMs = -Infinity
  private handedOverAtMs = -Infinity

  /** @param isOverloaded whether this node's event loop is held for much of the time. */
  constructor (private readonly isOverloaded: () => boolean) {}

  noteTaken (nowMs: number): void {
    this.takenAtMs = nowMs
  }

  noteHandedOver (nowMs: number): void {
    this.handedOverAtMs = nowMs
  }

  /** Whether the holder should hand over now. */
  isDue (nowMs: number): boolean {
    return nowMs - this.takenAtMs >= MIN_TERM_MS && !this.standsBack(nowMs) && this.isOverloaded()
  }

  /** How much later than other nodes this one tries to take a free lease. */
  challengeDelayMs (nowMs: number): number {
    return this.standsBack(nowMs) ? STAND_BACK_DELAY_MS : 0
  }

  private standsBack (nowMs: number): boolean {
    return nowMs - this.handedOverAtMs < STAND_BACK_MS
  }
}
