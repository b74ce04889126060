import { createRandom, type Random } from 'dotterelspur'

/** What the callers and the fleet do in one run; the same for every policy with the same seed. */
export interface TrafficOptions {
  readonly nodes: number
  /** Non-idempotent requests of all callers together. */
  readonly requestsPerSecond: number
  readonly durationMs: number
  /** Share of requests that their caller sends again, through any node. */
  readonly repeatShare: number
  readonly meanRepeatDelayMs: number
  /** How long a request runs. */
  readonly meanRunMs: number
  /** Restarts of each node. */
  readonly restartsPerNodeHour: number
  /** How long a restarting node is away. */
  readonly awayMs: number
  /** Other nodes learn of a change within this time, each at its own moment. */
  readonly viewLagMs: number
  /** The platform's store is out from the middle of the run on, for this share of it. */
  readonly outageShare: number
}

export const TODAY: TrafficOptions = {
  nodes: 8,
  requestsPerSecond: 20,
  durationMs: 2 * 60 * 60_000,
  repeatShare: 0.03,
  meanRepeatDelayMs: 4_000,
  meanRunMs: 2_000,
  restartsPerNodeHour: 1,
  awayMs: 5_000,
  viewLagMs: 3_000,
  outageShare: 0.1
}

export enum EventKind {
  /** A submission of a request reaches a node. */
  Submission = 'submission',
  NodeDown = 'node-down',
  NodeUp = 'node-up'
}

export type TrafficEvent =
  | { readonly kind: EventKind.Submission, readonly atMs: number, readonly key: number, readonly node: number, readonly first: boolean, readonly runMs: number }
  | { readonly kind: EventKind.NodeDown, readonly atMs: number, readonly node: number }
  | { readonly kind: EventKind.NodeUp, readonly atMs: number, readonly node: number }

const HOUR_MS = 60 * 60_000

/** All events of a run, in order. A submission to a node that is away goes to the next one. */
export function makeTraffic (options: TrafficOptions, seed: number): TrafficEvent[] {
  const random = createRandom(seed)
  const restarts = makeRestarts(options, random)
  const submissions = makeSubmissions(options, random)
  return [...restarts, ...submissions].sort((left, right) => left.atMs - right.atMs)
}

function makeRestarts ({ nodes, restartsPerNodeHour, durationMs, awayMs }: TrafficOptions, random: Random): TrafficEvent[] {
  const events: TrafficEvent[] = []
  for (let node = 0; node < nodes; node += 1) {
    for (let atMs = exponential(random, HOUR_MS / restartsPerNodeHour); atMs < durationMs; atMs += awayMs + exponential(random, HOUR_MS / restartsPerNodeHour)) {
      events.push({ kind: EventKind.NodeDown, atMs, node }, { kind: EventKind.NodeUp, atMs: atMs + awayMs, node })
    }
  }
  return events
}

function makeSubmissions (options: TrafficOptions, random: Random): TrafficEvent[] {
  const { nodes, requestsPerSecond, durationMs, repeatShare, meanRepeatDelayMs, meanRunMs } = options
  const events: TrafficEvent[] = []
  let key = 0
  for (let atMs = exponential(random, 1_000 / requestsPerSecond); atMs < durationMs; atMs += exponential(random, 1_000 / requestsPerSecond)) {
    key += 1
    const runMs = exponential(random, meanRunMs)
    events.push({ kind: EventKind.Submission, atMs, key, node: random.integer(nodes), first: true, runMs })
    let repeatAtMs = atMs
    while (random.next() < repeatShare) {
      repeatAtMs += exponential(random, meanRepeatDelayMs)
      events.push({ kind: EventKind.Submission, atMs: repeatAtMs, key, node: random.integer(nodes), first: false, runMs })
    }
  }
  return events
}

function exponential (random: Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}
