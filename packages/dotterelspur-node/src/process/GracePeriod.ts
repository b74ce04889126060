import type { Clock, Teardown } from 'dotterelspur'

/** Time for the errors to be sent, for other nodes to take over this one's endpoints, and for connections to be closed, at most. */
const CLOSING_MS = 3_000
/** Part of a short grace period that this may take. */
const CLOSING_SHARE = 1 / 4
/** Part of the closing time in which other nodes take over the endpoints that this node probes. */
const SUCCESSOR_SHARE = 2 / 3

/** The time between the signal with which a supervisor stops this process and the one with which it kills it. */
export class GracePeriod {
  private hasBegun = false
  private cancel: Teardown = () => {}

  /** @param graceMs 0 if the supervisor waits for as long as the drain takes. */
  constructor (private readonly clock: Clock, private readonly graceMs: number, private readonly onClosing: () => void) {}

  /** The signal was received `elapsedMs` ago. Repeated ones change nothing. */
  begin (elapsedMs: number): void {
    if (this.hasBegun || this.graceMs === 0) return
    this.hasBegun = true
    this.cancel = this.clock.registerTimer(Math.max(0, this.graceMs - this.closingMs - elapsedMs), this.onClosing)
  }

  /** The drain is complete. The timer would keep the process running. */
  close (): void {
    this.hasBegun = true
    this.cancel()
  }

  /** The part of a wait for other nodes that the grace period leaves. */
  limitSuccessorWait (waitMs: number): number {
    return this.hasBegun ? Math.min(waitMs, this.closingMs * SUCCESSOR_SHARE) : waitMs
  }

  private get closingMs (): number {
    return Math.min(CLOSING_MS, this.graceMs * CLOSING_SHARE)
  }
}
