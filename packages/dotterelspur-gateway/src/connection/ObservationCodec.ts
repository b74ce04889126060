import { hashText, RETURN_BUCKETS, validClassSamples, type ClassSample, type ClassSamples, type EndpointId, type FailureSample, type FleetObservation, type NodeObservation } from 'dotterelspur'

/** Rates and sums are sent as integer hundredths, which take two or three bytes each instead of the nine of a double. */
const HUNDREDTHS = 100
/** Encodes that an endpoint has withdrawn its rate limit. */
const NO_LIMIT = -1
/** Encodes the remainder of a rank, in the place of a workspace's code. */
const REMAINDER = -1

/** A flat list in which each name is followed by its numbers. */
type NamedNumbers = ReadonlyArray<string | number>

/**
 * The wire form of a node's observation. Endpoints are encoded as four-byte hashes: the names of a hundred groups, sent to 200 nodes
 * four times a second, would fill a link of 14 Mbit/s.
 */
export interface EncodedObservation {
  readonly inFlight: readonly number[]
  readonly speeds: readonly number[]
  readonly flows: NamedNumbers
  readonly demand: NamedNumbers
  readonly pauses: NamedNumbers
  readonly firstEvents: NamedNumbers
  /** Usual deadline by route. */
  readonly deadlines: NamedNumbers
  readonly leastDeadlineShare: readonly number[]
  /** This and the following fields are absent in observations from nodes of the previous release. */
  readonly limits?: readonly number[]
  readonly rests?: readonly number[]
  readonly leaving?: readonly number[]
  /** By pool: rank, workspace's code and hundredths of requests of each class. */
  readonly classes?: Readonly<Record<string, readonly number[]>>
  /** Rejected callers that were told to retry: by pool, `RETURN_BUCKETS` numbers. Absent where no caller was. */
  readonly returns?: NamedNumbers
  /** Absent where no endpoint is cold. */
  readonly cold?: readonly number[]
  /** Absent where no endpoint fails requests. */
  readonly failures?: readonly number[]
}

/** The wire form of the sum of all nodes' observations. */
export interface EncodedFleetObservation extends EncodedObservation {
  readonly nodes: number
  readonly ageMs: number
  readonly intervalMs: number
}

/** Converts observations to and from their wire form. Decoding drops endpoints that are not listed at this node. */
export class ObservationCodec {
  private readonly byCode = new Map<number, EndpointId>()
  private readonly codes = new Map<EndpointId, number>()

