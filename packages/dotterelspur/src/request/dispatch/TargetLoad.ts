import type { EndpointId } from '../../process/ids.js'

/** What an endpoint said of its load with an answer. */
export interface LoadReading {
  readonly running: number
  readonly waiting: number
}

/** A reading loses half its weight in this time: a request holds a slot for about a second. */
const READING_HALF_LIFE_MS = 700

/** Weight of one more pause between events in what is known of an endpoint's speed; about ten events are one answer's start. */
const GAP_WEIGHT = 0.1
/** Bounds of what one pause can say: a burst after a stall says nothing of the speed. */
const SLOWNESS_LEAST = 0.7
const SLOWNESS_MOST = 8
/** What was learned of an endpoint's speed fades in this time, so that a slow one is tried again. */
const SLOWNESS_HALF_LIFE_MS = 4_000

/** A silent or broken endpoint is passed over for this long, then tried again by single requests. */
const HOLD_OFF_MS = 1_500
const HOLD_OFF_LIMIT_MS = 6_000
/** One that others say has stopped is passed over for this long; the word is repeated three times in it while it holds. */
const DOUBT_MS = 1_000

/** What other nodes have in flight is exchanged several times a second; older than this it says less than readings. */
const OTHERS_VALID_MS = 900

interface TargetState {
  own: number
  reading: LoadReading | null
  readingAtMs: number
  /** Own requests in flight when the reading came. */
  ownAtReading: number
  holdOffUntilMs: number
  /** It is silent; bytes from it end this at once. */
  doubtedUntilMs: number
  failuresInARow: number
  /** Measured pauses between events against those that its engine should make. */
  slowness: number
  slownessAtMs: number
}

/**
 * What this node knows of the load and soundness of each endpoint: its own requests exactly, other nodes' as they
 * told it a moment ago. Without their word, everybody's by the endpoint's last word, which fades as it ages into what
 * this node's own part suggests. Replayed at 0.9 of what the groups can serve, 8 nodes: 85 in 100 answers in time by
 * the endpoints' words alone, 93 with what nodes tell each other every 300 ms (SurgeReplay, 6 seeds).
 */
export class TargetLoad {
  private readonly states = new Map<EndpointId, TargetState>()
  private others: ReadonlyMap<EndpointId, number> = new Map()
  private othersAtMs = -Infinity
  /** This node's own part when the others told theirs, and how many times it is theirs. */
  private ownAtOthers: ReadonlyMap<EndpointId, number> = new Map()
  private otherNodes = 0

  /** Takes in what `otherNodes` other nodes together had in flight a moment ago. */
  noteOthers (counts: ReadonlyMap<EndpointId, number>, otherNodes: number, nowMs: number): void {
    this.others = counts
    this.otherNodes = otherNodes
    this.othersAtMs = nowMs
    this.ownAtOthers = this.ownCounts()
  }

  /** Since other nodes last told what they have in flight; null where they never did. */
  othersAgeMs (nowMs: number): number | null {
    return this.othersAtMs === -Infinity ? null : nowMs - this.othersAtMs
  }

