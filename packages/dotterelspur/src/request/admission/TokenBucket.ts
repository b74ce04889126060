const SECOND_MS = 1_000

/** A rate limit with a burst. It may be overdrawn by one taking that is larger than its content, and then recovers first. */
export class TokenBucket {
  private available: number
  private updatedAtMs: number

  constructor (private perSecond: number, private burst: number, nowMs: number) {
    this.available = burst
    this.updatedAtMs = nowMs
  }

  configure (perSecond: number, burst: number, nowMs: number): void {
    this.refill(nowMs)
    this.perSecond = perSecond
    this.burst = burst
    this.available = Math.min(this.available, burst)
  }

  /** Whether something may be taken now. A taking larger than the burst must be possible, else it never would be. */
  has (size: number, nowMs: number): boolean {
    this.refill(nowMs)
    return this.available >= Math.min(size, this.burst)
  }

  take (size: number): void {
    this.available -= size
  }

  /** Takes as much of this as there is. */
  takeUpTo (size: number, nowMs: number): number {
    this.refill(nowMs)
    const taken = Math.max(0, Math.min(size, this.available))
    this.available -= taken
    return taken
  }

  giveBack (size: number): void {
    this.available = Math.min(this.burst, this.available + size)
  }

  /** Until `has` would hold, if nothing is taken meanwhile. */
  waitMs (size: number, nowMs: number): number {
    this.refill(nowMs)
    const shortfall = Math.min(size, this.burst) - this.available
    return shortfall <= 0 ? 0 : Math.ceil(shortfall / this.perSecond * SECOND_MS)
  }

  private refill (nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.updatedAtMs)
    this.available = Math.min(this.burst, this.available + passedMs * this.perSecond / SECOND_MS)
    this.updatedAtMs = nowMs
  }
}
