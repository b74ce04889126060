import type { ModelId } from '../../process/ids.js'
import type { FirstEventSample } from './FleetObservation.js'

/** First events kept for each model: some seconds of traffic on a busy node, a minute on an idle one. */
const MAX_SAMPLES = 15
/** With fewer samples, queueing and stalls of single groups would be mistaken for the engine's usual time. */
const MIN_SAMPLES = 3
/** Most first events above this quantile have waited for a slot or were sent by a stalled group. */
const UNDELAYED_QUANTILE = 0.3

/**
 * Learns by how much a first event exceeds the times that its engine declares: network latency in both directions, and
 * the engine's work before it prefills a prompt. This part does not depend on the load, so it reduces the time for
 * which a request can queue and still be on time.
 */
export class FirstEventDelays {
  private readonly delaysByModel = new Map<ModelId, number[]>()
  private fleetSamples: Readonly<Record<ModelId, FirstEventSample>> = {}

  /** A first event arrived after `tookMs`, of which the engine's declared times explain `declaredMs`. */
  noteFirstEvent (model: ModelId, tookMs: number, declaredMs: number): void {
    const delays = this.delaysByModel.get(model) ?? []
    this.delaysByModel.set(model, delays)
    delays.push(Math.max(0, tookMs - declaredMs))
    if (delays.length > MAX_SAMPLES) delays.shift()
  }

  /** Applies the aggregate of all nodes' observations; it takes precedence over this node's few samples. */
  applyFleetObservation (fleetSamples: Readonly<Record<ModelId, FirstEventSample>>): void {
    this.fleetSamples = fleetSamples
  }

  /** What this node reports to the others. */
  localObservation (): Record<ModelId, FirstEventSample> {
    return Object.fromEntries([...this.delaysByModel].flatMap(([model, delays]) => {
      return delays.length < MIN_SAMPLES ? [] : [[model, { delaySumMs: typicalDelayMs(delays), nodes: 1 }] as const]
    }))
  }

  /** Zero while there are no samples of the model. */
  delayMs (model: ModelId): number {
    const sample = this.fleetSamples[model] ?? this.localObservation()[model]
    return sample === undefined ? 0 : sample.delaySumMs / sample.nodes
  }
}

function typicalDelayMs (delays: readonly number[]): number {
  const sorted = [...delays].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length * UNDELAYED_QUANTILE)]!
}
