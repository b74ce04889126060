/**
 * Start-time fair queueing over keys: the key with the earliest start time, i.e. the least service in proportion to its
 * weight, is served next. A key that was idle starts at the current virtual time, so it gets no credit for unused
 * service, and no key is starved.
 */
export class FairShare<Key extends string> {
  private readonly finishTimes = new Map<Key, number>()
  private virtualTime = 0

  /** The key to serve next among the waiting ones; undefined if there is none. */
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

  /** Records service of this size for the key. */
  charge (key: Key, size: number, weight = 1): void {
    const start = this.startTimeOf(key)
    this.virtualTime = Math.max(this.virtualTime, start)
    this.finishTimes.set(key, start + size / weight)
  }

  /** Removes a key that no longer waits, unless it is ahead of the virtual time, so that the state stays small. */
  retire (key: Key): void {
    if ((this.finishTimes.get(key) ?? 0) <= this.virtualTime) this.finishTimes.delete(key)
  }

  private startTimeOf (key: Key): number {
    return Math.max(this.virtualTime, this.finishTimes.get(key) ?? 0)
  }
}