  /** This node's own requests in flight, by endpoint. */
  ownCounts (): Map<EndpointId, number> {
    return new Map([...this.states].filter(([, { own }]) => own > 0).map(([endpoint, { own }]) => [endpoint, own]))
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.states.keys()) {
      if (!endpoints.has(endpoint)) this.states.delete(endpoint)
    }
  }

  begin (endpoint: EndpointId): void {
    this.state(endpoint).own += 1
  }

  end (endpoint: EndpointId): void {
    const state = this.states.get(endpoint)
    if (state !== undefined) state.own = Math.max(0, state.own - 1)
  }

  noteReading (endpoint: EndpointId, reading: LoadReading, nowMs: number): void {
    const state = this.state(endpoint)
    state.reading = reading
    state.readingAtMs = nowMs
    state.ownAtReading = state.own
  }

  /** Bytes came: it lives. */
  noteProgress (endpoint: EndpointId): void {
    const state = this.state(endpoint)
    state.failuresInARow = 0
    state.doubtedUntilMs = 0
  }

  /** A pause between two events of one stream, and the one that its engine should make at its load. */
  noteGap (endpoint: EndpointId, gapMs: number, expectedMs: number, nowMs: number): void {
    const state = this.state(endpoint)
    const sample = Math.max(SLOWNESS_LEAST, Math.min(SLOWNESS_MOST, gapMs / expectedMs))
    state.slowness = this.slowness(endpoint, nowMs) * (1 - GAP_WEIGHT) + sample * GAP_WEIGHT
    state.slownessAtMs = nowMs
  }

  /** 1 for an endpoint as fast as its engine should be; a group runs at the pace of its slowest member. */
  slowness (endpoint: EndpointId, nowMs: number): number {
    const state = this.states.get(endpoint)
    if (state === undefined) return 1
    return 1 + (state.slowness - 1) * 0.5 ** ((nowMs - state.slownessAtMs) / SLOWNESS_HALF_LIFE_MS)
  }

  /** It failed in a way that speaks against it: others go first for a while, longer each time. */
  noteFailure (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.holdOffUntilMs = nowMs + nextHoldOffMs(state)
  }

  /** An exchange was given up for its silence. */
  noteSilence (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.doubtedUntilMs = nowMs + nextHoldOffMs(state)
  }

  /** Others say that it has stopped. */
  noteDoubt (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.doubtedUntilMs = Math.max(state.doubtedUntilMs, nowMs + DOUBT_MS)
  }

  isHeldOff (endpoint: EndpointId, nowMs: number): boolean {
    const state = this.states.get(endpoint)
    return state !== undefined && nowMs < Math.max(state.holdOffUntilMs, state.doubtedUntilMs)
  }

  ownInFlight (endpoint: EndpointId): number {
    return this.states.get(endpoint)?.own ?? 0
  }

  /**
   * Requests there now, of all nodes: this node's own and what the others told it. Where they have not told it lately,
   * by the endpoint's own last word. `usual` is what endpoints of its kind have on average, by this node's own part:
   * one endpoint's own part alone is a few requests at most, and too rough to be multiplied.
   */
  estimate (endpoint: EndpointId, usual: number, nowMs: number): number {
    const state = this.states.get(endpoint)
    if (nowMs - this.othersAtMs <= OTHERS_VALID_MS) return this.estimateWithOthers(endpoint, state?.own ?? 0)
    if (state === undefined) return usual
    const guessed = Math.max(usual, state.own)
    if (state.reading === null) return guessed
    const weight = 0.5 ** ((nowMs - state.readingAtMs) / READING_HALF_LIFE_MS)
    const read = Math.max(state.own, state.reading.running + state.reading.waiting + state.own - state.ownAtReading)
    return weight * read + (1 - weight) * guessed
  }

  /**
   * All nodes were told about the same, and see the same endpoint as the emptiest: what this one has sent there since,
   * the others will have sent as well. Without that they would all go on sending to it until they are told again.
   */
  private estimateWithOthers (endpoint: EndpointId, own: number): number {
    const sinceTold = own - (this.ownAtOthers.get(endpoint) ?? 0)
    const told = (this.others.get(endpoint) ?? 0) + sinceTold * this.otherNodes
    return own + Math.max(0, told)
  }

  private state (endpoint: EndpointId): TargetState {
    let state = this.states.get(endpoint)
    if (state === undefined) {
      state = { own: 0, reading: null, readingAtMs: 0, ownAtReading: 0, holdOffUntilMs: 0, doubtedUntilMs: 0, failuresInARow: 0, slowness: 1, slownessAtMs: 0 }
      this.states.set(endpoint, state)
    }
    return state
  }
}

/** Counts one more failure; each in a row is held against the endpoint for longer. */
function nextHoldOffMs (state: TargetState): number {
  state.failuresInARow += 1
  return Math.min(HOLD_OFF_LIMIT_MS, HOLD_OFF_MS * state.failuresInARow)
}