  /** Sets the endpoints that are listed, whose hashes can be decoded. */
  setEndpoints (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.codes.keys()) {
      if (!endpoints.has(endpoint)) this.forget(endpoint)
    }
    for (const endpoint of endpoints) {
      if (!this.codes.has(endpoint)) this.byCode.set(this.codeOf(endpoint), endpoint)
    }
  }

  encode ({ inFlight, flows, demand, speeds, pauses, firstEvents, deadlines, limits, rests, leaving, classes, returns, cold, failures }: NodeObservation): EncodedObservation {
    return {
      inFlight: Object.entries(inFlight).flatMap(([endpoint, count]) => [this.codeOf(endpoint), count]),
      speeds: Object.entries(speeds).flatMap(([endpoint, speed]) => [this.codeOf(endpoint), hundredths(speed.ratioSum), hundredths(speed.pauses)]),
      flows: Object.entries(flows).flatMap(([pool, { asked, sent, ended }]) => [pool, hundredths(asked), hundredths(sent), hundredths(ended)]),
      demand: Object.entries(demand).flatMap(([model, { groupTimeMs, requests }]) => [model, Math.round(groupTimeMs), hundredths(requests)]),
      pauses: Object.entries(pauses).flatMap(([model, { longestSumMs, nodes }]) => [model, Math.round(longestSumMs), nodes]),
      firstEvents: Object.entries(firstEvents).flatMap(([model, { delaySumMs, nodes }]) => [model, Math.round(delaySumMs), nodes]),
      deadlines: Object.entries(deadlines.usual).flatMap(([route, { usualSumMs, nodes }]) => [route, Math.round(usualSumMs), nodes]),
      leastDeadlineShare: [hundredths(deadlines.leastShare.sum), deadlines.leastShare.nodes],
      limits: Object.entries(limits).flatMap(([endpoint, { requestsPerSecond, ageMs }]) => [this.codeOf(endpoint), requestsPerSecond === null ? NO_LIMIT : hundredths(requestsPerSecond), Math.round(ageMs)]),
      rests: Object.entries(rests).flatMap(([endpoint, leftMs]) => [this.codeOf(endpoint), Math.ceil(leftMs)]),
      leaving: leaving.map((endpoint) => this.codeOf(endpoint)),
      ...(classes === undefined ? {} : { classes: encodeClasses(classes) }),
      ...(returns === undefined ? {} : { returns: encodeReturns(returns) }),
      ...(cold === undefined ? {} : { cold: Object.entries(cold).flatMap(([endpoint, leftMs]) => [this.codeOf(endpoint), Math.ceil(leftMs)]) }),
      ...(failures === undefined ? {} : { failures: Object.entries(failures).flatMap(([endpoint, sample]) => [this.codeOf(endpoint), hundredths(sample.failures), hundredths(sample.answers)]) })
    }
  }

  decode ({ inFlight, flows, demand, speeds, pauses, firstEvents, deadlines, leastDeadlineShare, limits = [], rests = [], leaving = [], classes, returns, cold, failures }: EncodedObservation): NodeObservation {
    return {
      inFlight: Object.fromEntries(this.decodeByEndpoint(inFlight, 1).map(([endpoint, [count]]) => [endpoint, count!])),
      speeds: Object.fromEntries(this.decodeByEndpoint(speeds, 2).map(([endpoint, [ratioSum, count]]) => [endpoint, { ratioSum: ratioSum! / HUNDREDTHS, pauses: count! / HUNDREDTHS }])),
      flows: Object.fromEntries(chunks(flows, 3).map(([pool, [asked, sent, ended]]) => [pool, { asked: asked! / HUNDREDTHS, sent: sent! / HUNDREDTHS, ended: ended! / HUNDREDTHS }])),
      demand: Object.fromEntries(chunks(demand, 2).map(([model, [groupTimeMs, requests]]) => [model, { groupTimeMs: groupTimeMs!, requests: requests! / HUNDREDTHS }])),
      pauses: Object.fromEntries(chunks(pauses, 2).map(([model, [longestSumMs, nodes]]) => [model, { longestSumMs: longestSumMs!, nodes: nodes! }])),
      firstEvents: Object.fromEntries(chunks(firstEvents, 2).map(([model, [delaySumMs, nodes]]) => [model, { delaySumMs: delaySumMs!, nodes: nodes! }])),
      deadlines: {
        usual: Object.fromEntries(chunks(deadlines, 2).map(([route, [usualSumMs, nodes]]) => [route, { usualSumMs: usualSumMs!, nodes: nodes! }])),
        leastShare: { sum: leastDeadlineShare[0]! / HUNDREDTHS, nodes: leastDeadlineShare[1]! }
      },
      limits: Object.fromEntries(this.decodeByEndpoint(limits, 2).map(([endpoint, [limit, ageMs]]) => [endpoint, { requestsPerSecond: limit === NO_LIMIT ? null : limit! / HUNDREDTHS, ageMs: ageMs! }])),
      rests: Object.fromEntries(this.decodeByEndpoint(rests, 1).map(([endpoint, [leftMs]]) => [endpoint, leftMs!])),
      leaving: this.decodeByEndpoint(leaving, 0).map(([endpoint]) => endpoint),
      ...(isRecord(classes) ? { classes: decodeClasses(classes) } : {}),
      ...(!Array.isArray(returns) ? {} : { returns: decodeReturns(returns) }),
      ...(!Array.isArray(cold) ? {} : { cold: Object.fromEntries(this.decodeByEndpoint(cold, 1).map(([endpoint, [leftMs]]) => [endpoint, leftMs!])) }),
      ...(!Array.isArray(failures) ? {} : { failures: this.decodeFailures(failures) })
    }
  }

  encodeFleet (observation: FleetObservation): EncodedFleetObservation {
    return { ...this.encode(observation), nodes: observation.nodes, ageMs: Math.round(observation.ageMs), intervalMs: observation.intervalMs }
  }

  decodeFleet (coded: EncodedFleetObservation): FleetObservation {
    return { ...this.decode(coded), nodes: coded.nodes, ageMs: coded.ageMs, intervalMs: coded.intervalMs }
  }

  /** Drops samples that no correct node sends: they would keep all requests away from an endpoint. */
  private decodeFailures (coded: readonly number[]): Record<EndpointId, FailureSample> {
    const samples = this.decodeByEndpoint(coded, 2).filter(([, values]) => values.every((value) => Number.isFinite(value) && value >= 0))
    return Object.fromEntries(samples.map(([endpoint, [failures, answers]]) => [endpoint, { failures: failures! / HUNDREDTHS, answers: answers! / HUNDREDTHS }]))
  }

  private decodeByEndpoint (coded: readonly number[], width: number): Array<readonly [EndpointId, readonly number[]]> {
    return chunks(coded, width).flatMap(([code, values]) => {
      const endpoint = this.byCode.get(code)
      return endpoint === undefined ? [] : [[endpoint, values] as const]
    })
  }

  private codeOf (endpoint: EndpointId): number {
    let code = this.codes.get(endpoint)
    if (code === undefined) {
      code = hashText(endpoint)
      this.codes.set(endpoint, code)
    }
    return code
  }

  private forget (endpoint: EndpointId): void {
    this.byCode.delete(this.codeOf(endpoint))
    this.codes.delete(endpoint)
  }
}

