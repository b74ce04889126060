import type { EndpointId } from '../../process/ids.js'
import { DecayedSum } from './DecayedSum.js'
import { SPEED_HALF_LIFE_MS, type SpeedSample } from './FleetObservation.js'

/** Bounds of a single pause's ratio: a burst of events after a stall says nothing about the endpoint's speed. */
const MIN_RATIO = 0.7
const MAX_RATIO = 8
/** Weight of the prior that an endpoint is as fast as its engine declares, in pauses; about the start of one answer. */
const PRIOR_PAUSES = 10
/** Samples with fewer pauses are not reported. */
const MIN_REPORTED_PAUSES = 0.5
/** Endpoints that differ less than this from their declared speed are left out of the broadcast to all nodes. */
const MIN_REPORTED_DEVIATION = 0.1

interface Pauses {
  readonly ratios: DecayedSum
  readonly count: DecayedSum
}

/**
 * Estimates endpoints' speed: the measured pauses between events, relative to those that the engine declares. A node of
 * a large fleet receives few streams of each endpoint, so nodes share their samples, and the aggregate takes precedence
 * over the local one.
 */
export class EndpointSpeeds {
  private readonly pauses = new Map<EndpointId, Pauses>()
  private fleetSpeeds: Readonly<Record<EndpointId, SpeedSample>> | null = null

  /** A pause between two events of one stream, and the pause that the engine declares for the endpoint's load. */
  noteGap (endpoint: EndpointId, gapMs: number, expectedMs: number, nowMs: number): void {
    let pauses = this.pauses.get(endpoint)
    if (pauses === undefined) {
      pauses = { ratios: new DecayedSum(SPEED_HALF_LIFE_MS), count: new DecayedSum(SPEED_HALF_LIFE_MS) }
      this.pauses.set(endpoint, pauses)
    }
    pauses.ratios.add(Math.max(MIN_RATIO, Math.min(MAX_RATIO, gapMs / expectedMs)), nowMs)
    pauses.count.add(1, nowMs)
  }

  /** Applies the aggregate of all nodes' observations; null when the last one is too old. */
  applyFleetObservation (fleetSpeeds: Readonly<Record<EndpointId, SpeedSample>> | null): void {
    this.fleetSpeeds = fleetSpeeds
  }

  /** 1 for an endpoint as fast as its engine declares; a group runs at the pace of its slowest member. */
  slowness (endpoint: EndpointId, nowMs: number): number {
    const sample = this.fleetSpeeds === null ? this.localSample(endpoint, nowMs) : this.fleetSpeeds[endpoint]
    return sample === undefined ? 1 : slownessOf(sample)
  }

  /** What this node reports to the others. */
  localObservation (nowMs: number): Record<EndpointId, SpeedSample> {
    const all = [...this.pauses.keys()].map((endpoint) => [endpoint, this.localSample(endpoint, nowMs)] as const)
    return Object.fromEntries(all.filter(([, { pauses }]) => pauses >= MIN_REPORTED_PAUSES))
  }

  /** Drops endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.pauses.keys()) {
      if (!endpoints.has(endpoint)) this.pauses.delete(endpoint)
    }
  }

  private localSample (endpoint: EndpointId, nowMs: number): SpeedSample {
    const pauses = this.pauses.get(endpoint)
    return { ratioSum: pauses?.ratios.at(nowMs) ?? 0, pauses: pauses?.count.at(nowMs) ?? 0 }
  }
}

/** The aggregated samples that deviate from the declared speed by enough to be broadcast. */
export function significantSpeeds (speeds: Readonly<Record<EndpointId, SpeedSample>>): Record<EndpointId, SpeedSample> {
  return Object.fromEntries(Object.entries(speeds).filter(([, sample]) => Math.abs(slownessOf(sample) - 1) >= MIN_REPORTED_DEVIATION))
}

function slownessOf ({ ratioSum, pauses }: SpeedSample): number {
  return (ratioSum + PRIOR_PAUSES) / (pauses + PRIOR_PAUSES)
}
