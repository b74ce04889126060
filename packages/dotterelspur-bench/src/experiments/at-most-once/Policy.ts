import { createRandom, hashText, type Random } from 'dotterelspur'
import type { TrafficOptions } from './Traffic.js'

export enum PolicyKind {
  /** The system's own: the id names the process that decides. */
  HomeInId = 'home in the id',
  HashOverView = 'hash over the live view',
  ClaimEach = 'a claim for each request',
  ClaimBatches = 'claims in batches'
}

export enum Verdict {
  /** It is run now. */
  Run = 'run',
  /** The caller gets the answer of the first run, or waits for it. */
  Same = 'same',
  Unknown = 'unknown',
  /** Refused before anything was sent. */
  Refused = 'refused'
}

/** One submission, with what the model knows of the world at that moment. */
export interface Arrival {
  readonly atMs: number
  readonly key: number
  /** Node that took it in; it is up. */
  readonly node: number
  readonly storeOut: boolean
  /** How long it runs, if it runs now. */
  readonly runMs: number
}

/** How a fleet decides on a key. Told of every change of its nodes. */
export interface Policy {
  /** Calls to the platform's store so far. */
  readonly storeCalls: number
  decide (arrival: Arrival): Verdict
  nodeDown (node: number, atMs: number): void
  nodeUp (node: number, atMs: number): void
}

interface Decided {
  readonly home: string
  readonly endsAtMs: number
}

/** Which incarnation of which node decided on each key, and which incarnations are gone since when. */
class Homes {
  private readonly incarnations: number[]
  private readonly decided = new Map<number, Decided>()
  private readonly diedAtMs = new Map<string, number>()

  constructor (nodes: number) {
    this.incarnations = Array.from({ length: nodes }, () => 1)
  }

  restart (node: number, atMs: number): void {
    this.diedAtMs.set(this.name(node), atMs)
    this.incarnations[node]! += 1
  }

  has (key: number): boolean {
    return this.decided.has(key)
  }

  decide ({ key, node, atMs, runMs }: Arrival): void {
    this.decided.set(key, { home: this.name(node), endsAtMs: atMs + runMs })
  }

  isAlive (key: number): boolean {
    return !this.diedAtMs.has(this.decided.get(key)!.home)
  }

  /** Whether the run had ended while its home could still write down the outcome. */
  endedInTime (key: number): boolean {
    const { home, endsAtMs } = this.decided.get(key)!
    return endsAtMs <= (this.diedAtMs.get(home) ?? Infinity)
  }

  private name (node: number): string {
    return `${node}.${this.incarnations[node]}`
  }
}

class HomeInId implements Policy {
  storeCalls = 0
  protected readonly homes: Homes

  constructor (options: TrafficOptions) {
    this.homes = new Homes(options.nodes)
  }

  decide (arrival: Arrival): Verdict {
    if (this.homes.has(arrival.key)) return this.knows(arrival.key) ? Verdict.Same : Verdict.Unknown
    this.homes.decide(arrival)
    return Verdict.Run
  }

  nodeDown (node: number, atMs: number): void {
    this.homes.restart(node, atMs)
  }

  /** Whether what became of a key can still be told. */
  protected knows (key: number): boolean {
    return this.homes.isAlive(key)
  }

  nodeUp (): void {}
}

/** Each node sends a key to the first living node by hash, in its own view, which lags by its own time. */
class HashOverView implements Policy {
  storeCalls = 0
  private readonly random: Random
  private readonly changes: Array<{ readonly seenAtMs: readonly number[], readonly node: number, readonly up: boolean }> = []
  private readonly down = new Set<number>()
  /** Keys that each node has decided on since its start. */
  private readonly memory: Array<Set<number>>

  constructor (private readonly options: TrafficOptions, seed: number) {
    this.random = createRandom(seed)
    this.memory = Array.from({ length: options.nodes }, () => new Set())
  }

