import { LinkState, sleep, type Clock, type EndpointId, type EndpointRecord } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { ReportResultKind, type EndpointControl, type EndpointLocation, type ReportResult } from './GatewayPorts.js'

/** A live endpoint responds within a few milliseconds, even under load; the timeout leaves room for a lost packet of the second probe. */
const PROBE_TIMEOUT_MS = 350
/**
 * Delay after which a second probe is sent beside the silent first one, whose packets may have been lost. The loss of a
 * member is detected in 0.35 s, compared with 0.5 s for sequential probes, and each 0.1 s costs responses of a group.
 */
const SECOND_PROBE_AFTER_MS = 100
/** Interval between probes of an unreachable endpoint, which may only have been disconnected. */
const RECHECK_INTERVAL_MS = 1_200
/** An endpoint that responded this recently is not probed again. */
const RECENT_RESPONSE_MS = 300

enum ProbeState {
  Running = 'running',
  Reachable = 'reachable',
  Unreachable = 'unreachable'
}

/** Known within the time of the second probe. */
export type LinkCheck = (location: EndpointLocation) => Promise<LinkState>

interface Probed {
  state: ProbeState
  location: EndpointLocation
  decidedAtMs: number
}

/** What one round of probes has shown; `link` is null where the endpoint answered before its link was checked. */
interface ProbeResult {
  readonly answer: ReportResultKind
  readonly link: LinkState | null
}

/**
 * Probes suspected endpoints directly. The endpoint list drops a lost endpoint only after three heartbeats, and a group
 * that lost a member stalls all that time, whereas callers' streams fall silent at once.
 */
export class Reachability {
  private readonly probed = new Map<EndpointId, Probed>()

  constructor (
    private readonly reports: Pick<EndpointControl, 'report'>, private readonly clock: Clock, private readonly log: DecisionLog, private readonly onChange: () => void,
    private readonly checkLink: LinkCheck = async () => LinkState.Unconnected
  ) {}

  /** Endpoints that did not respond. */
  unreachable (): Set<EndpointId> {
    return this.inState(ProbeState.Unreachable)
  }

  /** Endpoints whose first probe is in progress; no decision should rely on them yet. */
  undecided (): Set<EndpointId> {
    return this.inState(ProbeState.Running)
  }

  isUnreachable (endpoint: EndpointId): boolean {
    return this.probed.get(endpoint)?.state === ProbeState.Unreachable
  }

  isReachable (endpoint: EndpointId): boolean {
    return this.probed.get(endpoint)?.state === ProbeState.Reachable
  }

  /** Starts a probe unless one is running or was completed recently; returns whether it started one. */
  suspect (location: EndpointLocation): boolean {
    const known = this.probed.get(location.endpoint)
    if (known?.state === ProbeState.Running) return false
    if (known !== undefined && this.clock.nowMs() - known.decidedAtMs < RECENT_RESPONSE_MS) return false
    this.runProbe(location).catch((error: unknown) => { this.log.write(LogKind.Unexpected, { where: 'probe', error: String(error) }) })
    return true
  }

  /** Marks an endpoint as unreachable without a probe, as when another endpoint responds at its address. */
  noteGone (location: EndpointLocation): void {
    if (this.isUnreachable(location.endpoint)) return
    this.probed.set(location.endpoint, { state: ProbeState.Unreachable, location, decidedAtMs: this.clock.nowMs() })
    this.noteUnreachable(location, { answer: ReportResultKind.Gone, link: null })
    this.onChange()
  }

  /** Probes unreachable endpoints again while they are listed, and evicts those that are not. */
  recheck (listed: ReadonlyMap<EndpointId, EndpointRecord>, unlisted: ReadonlySet<EndpointId>): void {
    const nowMs = this.clock.nowMs()
    for (const [endpoint, { state, location, decidedAtMs }] of this.probed) {
      if (state === ProbeState.Running) continue
      if (!listed.has(endpoint) && !unlisted.has(endpoint)) this.probed.delete(endpoint)
      else if (nowMs - decidedAtMs >= RECHECK_INTERVAL_MS) this.recheckOne(endpoint, location, state, unlisted)
    }
  }

  private recheckOne (endpoint: EndpointId, location: EndpointLocation, state: ProbeState, unlisted: ReadonlySet<EndpointId>): void {
    if (state === ProbeState.Unreachable || unlisted.has(endpoint)) this.suspect(location)
    else this.probed.delete(endpoint)
  }

  private inState (wanted: ProbeState): Set<EndpointId> {
    return new Set([...this.probed].filter(([, { state }]) => state === wanted).map(([endpoint]) => endpoint))
  }

  private async runProbe (location: EndpointLocation): Promise<void> {
    const known = this.probed.get(location.endpoint)
    // An unreachable endpoint stays unreachable while it is probed again.
    const probed: Probed = known?.state === ProbeState.Unreachable ? known : { state: ProbeState.Running, location, decidedAtMs: 0 }
    probed.decidedAtMs = this.clock.nowMs()
    this.probed.set(location.endpoint, probed)
    const result = await this.probe(location)
    const former = probed.state
    // An endpoint that only this node fails to connect to counts as reachable.
    const isReachable = result.answer === ReportResultKind.Answered || result.link === LinkState.LinkAtFault
    probed.state = isReachable ? ProbeState.Reachable : ProbeState.Unreachable
    probed.decidedAtMs = this.clock.nowMs()
    if (probed.state === former) return
    if (!isReachable) this.noteUnreachable(location, result)
    else if (former === ProbeState.Unreachable) this.log.write(LogKind.EndpointReachable, { endpoint: location.endpoint, address: location.address, link: result.link })
    this.onChange()
  }

  private noteUnreachable ({ endpoint, address }: EndpointLocation, { answer, link }: ProbeResult): void {
    this.log.write(LogKind.EndpointUnreachable, { endpoint, address, answer, link })
  }

  /** Two staggered probes, of which one answer is enough; a `Gone` result needs no second probe. */
  private async probe (location: EndpointLocation): Promise<ProbeResult> {
    const first = this.reports.report(location, PROBE_TIMEOUT_MS)
    const early = await Promise.race([first, sleep(this.clock, SECOND_PROBE_AFTER_MS)])
    if (early?.kind === ReportResultKind.Answered) return { answer: early.kind, link: null }
    const link = this.checkLink(location)
    if (early?.kind === ReportResultKind.Gone) return { answer: early.kind, link: await link }
    const second = this.reports.report(location, PROBE_TIMEOUT_MS - SECOND_PROBE_AFTER_MS)
    const answer = await firstAnswer([first, second])
    return { answer, link: answer === ReportResultKind.Answered ? null : await link }
  }
}

/** The kind of the first answer; without one, `Gone` if a probe showed that nothing listens there. */
async function firstAnswer (probes: ReadonlyArray<Promise<ReportResult>>): Promise<ReportResultKind> {
  const answers = probes.map(async (probe) => await probe.then(({ kind }) => kind === ReportResultKind.Answered ? kind : Promise.reject(new Error(kind))))
  return await Promise.any(answers).catch(async () => {
    const kinds = (await Promise.all(probes)).map(({ kind }) => kind)
    return kinds.find((kind) => kind === ReportResultKind.Gone) ?? ReportResultKind.Silent
  })
}
