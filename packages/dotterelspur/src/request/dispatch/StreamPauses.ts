import type { ModelId } from '../../process/ids.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'
import { eventGapMs, maxPassMs } from './EngineTimes.js'
import type { PauseSample } from './FleetObservation.js'

/** Half-life of the longest pause observed: a burst of long prompts is over in seconds. */
const HALF_LIFE_MS = 5_000
/** Multiple of the longest recent pause that a working group may reach. */
const LONGEST_PAUSE_FACTOR = 1.6
/** Smallest multiple of the usual pause that counts as a stall; a group that prefills no prompts stays below it. */
const USUAL_PAUSE_FACTOR = 3
/** Network latency, and delay in a busy process until it reads the bytes. */
const SLACK_MS = 20

interface LongestPause {
  pauseMs: number
  atMs: number
}

/**
 * Learns how long streams of a model pause while their group works. Events arrive in passes whose length hardly varies,
 * except for prompts of other requests that are prefilled in between. A group whose streams all pause much longer has
 * stalled, as a group that lost a member does.
 */
export class StreamPauses {
  private readonly longest = new Map<ModelId, LongestPause>()
  private fleetPauses: Readonly<Record<ModelId, PauseSample>> = {}

  noteGap (model: ModelId, gapMs: number, nowMs: number): void {
    const longest = this.longest.get(model)
    if (longest !== undefined && gapMs < decayed(longest, nowMs)) return
    this.longest.set(model, { pauseMs: gapMs, atMs: nowMs })
  }

  /**
   * Applies the mean of all nodes' longest recent pauses. A node of a large fleet receives a hundredth of all streams:
   * from its own pauses alone, the limit would fluctuate at random, and healthy groups would be avoided.
   */
  applyFleetObservation (pauses: Readonly<Record<ModelId, PauseSample>>): void {
    this.fleetPauses = pauses
  }

  /** The longest recent pauses on this node, which it reports to the others. */
  localObservation (nowMs: number): Record<ModelId, PauseSample> {
    return Object.fromEntries([...this.longest].map(([model, longest]) => [model, { longestSumMs: decayed(longest, nowMs), nodes: 1 }]))
  }

  /**
   * The shortest pause of all streams at one group that the group's work cannot explain. `present` is the number of
   * requests there.
   */
  limitMs (model: ModelId, engine: EngineSpec, pace: number, present: number, nowMs: number): number {
    const longest = this.longest.get(model)
    const usualMs = USUAL_PAUSE_FACTOR * eventGapMs(engine, pace, present)
    const fleet = this.fleetPauses[model]
    const ownMs = longest === undefined ? 0 : decayed(longest, nowMs)
    const longestMs = fleet === undefined ? ownMs : fleet.longestSumMs / fleet.nodes
    const seenMs = longestMs === 0 ? Infinity : LONGEST_PAUSE_FACTOR * longestMs
    return Math.min(maxPassMs(engine, pace), Math.max(usualMs, seenMs)) + SLACK_MS
  }
}

function decayed ({ pauseMs, atMs }: LongestPause, nowMs: number): number {
  return pauseMs * 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS)
}
