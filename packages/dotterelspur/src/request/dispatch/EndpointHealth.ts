import type { EndpointId } from '../../process/ids.js'

/** A silent or broken endpoint is passed over for this long, then tried again by single requests. */
const HOLD_OFF_MS = 1_500
const MAX_HOLD_OFF_MS = 6_000
/** One that others say has stopped is passed over for this long; the word is repeated three times in it while it holds. */
const SUSPICION_MS = 1_000

interface HealthState {
  holdOffUntilMs: number
  /** It is silent; bytes from it end this at once. */
  suspectedUntilMs: number
  consecutiveFailures: number
}

/** Which endpoints are passed over for a while, because they failed or have stopped. */
export class EndpointHealth {
  private readonly states = new Map<EndpointId, HealthState>()

  /** Bytes came: it lives. */
  noteProgress (endpoint: EndpointId): void {
    const state = this.states.get(endpoint)
    if (state === undefined) return
    state.consecutiveFailures = 0
    state.suspectedUntilMs = 0
  }

  /** It failed in a way that speaks against it: others go first for a while, longer each time. */
  noteFailure (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.holdOffUntilMs = nowMs + nextHoldOffMs(state)
  }

  /** An exchange was given up for its silence. */
  noteSilence (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.suspectedUntilMs = nowMs + nextHoldOffMs(state)
  }

  /** Others say that it has stopped. */
  noteSuspicion (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.suspectedUntilMs = Math.max(state.suspectedUntilMs, nowMs + SUSPICION_MS)
  }

  isHeldOff (endpoint: EndpointId, nowMs: number): boolean {
    const state = this.states.get(endpoint)
    return state !== undefined && nowMs < Math.max(state.holdOffUntilMs, state.suspectedUntilMs)
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.states.keys()) {
      if (!endpoints.has(endpoint)) this.states.delete(endpoint)
    }
  }

  private state (endpoint: EndpointId): HealthState {
    let state = this.states.get(endpoint)
    if (state === undefined) {
      state = { holdOffUntilMs: 0, suspectedUntilMs: 0, consecutiveFailures: 0 }
      this.states.set(endpoint, state)
    }
    return state
  }
}

/** Counts one more failure; each in a row is held against the endpoint for longer. */
function nextHoldOffMs (state: HealthState): number {
  state.consecutiveFailures += 1
  return Math.min(MAX_HOLD_OFF_MS, HOLD_OFF_MS * state.consecutiveFailures)
}
