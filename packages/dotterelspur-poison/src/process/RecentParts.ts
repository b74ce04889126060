import type { Clock } from 'dotterelspur'

/** A part of a recent response did not crash its endpoint; one that turned harmful is blamed once this time has passed. */
const RECENT_MS = 3_000
/** Bounds the memory for callers that invent parts. */
const MAX_PARTS = 2_048

/** Parts of prompts, by their outlines, on which endpoints have recently written a response to this node. */
export class RecentParts {
  private readonly answeredAtMs = new Map<number, number>()

  constructor (private readonly clock: Clock) {}

  note (outline: number): void {
    this.answeredAtMs.delete(outline)
    this.answeredAtMs.set(outline, this.clock.nowMs())
    if (this.answeredAtMs.size <= MAX_PARTS) return
    const [oldest] = this.answeredAtMs.keys()
    this.answeredAtMs.delete(oldest!)
  }

  has (outline: number): boolean {
    return this.clock.nowMs() - (this.answeredAtMs.get(outline) ?? -Infinity) < RECENT_MS
  }
}
