import type { ModelId } from '../../process/ids.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'
import { eventGapMs, longestPassMs } from './EngineTimes.js'

/** The longest pause seen loses half of itself in this time: a burst of long prompts is over in seconds. */
const HALF_LIFE_MS = 5_000
/** How far beyond the longest pause seen lately a working group may go: 1 in 1,000 pauses is 1.3 times that of 1 in 100. */
const BEYOND_LONGEST = 1.6
/** The least multiple of the usual pause that counts: of a group that reads no prompts 1 in 1,000 is longer than 2.6. */
const BEYOND_USUAL = 3
/** Time on the way, and of a busy process until it takes the bytes. */
const SLACK_MS = 20

interface LongestPause {
  pauseMs: number
  atMs: number
}

/**
 * Learns how long streams of a model pause while their group works. Events come in passes whose length hardly varies,
 * but for the prompts of others that are read between them; so a group whose streams all pause much longer has
 * stopped, as one does that lost a member. Measured over 51,000 pauses on a day with losses: with 4 to 7 requests a
 * second at each group, 999 in 1,000 pauses are below 70 ms for a model without long prompts and 290 ms for one with
 * them, where a fixed time of 650 ms was waited before.
 */
export class StreamPauses {
  private readonly longest = new Map<ModelId | null, LongestPause>()

  noteGap (model: ModelId | null, gapMs: number, nowMs: number): void {
    const known = this.longest.get(model)
    if (known !== undefined && gapMs < faded(known, nowMs)) return
    this.longest.set(model, { pauseMs: gapMs, atMs: nowMs })
  }

  /** A pause of all streams at one group that its own work can't explain. `present` are the requests there. */
  limitMs (model: ModelId | null, engine: EngineSpec, pace: number, present: number, nowMs: number): number {
    const known = this.longest.get(model)
    const usualMs = BEYOND_USUAL * eventGapMs(engine, pace, present)
    const seenMs = known === undefined ? Infinity : BEYOND_LONGEST * faded(known, nowMs)
    return Math.min(longestPassMs(engine, pace), Math.max(usualMs, seenMs)) + SLACK_MS
  }
}

function faded ({ pauseMs, atMs }: LongestPause, nowMs: number): number {
  return pauseMs * 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS)
}
