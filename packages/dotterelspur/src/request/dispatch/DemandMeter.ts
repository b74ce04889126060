import type { ModelId } from '../../process/ids.js'
import { DecayedSum } from './DecayedSum.js'
import { DEMAND_HALF_LIFE_MS, type DemandSample } from './FleetObservation.js'

/**
 * Requests of a model in the whole fleet, from which on the measured mix takes precedence over the shares that
 * operators configured.
 */
const MIN_REQUESTS = 40

interface ModelDemand {
  readonly groupTimeMs: DecayedSum
  readonly requests: DecayedSum
}

/**
 * Measures callers' demand for each model. The lease holder receives about a hundredth of a large fleet's requests and
 * would not learn their mix within a day, so all nodes share their observations, and the aggregate takes precedence
 * over the local one.
 */
export class DemandMeter {
  private readonly models = new Map<ModelId, ModelDemand>()
  private fleetDemand: Readonly<Record<ModelId, DemandSample>> | null = null

  noteRequest (model: ModelId, groupTimeMs: number, nowMs: number): void {
    let demand = this.models.get(model)
    if (demand === undefined) {
      demand = { groupTimeMs: new DecayedSum(DEMAND_HALF_LIFE_MS), requests: new DecayedSum(DEMAND_HALF_LIFE_MS) }
      this.models.set(model, demand)
    }
    demand.groupTimeMs.add(groupTimeMs, nowMs)
    demand.requests.add(1, nowMs)
  }

  /** Applies the aggregate of all nodes' observations; null when the last one is too old. */
  applyFleetObservation (fleetDemand: Readonly<Record<ModelId, DemandSample>> | null): void {
    this.fleetDemand = fleetDemand
  }

  /** What this node reports to the others. */
  localObservation (nowMs: number): Record<ModelId, DemandSample> {
    return Object.fromEntries([...this.models].map(([model, { groupTimeMs, requests }]) => [model, { groupTimeMs: groupTimeMs.at(nowMs), requests: requests.at(nowMs) }]))
  }

  /** Group time that callers request, by model; models with too few requests are left out. */
  demand (nowMs: number): Map<ModelId, number> {
    const sufficient = Object.entries(this.fleetDemand ?? this.localObservation(nowMs)).filter(([, { requests }]) => requests >= MIN_REQUESTS)
    return new Map(sufficient.map(([model, { groupTimeMs }]) => [model, groupTimeMs]))
  }
}
