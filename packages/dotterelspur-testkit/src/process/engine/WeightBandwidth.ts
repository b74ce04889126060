import type { Clock } from 'dotterelspur'

/** The weight store's bandwidth as engines observe it: loads are served one after the other at a fixed rate. */
export class WeightBandwidth {
  private freeAtMs = 0

  constructor (private readonly clock: Clock, private readonly bytesPerSecond: number) {}

  /** Queues a load; returns the time until it is complete. */
  take (sizeBytes: number): number {
    const nowMs = this.clock.nowMs()
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + sizeBytes / this.bytesPerSecond * 1_000
    return this.freeAtMs - nowMs
  }
}
