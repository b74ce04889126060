interface Sample {
  readonly sinceMs: number
  count: number
}

const BUCKET_MS = 250
const RETENTION_MS = 10_000

/**
 * How many attempts of this node were under way at a target, now and a while ago. A load report includes this
 * node's own requests of the time of its reading; they are taken out of it, since the exact count is known here.
 */
export class InFlightHistory {
  private samples: Sample[] = []

  get count (): number {
    return this.samples.at(-1)?.count ?? 0
  }

  adjust (difference: number, nowMs: number): void {
    const count = Math.max(0, this.count + difference)
    const last = this.samples.at(-1)
    if (last !== undefined && nowMs - last.sinceMs < BUCKET_MS) {
      last.count = count
      return
    }
    this.samples.push({ sinceMs: nowMs, count })
    this.prune(nowMs)
  }

  /** The count at a time in the past, exact to a quarter of a second. */
  countAt (atMs: number): number {
    for (let index = this.samples.length - 1; index >= 0; index--) {
      const sample = this.samples[index]!
      if (sample.sinceMs <= atMs) return sample.count
    }
    return 0
  }

  private prune (nowMs: number): void {
    let expired = 0
    while (expired < this.samples.length - 1 && this.samples[expired + 1]!.sinceMs < nowMs - RETENTION_MS) expired++
    if (expired > 0) this.samples = this.samples.slice(expired)
  }
}
