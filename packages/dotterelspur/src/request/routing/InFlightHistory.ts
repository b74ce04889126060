interface Sample {
  readonly sinceMs: number
  count: number
}

const BUCKET_MS = 250
const RETENTION_MS = 10_000

/**
 * Number of this node's attempts in flight at a target, now and over the last 10 s. A load report of the target
 * includes this node's own requests at the time it was measured; TargetRecord subtracts them, because this node
 * counts its own requests exactly.
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

  /** The count at a time in the past, with a resolution of `BUCKET_MS`. */
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
