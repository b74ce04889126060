/**
 * A sum whose parts lose half their weight in each half-life. What several processes counted this way can be added up
 * at any moment: each tells a state, not what happened, so a message lost or sent twice changes nothing.
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

/** How many parts of 1 come in each millisecond, by the faded sum of their count. */
export function ratePerMs (decayedCount: number, halfLifeMs: number): number {
  return decayedCount * Math.LN2 / halfLifeMs
}