function encodeClasses (classes: ClassSamples): Record<string, number[]> {
  return Object.fromEntries(Object.entries(classes).map(([pool, samples]) => {
    return [pool, samples.flatMap(({ rank, workspace, requests }) => [rank, workspace ?? REMAINDER, hundredths(requests)])]
  }))
}

/** Drops samples that no correct node sends: a negative or infinite demand would distort the shares of all classes. */
function decodeClasses (encoded: Readonly<Record<string, readonly number[]>>): ClassSamples {
  return Object.fromEntries(Object.entries(encoded).filter(([, flat]) => Array.isArray(flat)).map(([pool, flat]) => {
    const samples = chunks<number>(flat, 2).map(([rank, [workspace, requests]]): ClassSample => ({ rank, workspace: workspace === REMAINDER ? null : workspace!, requests: requests! / HUNDREDTHS }))
    return [pool, validClassSamples(samples)]
  }))
}

function isRecord<Value> (value: Readonly<Record<string, Value>> | undefined): value is Readonly<Record<string, Value>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function encodeReturns (returns: NonNullable<NodeObservation['returns']>): NamedNumbers {
  return Object.entries(returns).flatMap(([pool, counts]) => [pool, ...Array.from({ length: RETURN_BUCKETS }, (_unused, index) => hundredths(counts[index] ?? 0))])
}

/** A count that is no number, or negative, stands for none: it would make a bucket seem free that is not. */
function decodeReturns (encoded: NamedNumbers): NonNullable<NodeObservation['returns']> {
  return Object.fromEntries(chunks(encoded, RETURN_BUCKETS).map(([pool, counts]) => [pool, counts.map((count) => count > 0 && Number.isFinite(count) ? count / HUNDREDTHS : 0)]))
}

function hundredths (value: number): number {
  return Math.round(value * HUNDREDTHS)
}

/** Splits a flat list into names, each with the `width` numbers that follow it. */
function chunks<Name extends string | number> (flat: ReadonlyArray<Name | number>, width: number): Array<readonly [Name, readonly number[]]> {
  const found: Array<readonly [Name, readonly number[]]> = []
  for (let at = 0; at + width < flat.length; at += width + 1) found.push([flat[at] as Name, flat.slice(at + 1, at + 1 + width) as number[]])
  return found
}
