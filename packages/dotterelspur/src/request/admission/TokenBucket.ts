const SECOND_MS = 1_000

/**
 * Token bucket rate limit. One request larger than the burst may overdraw a full bucket, which then refills from below
 * zero.
 */
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

  /**
   * Whether this size may be taken now. A size above the burst needs only a full bucket, since it could never be taken
   * otherwise.
   */
  has (size: number, nowMs: number): boolean {
    this.refill(nowMs)
    return this.available >= Math.min(size, this.burst)
  }

  take (size: number): void {
    this.available -= size
  }

  /** Takes at most `size` and returns the amount taken. */
  takeUpTo (size: number, nowMs: number): number {
    this.refill(nowMs)
    const taken = Math.max(0, Math.min(size, this.available))
    this.available -= taken
    return taken
  }

  giveBack (size: number): void {
    this.available = Math.min(this.burst, this.available + size)
  }

  /** Time until `has` returns true, if nothing else is taken. */
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
