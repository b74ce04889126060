/**
 * Start-time fair queueing over keys: whoever has been served least, in proportion to its weight, goes next. A key
 * that was idle starts at the present and can't claim what it did not use, so no key is starved and none saves up.
 */
export class FairShare<Key extends string> {
  private readonly finishTimes = new Map<Key, number>()
  private virtualTime = 0

  /** The key to serve next among those that wait; undefined when none does. */
  next (waiting: Iterable<Key>): Key | undefined {
    let best: Key | undefined
    let earliest = Infinity
    for (const key of waiting) {
      const startTime = this.startTimeOf(key)
      if (startTime >= earliest) continue
      best = key
      earliest = startTime
    }
    return best
  }

  /** Records that the key was served work of this size. */
  charge (key: Key, size: number, weight = 1): void {
    const start = this.startTimeOf(key)
    this.virtualTime = Math.max(this.virtualTime, start)
    this.finishTimes.set(key, start + size / weight)
  }

  /** Forgets a key that no longer waits, so that the state is bounded by who waits. */
  retire (key: Key): void {
    if ((this.finishTimes.get(key) ?? 0) <= this.virtualTime) this.finishTimes.delete(key)
  }

  private startTimeOf (key: Key): number {
    return Math.max(this.virtualTime, this.finishTimes.get(key) ?? 0)
  }
}
