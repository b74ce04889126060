/**
 * An exponentially decayed sum: each addend loses half its weight in each half-life. Sums of several processes can be
 * added up at any moment. Each process sends its current state rather than changes, so a lost or duplicated message
 * does no harm.
 */
export class DecayedSum {
  private sum = 0
  private updatedAtMs = 0

  constructor (private readonly halfLifeMs: number) {}

  add (value: number, nowMs: number): void {
    this.sum = this.at(nowMs) + value
    this.updatedAtMs = nowMs
  }

  at (nowMs: number): number {
    return this.sum * 0.5 ** ((nowMs - this.updatedAtMs) / this.halfLifeMs)
  }
}

/** The rate of events in each millisecond, from the decayed sum of their count. */
export function ratePerMs (decayedCount: number, halfLifeMs: number): number {
  return decayedCount * Math.LN2 / halfLifeMs
}
