import type { EndpointId } from '../../process/ids.js'

/** What an endpoint said of its load with an answer. */
export interface LoadReading {
  readonly running: number
  readonly waiting: number
}

/** A reading loses half its weight in this time: a request holds a slot for about a second. */
const READING_HALF_LIFE_MS = 700

/** A silent or broken endpoint is passed over for this long, then tried again by single requests. */
const HOLD_OFF_MS = 1_500
const HOLD_OFF_LIMIT_MS = 6_000

interface TargetState {
  own: number
  reading: LoadReading | null
  readingAtMs: number
  /** Own requests in flight when the reading came. */
  ownAtReading: number
  holdOffUntilMs: number
  failuresInARow: number
  /** When it last sent anything to this node. */
  progressAtMs: number
}

/**
 * What this node knows of the load and soundness of each endpoint: its own requests exactly, everybody's by the
 * endpoint's last word, which fades as it ages into what this node's own part suggests.
 */
export class TargetLoad {
  private readonly states = new Map<EndpointId, TargetState>()

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
  noteProgress (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.progressAtMs = nowMs
    state.failuresInARow = 0
  }

  /** It failed in a way that speaks against it: others go first for a while, longer each time. */
  noteFailure (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.failuresInARow += 1
    state.holdOffUntilMs = nowMs + Math.min(HOLD_OFF_LIMIT_MS, HOLD_OFF_MS * state.failuresInARow)
  }

  isHeldOff (endpoint: EndpointId, nowMs: number): boolean {
    return nowMs < (this.states.get(endpoint)?.holdOffUntilMs ?? 0)
  }

  ownInFlight (endpoint: EndpointId): number {
    return this.states.get(endpoint)?.own ?? 0
  }

  lastProgressMs (endpoint: EndpointId): number {
    return this.states.get(endpoint)?.progressAtMs ?? -Infinity
  }

  /** Requests there now, of all nodes: `nodes` send about as many as this one. */
  estimate (endpoint: EndpointId, nodes: number, nowMs: number): number {
    const state = this.states.get(endpoint)
    if (state === undefined) return 0
    const guessed = state.own * nodes
    if (state.reading === null) return guessed
    const weight = 0.5 ** ((nowMs - state.readingAtMs) / READING_HALF_LIFE_MS)
    const read = Math.max(state.own, state.reading.running + state.reading.waiting + state.own - state.ownAtReading)
    return weight * read + (1 - weight) * Math.max(guessed, state.own)
  }

  private state (endpoint: EndpointId): TargetState {
    let state = this.states.get(endpoint)
    if (state === undefined) {
      state = { own: 0, reading: null, readingAtMs: 0, ownAtReading: 0, holdOffUntilMs: 0, failuresInARow: 0, progressAtMs: -Infinity }
      this.states.set(endpoint, state)
    }
    return state
  }
}
