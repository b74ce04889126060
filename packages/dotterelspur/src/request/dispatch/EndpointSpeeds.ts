import type { EndpointId } from '../../process/ids.js'
import { DecayedSum } from './DecayedSum.js'
import { SPEED_HALF_LIFE_MS, type SpeedSample } from './FleetObservation.js'

/** Bounds of what one pause can say: a burst after a stall says nothing of the speed. */
const MIN_RATIO = 0.7
const MAX_RATIO = 8
/** An endpoint counts as being as fast as its engine should be until this many pauses say otherwise; one answer's start. */
const PRIOR_PAUSES = 10
/** Below this what was seen is not worth telling. */
const MIN_REPORTED_PAUSES = 0.5
/** What differs less from a sound endpoint's speed isn't told to all. */
const MIN_REPORTED_DEVIATION = 0.1

interface Pauses {
  readonly ratios: DecayedSum
  readonly count: DecayedSum
}

/**
 * How fast endpoints are, by the pauses between events against those that their engine should make. A node of a large
 * fleet sees few streams of each, so what all have seen is told and goes before the own part.
 */
export class EndpointSpeeds {
  private readonly pauses = new Map<EndpointId, Pauses>()
  private fleetSpeeds: Readonly<Record<EndpointId, SpeedSample>> | null = null

  /** A pause between two events of one stream, and the one that its engine should make at its load. */
  noteGap (endpoint: EndpointId, gapMs: number, expectedMs: number, nowMs: number): void {
    let known = this.pauses.get(endpoint)
    if (known === undefined) {
      known = { ratios: new DecayedSum(SPEED_HALF_LIFE_MS), count: new DecayedSum(SPEED_HALF_LIFE_MS) }
      this.pauses.set(endpoint, known)
    }
    known.ratios.add(Math.max(MIN_RATIO, Math.min(MAX_RATIO, gapMs / expectedMs)), nowMs)
    known.count.add(1, nowMs)
  }

  /** Takes in what all nodes together have seen; null when that is too old. */
  applyFleetObservation (told: Readonly<Record<EndpointId, SpeedSample>> | null): void {
    this.fleetSpeeds = told
  }

  /** 1 for an endpoint as fast as its engine should be; a group runs at the pace of its slowest member. */
  slowness (endpoint: EndpointId, nowMs: number): number {
    const sample = this.fleetSpeeds === null ? this.localSample(endpoint, nowMs) : this.fleetSpeeds[endpoint]
    return sample === undefined ? 1 : slownessOf(sample)
  }

  /** What this node has seen, to be told. */
  localObservation (nowMs: number): Record<EndpointId, SpeedSample> {
    const all = [...this.pauses.keys()].map((endpoint) => [endpoint, this.localSample(endpoint, nowMs)] as const)
    return Object.fromEntries(all.filter(([, { pauses }]) => pauses >= MIN_REPORTED_PAUSES))
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.pauses.keys()) {
      if (!endpoints.has(endpoint)) this.pauses.delete(endpoint)
    }
  }

  private localSample (endpoint: EndpointId, nowMs: number): SpeedSample {
    const known = this.pauses.get(endpoint)
    return { ratioSum: known?.ratios.at(nowMs) ?? 0, pauses: known?.count.at(nowMs) ?? 0 }
  }
}

/** Those samples of all nodes' sums that say more than that an endpoint is sound. */
export function significantSpeeds (speeds: Readonly<Record<EndpointId, SpeedSample>>): Record<EndpointId, SpeedSample> {
  return Object.fromEntries(Object.entries(speeds).filter(([, sample]) => Math.abs(slownessOf(sample) - 1) >= MIN_REPORTED_DEVIATION))
}

function slownessOf ({ ratioSum, pauses }: SpeedSample): number {
  return (ratioSum + PRIOR_PAUSES) / (pauses + PRIOR_PAUSES)
}