  decide ({ atMs, key, node }: Arrival): Verdict {
    const home = this.homeInView(node, key, atMs)
    if (this.down.has(home)) return Verdict.Unknown
    if (this.memory[home]!.has(key)) return Verdict.Same
    this.memory[home]!.add(key)
    return Verdict.Run
  }

  nodeDown (node: number, atMs: number): void {
    this.down.add(node)
    this.memory[node]!.clear()
    this.change(node, atMs, false)
  }

  nodeUp (node: number, atMs: number): void {
    this.down.delete(node)
    this.change(node, atMs, true)
  }

  private change (node: number, atMs: number, up: boolean): void {
    const seenAtMs = this.memory.map((_, viewer) => viewer === node ? atMs : atMs + this.random.next() * this.options.viewLagMs)
    this.changes.push({ seenAtMs, node, up })
  }

  private homeInView (viewer: number, key: number, atMs: number): number {
    const gone = new Set<number>()
    for (const change of this.changes) {
      if (change.seenAtMs[viewer]! > atMs) continue
      if (change.up) gone.delete(change.node)
      else gone.add(change.node)
    }
    return highestWeight(key, this.memory.length, gone)
  }
}

/** The first of the rendezvous order; only the first is needed here, for every submission. */
function highestWeight (key: number, nodes: number, gone: ReadonlySet<number>): number {
  let best = 0
  let bestWeight = -1
  for (let node = 0; node < nodes; node += 1) {
    if (gone.has(node)) continue
    const weight = hashText(`${key}/${node}`)
    if (weight <= bestWeight) continue
    best = node
    bestWeight = weight
  }
  return best
}

/** Every key is created in the store, and its outcome written there; any node can read both. */
class ClaimEach extends HomeInId {
  override decide (arrival: Arrival): Verdict {
    if (arrival.storeOut) return Verdict.Refused
    const repeated = this.homes.has(arrival.key)
    this.storeCalls += repeated ? 2 : 1
    const verdict = super.decide(arrival)
    if (verdict === Verdict.Run) this.storeCalls += 1
    return verdict
  }

  protected override knows (key: number): boolean {
    return this.homes.isAlive(key) || this.homes.endedInTime(key)
  }
}

const BATCH_WINDOW_MS = 20

/** A node writes the claims of one window as one object; the id names the object, so a repeat reads it. */
class ClaimBatches extends HomeInId {
  private readonly lastWindow = new Map<number, number>()

  override decide (arrival: Arrival): Verdict {
    if (arrival.storeOut) return Verdict.Refused
    if (this.homes.has(arrival.key)) this.storeCalls += 1
    else this.countWindow(arrival)
    return super.decide(arrival)
  }

  protected override knows (key: number): boolean {
    return this.homes.isAlive(key) || this.homes.endedInTime(key)
  }

  private countWindow ({ node, atMs }: Arrival): void {
    const window = Math.floor(atMs / BATCH_WINDOW_MS)
    if (this.lastWindow.get(node) === window) return
    this.lastWindow.set(node, window)
    this.storeCalls += 2
  }
}

/** Time by which a way delays every request, beside the store's own time. */
export const ADDED_WAIT_MS: Readonly<Record<PolicyKind, number>> = {
  [PolicyKind.HomeInId]: 0,
  [PolicyKind.HashOverView]: 0,
  [PolicyKind.ClaimEach]: 0,
  [PolicyKind.ClaimBatches]: BATCH_WINDOW_MS / 2
}

export const POLICIES: Readonly<Record<PolicyKind, (options: TrafficOptions, seed: number) => Policy>> = {
  [PolicyKind.HomeInId]: (options) => new HomeInId(options),
  [PolicyKind.HashOverView]: (options, seed) => new HashOverView(options, seed),
  [PolicyKind.ClaimEach]: (options) => new ClaimEach(options),
  [PolicyKind.ClaimBatches]: (options) => new ClaimBatches(options)
}
