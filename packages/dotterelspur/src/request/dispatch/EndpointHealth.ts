import type { EndpointId } from '../../process/ids.js'

/** A silent or failed endpoint is avoided for this long, and then tried again with single requests. */
const HOLD_OFF_MS = 1_500
const MAX_HOLD_OFF_MS = 6_000
/**
 * An endpoint that peers report as stalled is avoided for this long; while the stall lasts, the report is repeated
 * three times within it.
 */
const SUSPICION_MS = 1_000

interface HealthState {
  holdOffUntilMs: number
  /** The endpoint is silent; bytes from it clear this at once. */
  suspectedUntilMs: number
  consecutiveFailures: number
}

/** Tracks which endpoints are avoided for a while, because they failed or stalled. */
export class EndpointHealth {
  private readonly states = new Map<EndpointId, HealthState>()

  /** Bytes arrived, so the endpoint is alive. */
  noteProgress (endpoint: EndpointId): void {
    const state = this.states.get(endpoint)
    if (state === undefined) return
    state.consecutiveFailures = 0
    state.suspectedUntilMs = 0
  }

  /** The endpoint failed by its own fault: others are preferred for a while, longer with each consecutive failure. */
  noteFailure (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.holdOffUntilMs = nowMs + nextHoldOffMs(state)
  }

  /** An exchange was abandoned because the endpoint was silent. */
  noteSilence (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.suspectedUntilMs = nowMs + nextHoldOffMs(state)
  }

  /** Peers report that the endpoint has stalled. */
  noteSuspicion (endpoint: EndpointId, nowMs: number): void {
    const state = this.state(endpoint)
    state.suspectedUntilMs = Math.max(state.suspectedUntilMs, nowMs + SUSPICION_MS)
  }

  isHeldOff (endpoint: EndpointId, nowMs: number): boolean {
    const state = this.states.get(endpoint)
    return state !== undefined && nowMs < Math.max(state.holdOffUntilMs, state.suspectedUntilMs)
  }

  /** Forgets all failures, because they were not the endpoints' fault. */
  clear (): void {
    this.states.clear()
  }

  /** Drops endpoints that are gone. */
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

/** Counts one more failure; each consecutive failure extends the hold-off. */
function nextHoldOffMs (state: HealthState): number {
  state.consecutiveFailures += 1
  return Math.min(MAX_HOLD_OFF_MS, HOLD_OFF_MS * state.consecutiveFailures)
}
