import type { Clock } from 'dotterelspur'

/** The weight store as engines feel it: bytes flow at one rate, and loads that come together wait for each other. */
export class WeightPipe {
  private freeAtMs = 0

  constructor (private readonly clock: Clock, private readonly bytesPerSecond: number) {}

  /** Takes a load into the pipe and returns the time until its last byte is through. */
  take (sizeBytes: number): number {
    const nowMs = this.clock.nowMs()
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + sizeBytes / this.bytesPerSecond * 1_000
    return this.freeAtMs - nowMs
  }
}
