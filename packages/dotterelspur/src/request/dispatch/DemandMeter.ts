import type { ModelId } from '../../process/ids.js'
import { DecayedSum } from './DecayedSum.js'
import { DEMAND_HALF_LIFE_MS, type DemandSample } from './FleetObservation.js'

/** Requests of each model, in the whole fleet, after which their mix says more than the operators' shares. */
const MIN_REQUESTS = 40

interface ModelDemand {
  readonly groupTimeMs: DecayedSum
  readonly requests: DecayedSum
}

/**
 * What callers ask for of each model. The deciding node's own callers are a hundredth of a large fleet's: it would not
 * learn their mix within a day, so what all nodes have seen is told, and goes before the own part.
 */
export class DemandMeter {
  private readonly models = new Map<ModelId, ModelDemand>()
  private fleetDemand: Readonly<Record<ModelId, DemandSample>> | null = null

  noteRequest (model: ModelId, groupTimeMs: number, nowMs: number): void {
    let known = this.models.get(model)
    if (known === undefined) {
      known = { groupTimeMs: new DecayedSum(DEMAND_HALF_LIFE_MS), requests: new DecayedSum(DEMAND_HALF_LIFE_MS) }
      this.models.set(model, known)
    }
    known.groupTimeMs.add(groupTimeMs, nowMs)
    known.requests.add(1, nowMs)
  }

  /** Takes in what all nodes together have seen; null when that is too old. */
  applyFleetObservation (told: Readonly<Record<ModelId, DemandSample>> | null): void {
    this.fleetDemand = told
  }

  /** What this node has seen, to be told. */
  localObservation (nowMs: number): Record<ModelId, DemandSample> {
    return Object.fromEntries([...this.models].map(([model, { groupTimeMs, requests }]) => [model, { groupTimeMs: groupTimeMs.at(nowMs), requests: requests.at(nowMs) }]))
  }

  /** Group time that callers ask for, by model; without models of which too little is known. */
  demand (nowMs: number): Map<ModelId, number> {
    const known = Object.entries(this.fleetDemand ?? this.localObservation(nowMs)).filter(([, { requests }]) => requests >= MIN_REQUESTS)
    return new Map(known.map(([model, { groupTimeMs }]) => [model, groupTimeMs]))
  }
}
