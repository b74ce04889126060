import type { ModelId } from '../../process/ids.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'
import { eventGapMs, maxPassMs } from './EngineTimes.js'
import type { PauseSample } from './FleetObservation.js'

/** The longest pause seen loses half of itself in this time: a burst of long prompts is over in seconds. */
const HALF_LIFE_MS = 5_000
/** How far beyond the longest pause seen lately a working group may go. */
const LONGEST_PAUSE_FACTOR = 1.6
/** The least multiple of the usual pause that counts; a group that reads no prompts stays below it. */
const USUAL_PAUSE_FACTOR = 3
/** Time on the way, and of a busy process until it takes the bytes. */
const SLACK_MS = 20

interface LongestPause {
  pauseMs: number
  atMs: number
}

/**
 * Learns how long streams of a model pause while their group works. Events come in passes whose length hardly varies,
 * but for the prompts of others that are read between them; so a group whose streams all pause much longer has
 * stopped, as one does that lost a member.
 */
export class StreamPauses {
  private readonly longest = new Map<ModelId, LongestPause>()
  private fleetPauses: Readonly<Record<ModelId, PauseSample>> = {}

  noteGap (model: ModelId, gapMs: number, nowMs: number): void {
    const known = this.longest.get(model)
    if (known !== undefined && gapMs < decayed(known, nowMs)) return
    this.longest.set(model, { pauseMs: gapMs, atMs: nowMs })
  }

  /**
   * Takes in the longest pauses that all nodes have seen lately. A node of a large fleet sees a hundredth of all streams:
   * by its own alone the limit swings with chance, and sound groups are passed over.
   */
  applyFleetObservation (pauses: Readonly<Record<ModelId, PauseSample>>): void {
    this.fleetPauses = pauses
  }

  /** The longest pauses that this node has seen lately, to be told. */
  localObservation (nowMs: number): Record<ModelId, PauseSample> {
    return Object.fromEntries([...this.longest].map(([model, known]) => [model, { longestSumMs: decayed(known, nowMs), nodes: 1 }]))
  }

  /** A pause of all streams at one group that its own work can't explain. `present` are the requests there. */
  limitMs (model: ModelId, engine: EngineSpec, pace: number, present: number, nowMs: number): number {
    const known = this.longest.get(model)
    const usualMs = USUAL_PAUSE_FACTOR * eventGapMs(engine, pace, present)
    const told = this.fleetPauses[model]
    const ownMs = known === undefined ? 0 : decayed(known, nowMs)
    const longestMs = told === undefined ? ownMs : told.longestSumMs / told.nodes
    const seenMs = longestMs === 0 ? Infinity : LONGEST_PAUSE_FACTOR * longestMs
    return Math.min(maxPassMs(engine, pace), Math.max(usualMs, seenMs)) + SLACK_MS
  }
}

function decayed ({ pauseMs, atMs }: LongestPause, nowMs: number): number {
  return pauseMs * 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS)
}
