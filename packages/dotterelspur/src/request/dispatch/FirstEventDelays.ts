import type { ModelId } from '../../process/ids.js'
import type { FirstEventSample } from './FleetObservation.js'

/** First events that are remembered of each model: some seconds of a busy node, a minute of an idle one. */
const MAX_SAMPLES = 15
/** Of fewer than these, queues and stops of single groups would be taken for the engine's usual time. */
const MIN_SAMPLES = 3
/** Most first events that come later than this part of all have waited for a slot or met a stopped group. */
const UNDELAYED_QUANTILE = 0.3

/**
 * Learns what a first event takes beyond the times that its engine declares: the way there and back, and whatever the engine
 * does before it reads a prompt. Nothing of it depends on the load, so it shortens the time for which a request can wait and
 * still be on time.
 */
export class FirstEventDelays {
  private readonly delaysByModel = new Map<ModelId, number[]>()
  private fleetSamples: Readonly<Record<ModelId, FirstEventSample>> = {}

  /** A first event came after `tookMs`; its engine's declared times explain `declaredMs` of that. */
  noteFirstEvent (model: ModelId, tookMs: number, declaredMs: number): void {
    const delays = this.delaysByModel.get(model) ?? []
    this.delaysByModel.set(model, delays)
    delays.push(Math.max(0, tookMs - declaredMs))
    if (delays.length > MAX_SAMPLES) delays.shift()
  }

  /** Takes in what all nodes have learned; it goes before this node's own few first events. */
  applyFleetObservation (told: Readonly<Record<ModelId, FirstEventSample>>): void {
    this.fleetSamples = told
  }

  /** What this node has learned, to be told. */
  localObservation (): Record<ModelId, FirstEventSample> {
    return Object.fromEntries([...this.delaysByModel].flatMap(([model, delays]) => {
      return delays.length < MIN_SAMPLES ? [] : [[model, { delaySumMs: typicalDelayMs(delays), nodes: 1 }] as const]
    }))
  }

  /** Zero while nothing is known of the model. */
  delayMs (model: ModelId): number {
    const sample = this.fleetSamples[model] ?? this.localObservation()[model]
    return sample === undefined ? 0 : sample.delaySumMs / sample.nodes
  }
}

function typicalDelayMs (delays: readonly number[]): number {
  const sorted = [...delays].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length * UNDELAYED_QUANTILE)]!
}
