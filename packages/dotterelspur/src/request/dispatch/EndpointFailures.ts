import type { EndpointId } from '../../process/ids.js'
import type { EndpointRecord } from '../../version/formation/Endpoint.js'
import { DecayedSum } from './DecayedSum.js'
import { FAILURE_HALF_LIFE_MS, type FailureSample } from './FleetObservation.js'

/** Weight of the prior that an endpoint answers, in answers: one failure alone proves little. */
const PRIOR_ANSWERS = 5
/** Failures within this time of exchanges that ran beside each other are one event, such as a reset of all connections. */
const EVENT_MS = 50
/** Decayed failures below this are neither used nor reported: less than a two-hundredth of the requests, by the prior alone. */
const MIN_FAILURES = 0.025
/** Endpoints with fewer decayed failures of all nodes are left out of the broadcast: one failure counts for two half-lives. */
const MIN_BROADCAST_FAILURES = 0.25
/**
 * Cost of failures, in proportion to their share: less than one more request in a queue, so that an endpoint that fails some of its requests
 * is passed over while another one has a free slot, and used when all others queue.
 */
const FREE_SLOT_COST_MS = 60
/** Added for an endpoint that fails all requests: more than any queue. */
const FAILURE_COST_MS = 2_000
/** That cost falls steeply with the share: an endpoint that fails half of its requests is still worth more than a refusal. */
const FAILURE_COST_POWER = 6
/** Own failures that are older are below `MIN_FAILURES`. */
const FORGOTTEN_MS = 30_000

interface Counts {
  readonly failures: DecayedSum
  readonly answers: DecayedSum
  countedAtMs: number
}

/**
 * Estimates by how much more often an endpoint fails requests than the others of its pool. An endpoint that fails at once holds few
 * requests, and would seem to be the emptiest one. Only the difference from the others counts: where requests fail anywhere, or all
 * endpoints fail alike, none is worse than another. A node of a large fleet receives few responses of each endpoint, so nodes share their counts.
 */
export class EndpointFailures {
  private readonly counts = new Map<string, Counts>()
  private readonly formations = new Map<EndpointId, number | null>()
  private fleetSamples: Readonly<Record<EndpointId, FailureSample>> = {}
  private receivedAtMs = 0
  private lastCountedAtMs = -Infinity

  /** The endpoint gave a whole answer that is no server error. */
  noteAnswer (endpoint: string, nowMs: number): void {
    this.countsOf(endpoint).answers.add(1, nowMs)
  }

  /** The endpoint failed a request that was sent at `sentAtMs`; returns whether this is counted. */
  noteFailure (endpoint: string, sentAtMs: number, nowMs: number): boolean {
    const counts = this.countsOf(endpoint)
    if (nowMs - counts.countedAtMs < EVENT_MS && sentAtMs <= counts.countedAtMs) return false
    counts.countedAtMs = nowMs
    this.lastCountedAtMs = nowMs
    counts.failures.add(1, nowMs)
    return true
  }

  /** Takes a counted failure back, because it was not the endpoint's fault. */
  withdraw (endpoint: EndpointId, countedAtMs: number, nowMs: number): void {
    const failures = this.counts.get(endpoint)?.failures
    if (failures === undefined) return
    const weight = 0.5 ** ((nowMs - countedAtMs) / FAILURE_HALF_LIFE_MS)
    failures.add(-Math.min(weight, failures.at(nowMs)), nowMs)
  }

  /** Applies the sum of all nodes' counts; undefined where no endpoint fails, and from nodes of the previous build. */
  applyFleetObservation (samples: Readonly<Record<EndpointId, FailureSample>> | undefined, nowMs: number): void {
    this.fleetSamples = samples ?? {}
    this.receivedAtMs = nowMs
  }

  /** By how much larger the share of failures is than the mean of the other endpoints, from 0 to 1; empty where none is known to fail. */
  excessShares<Id extends string> (endpoints: Iterable<Id>, nowMs: number): ReadonlyMap<Id, number> {
    if (nowMs - this.lastCountedAtMs > FORGOTTEN_MS && Object.keys(this.fleetSamples).length === 0) return new Map()
    const all = [...endpoints].map((endpoint) => [endpoint, shareOf(this.sample(endpoint, nowMs))] as const)
    const sum = all.reduce((partial, [, share]) => partial + share, 0)
    if (sum === 0) return new Map()
    return new Map(all.map(([endpoint, share]) => [endpoint, all.length === 1 ? 0 : Math.max(0, share - (sum - share) / (all.length - 1))]))
  }

