import { sleep, type Clock, type EndpointId, type EndpointRecord } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { ReportResultKind, type EndpointControl, type EndpointLocation } from './GatewayPorts.js'

/** A living endpoint answers in a few milliseconds, also under load; this leaves room for a lost packet of the second probe. */
const PROBE_TIMEOUT_MS = 350
/**
 * A second probe goes out after this much silence of the first, whose packets may have been lost; beside it, not after
 * it: the loss of a member is known in 0.35 s where two in turn took 0.5 s, and each 0.1 s costs a group's answers.
 */
const SECOND_PROBE_AFTER_MS = 100
/** An endpoint that was lost is asked again this often: it may only have been cut off. */
const RECHECK_INTERVAL_MS = 1_200
/** A suspicion of an endpoint that answered lately costs no new probe. */
const RECENT_RESPONSE_MS = 300

enum ProbeState {
  Running = 'running',
  Reachable = 'reachable',
  Unreachable = 'unreachable'
}

interface Probed {
  state: ProbeState
  place: EndpointLocation
  decidedAtMs: number
}

/**
 * Finds out by direct questions whether suspected endpoints live. The list forgets a lost endpoint only after three
 * heartbeats, and a group that lost a member stands still all that time; callers' streams fall silent at once.
 */
export class Reachability {
  private readonly probed = new Map<EndpointId, Probed>()

  constructor (
    private readonly reports: Pick<EndpointControl, 'report'>, private readonly clock: Clock, private readonly log: DecisionLog, private readonly onChange: () => void
  ) {}

  /** Endpoints that did not answer. */
  unreachable (): Set<EndpointId> {
    return this.inState(ProbeState.Unreachable)
  }

  /** Endpoints whose first probe is under way: nothing should be decided about them yet. */
  undecided (): Set<EndpointId> {
    return this.inState(ProbeState.Running)
  }

  isUnreachable (endpoint: EndpointId): boolean {
    return this.probed.get(endpoint)?.state === ProbeState.Unreachable
  }

  isReachable (endpoint: EndpointId): boolean {
    return this.probed.get(endpoint)?.state === ProbeState.Reachable
  }

  /** Asks the endpoint, unless it was asked just now; returns whether it did. */
  suspect (place: EndpointLocation): boolean {
    const known = this.probed.get(place.endpoint)
    if (known?.state === ProbeState.Running) return false
    if (known !== undefined && this.clock.nowMs() - known.decidedAtMs < RECENT_RESPONSE_MS) return false
    this.runProbe(place).catch((error: unknown) => { this.log.write(LogKind.Unexpected, { where: 'probe', error: String(error) }) })
    return true
  }

  /** The endpoint is known to have ended, as when another one answers at its address. */
  noteGone (place: EndpointLocation): void {
    if (this.isUnreachable(place.endpoint)) return
    this.probed.set(place.endpoint, { state: ProbeState.Unreachable, place, decidedAtMs: this.clock.nowMs() })
    this.log.write(LogKind.EndpointUnreachable, { endpoint: place.endpoint, address: place.address })
    this.onChange()
  }

  /** Asks lost endpoints again that are still listed, and forgets those that are not. */
  recheck (listed: ReadonlyMap<EndpointId, EndpointRecord>, unlisted: ReadonlySet<EndpointId>): void {
    const nowMs = this.clock.nowMs()
    for (const [endpoint, { state, place, decidedAtMs }] of this.probed) {
      if (state === ProbeState.Running) continue
      if (!listed.has(endpoint) && !unlisted.has(endpoint)) this.probed.delete(endpoint)
      else if (nowMs - decidedAtMs >= RECHECK_INTERVAL_MS) this.recheckOne(endpoint, place, state, unlisted)
    }
  }

  private recheckOne (endpoint: EndpointId, place: EndpointLocation, state: ProbeState, unlisted: ReadonlySet<EndpointId>): void {
    if (state === ProbeState.Unreachable || unlisted.has(endpoint)) this.suspect(place)
    else this.probed.delete(endpoint)
  }

  private inState (wanted: ProbeState): Set<EndpointId> {
    return new Set([...this.probed].filter(([, { state }]) => state === wanted).map(([endpoint]) => endpoint))
  }

  private async runProbe (place: EndpointLocation): Promise<void> {
    const known = this.probed.get(place.endpoint)
    // While a lost endpoint is asked again it stays lost.
    const probed: Probed = known?.state === ProbeState.Unreachable ? known : { state: ProbeState.Running, place, decidedAtMs: 0 }
    probed.decidedAtMs = this.clock.nowMs()
    this.probed.set(place.endpoint, probed)
    const answered = await this.probe(place)
    const former = probed.state
    probed.state = answered ? ProbeState.Reachable : ProbeState.Unreachable
    probed.decidedAtMs = this.clock.nowMs()
    if (probed.state === former) return
    if (!answered) this.log.write(LogKind.EndpointUnreachable, { endpoint: place.endpoint, address: place.address })
    else if (former === ProbeState.Unreachable) this.log.write(LogKind.EndpointReachable, { endpoint: place.endpoint, address: place.address })
    this.onChange()
  }

  /** Whether one of two staggered probes is answered; an endpoint that says that it is gone needs no second one. */
  private async probe (place: EndpointLocation): Promise<boolean> {
    const first = this.reports.report(place, PROBE_TIMEOUT_MS)
    const early = await Promise.race([first, sleep(this.clock, SECOND_PROBE_AFTER_MS)])
    if (early !== undefined && early.kind !== ReportResultKind.Silent) return early.kind === ReportResultKind.Answered
    const second = this.reports.report(place, PROBE_TIMEOUT_MS - SECOND_PROBE_AFTER_MS)
    const ends = [first, second].map(async (probe) => await probe.then(({ kind }) => kind === ReportResultKind.Answered ? kind : Promise.reject(new Error(kind))))
    return await Promise.any(ends).then(() => true, () => false)
  }
}