  /**
   * What this node reports to the others: its counts of the endpoints that fail requests of its own, or of other nodes by the last sum.
   * Undefined where there are none, so that the frames are those of the previous build.
   */
  localObservation (nowMs: number): Record<EndpointId, FailureSample> | undefined {
    const all = [...this.counts.keys()].map((endpoint) => [endpoint, this.localSample(endpoint, nowMs)] as const)
    const reported = all.filter(([endpoint, { failures, answers }]) => failures > 0 || (this.fleetSamples[endpoint] !== undefined && answers > MIN_FAILURES))
    return reported.length === 0 ? undefined : Object.fromEntries(reported)
  }

  /** Forgets this node's own counts, because its links failed and not the endpoints. */
  clear (): void {
    this.counts.clear()
  }

  /** Drops endpoints that are gone, and what was counted before an endpoint became the head of another group. */
  noteEndpoints (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    this.retain(new Set(endpoints.keys()))
    for (const endpoint of this.formations.keys()) {
      if (!endpoints.has(endpoint)) this.formations.delete(endpoint)
    }
    for (const [endpoint, { membership }] of endpoints) {
      const formation = membership?.formation ?? null
      const known = this.formations.get(endpoint)
      this.formations.set(endpoint, formation)
      if (known !== undefined && known !== formation) this.forget(endpoint)
    }
  }

  /** Drops endpoints that are gone. */
  retain (endpoints: ReadonlySet<string>): void {
    for (const endpoint of this.counts.keys()) {
      if (!endpoints.has(endpoint)) this.counts.delete(endpoint)
    }
  }

  private forget (endpoint: EndpointId): void {
    this.counts.delete(endpoint)
    if (this.fleetSamples[endpoint] === undefined) return
    this.fleetSamples = Object.fromEntries(Object.entries(this.fleetSamples).filter(([other]) => other !== endpoint))
  }

  /** Own counts take effect at once; the sum of all nodes is larger once they are part of it. */
  private sample (endpoint: string, nowMs: number): FailureSample {
    const local = this.localSample(endpoint, nowMs)
    const fleet = this.fleetSamples[endpoint]
    if (fleet === undefined) return local
    const remaining = 0.5 ** ((nowMs - this.receivedAtMs) / FAILURE_HALF_LIFE_MS)
    const failures = Math.max(local.failures, fleet.failures * remaining)
    return { failures: failures < MIN_FAILURES ? 0 : failures, answers: Math.max(local.answers, fleet.answers * remaining) }
  }

  private localSample (endpoint: string, nowMs: number): FailureSample {
    const counts = this.counts.get(endpoint)
    const failures = counts?.failures.at(nowMs) ?? 0
    return { failures: failures < MIN_FAILURES ? 0 : failures, answers: counts?.answers.at(nowMs) ?? 0 }
  }

  private countsOf (endpoint: string): Counts {
    let counts = this.counts.get(endpoint)
    if (counts === undefined) {
      counts = { failures: new DecayedSum(FAILURE_HALF_LIFE_MS), answers: new DecayedSum(FAILURE_HALF_LIFE_MS), countedAtMs: -Infinity }
      this.counts.set(endpoint, counts)
    }
    return counts
  }
}

/** What a failing endpoint adds to the expected time, by its excess share of failures. */
export function failureCostMs (excessShare: number): number {
  return FREE_SLOT_COST_MS * excessShare + FAILURE_COST_MS * excessShare ** FAILURE_COST_POWER
}

/** The summed samples that are broadcast. Not by the share of failures: nodes state their answers of an endpoint while it is part of the broadcast. */
export function significantFailures (samples: Readonly<Record<EndpointId, FailureSample>>): Record<EndpointId, FailureSample> {
  return Object.fromEntries(Object.entries(samples).filter(([, { failures }]) => failures >= MIN_BROADCAST_FAILURES))
}

function shareOf ({ failures, answers }: FailureSample): number {
  return failures / (failures + answers + PRIOR_ANSWERS)
}
