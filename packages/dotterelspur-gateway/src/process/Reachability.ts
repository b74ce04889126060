import { EndpointCondition, judgeProbe, LinkState, sleep, type Clock, type EndpointId, type EndpointRecord, type ProbeResult } from 'dotterelspur'
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
/** Time from the start of one round of probes of an unresponsive endpoint to the next; its requests wait until it is known to go on. */
const UNRESPONSIVE_PROBE_INTERVAL_MS = 400
/** An endpoint that responded this recently is not probed again. */
const RECENT_RESPONSE_MS = 300

/** Known within the time of the second probe. */
export type LinkCheck = (location: EndpointLocation) => Promise<LinkState>

interface Probed {
  /** Null until the first round of probes has ended. */
  condition: EndpointCondition | null
  readonly location: EndpointLocation
  isProbing: boolean
  decidedAtMs: number
  /** Start of the first round of probes without an answer; null while the endpoint answers. */
  silentSinceMs: number | null
}

/**
 * Probes suspected endpoints directly. The endpoint list drops a lost endpoint only after three heartbeats, and a group
 * that lost a member stalls all that time, whereas callers' streams fall silent at once.
 */
export class Reachability {
  private readonly probed = new Map<EndpointId, Probed>()
  private stopped = false

  constructor (
    private readonly reports: Pick<EndpointControl, 'report'>, private readonly clock: Clock, private readonly log: DecisionLog, private readonly onChange: () => void,
    private readonly checkLink: LinkCheck = async () => LinkState.Unconnected
  ) {}

  /** Endpoints that are lost. */
  unreachable (): Set<EndpointId> {
    return this.inCondition(EndpointCondition.Unreachable)
  }

  /** Endpoints that accept connections and answer nothing. */
  unresponsive (): Set<EndpointId> {
    return this.inCondition(EndpointCondition.Unresponsive)
  }

  /** Endpoints whose first probe is in progress; no decision should rely on them yet. */
  undecided (): Set<EndpointId> {
    return this.inCondition(null)
  }

  isUnreachable (endpoint: EndpointId): boolean {
    return this.probed.get(endpoint)?.condition === EndpointCondition.Unreachable
  }

  isReachable (endpoint: EndpointId): boolean {
    return this.probed.get(endpoint)?.condition === EndpointCondition.Reachable
  }

  isUnresponsive (endpoint: EndpointId): boolean {
    return this.probed.get(endpoint)?.condition === EndpointCondition.Unresponsive
  }

  /** Starts a probe unless one is running or was completed recently; returns whether it started one. */
  suspect (location: EndpointLocation): boolean {
    const known = this.probed.get(location.endpoint)
    if (known?.isProbing === true) return false
    if (known !== undefined && this.clock.nowMs() - known.decidedAtMs < RECENT_RESPONSE_MS) return false
    this.startProbe(location)
    return true
  }

  /** Marks an endpoint as unreachable without a probe, as when another endpoint responds at its address. */
  noteGone (location: EndpointLocation): void {
    if (this.isUnreachable(location.endpoint)) return
    const nowMs = this.clock.nowMs()
    const probed: Probed = { condition: EndpointCondition.Unreachable, location, isProbing: false, decidedAtMs: nowMs, silentSinceMs: nowMs }
    this.probed.set(location.endpoint, probed)
    this.logCondition(probed, EndpointCondition.Unreachable, { answer: ReportResultKind.Gone, link: null })
    this.onChange()
  }

  /** Probes unreachable endpoints again while they are listed, and evicts those that are not. */
  recheck (listed: ReadonlyMap<EndpointId, EndpointRecord>, unlisted: ReadonlySet<EndpointId>): void {
    const nowMs = this.clock.nowMs()
    for (const [endpoint, probed] of this.probed) {
      if (probed.condition === null) continue
      if (!listed.has(endpoint) && !unlisted.has(endpoint)) this.probed.delete(endpoint)
      else if (nowMs - probed.decidedAtMs >= RECHECK_INTERVAL_MS) this.recheckOne(probed, unlisted)
    }
  }

  /** Forgets all endpoints; the results of probes in progress are dropped. */
  clear (): void {
    this.probed.clear()
  }

  /** Ends the probes of unresponsive endpoints. */
  stop (): void {
    this.stopped = true
  }

  private recheckOne ({ condition, location }: Probed, unlisted: ReadonlySet<EndpointId>): void {
    if (condition !== EndpointCondition.Reachable || unlisted.has(location.endpoint)) this.suspect(location)
    else this.probed.delete(location.endpoint)
  }

  private inCondition (wanted: EndpointCondition | null): Set<EndpointId> {
    return new Set([...this.probed].filter(([, { condition }]) => condition === wanted).map(([endpoint]) => endpoint))
  }

  private startProbe (location: EndpointLocation): void {
    this.runProbe(location).catch((error: unknown) => { this.log.write(LogKind.Unexpected, { where: 'probe', error: String(error) }) })
  }

  private async runProbe (location: EndpointLocation): Promise<void> {
    const startedAtMs = this.clock.nowMs()
    const probed = this.beginProbe(location, startedAtMs)
    const result = await this.probe(location)
    probed.isProbing = false
    // Another endpoint has responded at its address meanwhile, or the endpoint was evicted.
    if (this.probed.get(location.endpoint) !== probed) return
    const former = probed.condition
    probed.silentSinceMs ??= startedAtMs
    probed.decidedAtMs = this.clock.nowMs()
    probed.condition = judgeProbe(result, probed.decidedAtMs - probed.silentSinceMs)
    if (probed.condition === EndpointCondition.Unresponsive) this.probeAgain(probed, startedAtMs + UNRESPONSIVE_PROBE_INTERVAL_MS)
    if (probed.condition !== former) this.logCondition(probed, former, result)
    if (probed.condition === EndpointCondition.Reachable) probed.silentSinceMs = null
    if (probed.condition !== former) this.onChange()
  }

  /** An endpoint that did not answer keeps its condition while it is probed again. */
  private beginProbe (location: EndpointLocation, nowMs: number): Probed {
    const known = this.probed.get(location.endpoint)
    const isSilent = known !== undefined && known.silentSinceMs !== null
    const probed: Probed = isSilent ? known : { condition: null, location, isProbing: true, decidedAtMs: nowMs, silentSinceMs: null }
    probed.isProbing = true
    probed.decidedAtMs = nowMs
    this.probed.set(location.endpoint, probed)
    return probed
  }

  /** Nobody else notices in time that an endpoint goes on, or that its process ends while it is unresponsive. */
  private probeAgain (probed: Probed, atMs: number): void {
    this.clock.registerTimer(Math.max(0, atMs - this.clock.nowMs()), () => {
      if (!this.stopped && !probed.isProbing && this.probed.get(probed.location.endpoint) === probed) this.startProbe(probed.location)
    })
  }

  private logCondition ({ condition, location, decidedAtMs, silentSinceMs }: Probed, former: EndpointCondition | null, { answer, link }: ProbeResult): void {
    if (condition === null || (condition === EndpointCondition.Reachable && former === null)) return
    const silentMs = Math.round(decidedAtMs - (silentSinceMs ?? decidedAtMs))
    this.log.write(CONDITION_EVENTS[condition], { endpoint: location.endpoint, address: location.address, answer, link, silentMs })
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

const CONDITION_EVENTS: Readonly<Record<EndpointCondition, LogKind>> = {
  [EndpointCondition.Reachable]: LogKind.EndpointReachable,
  [EndpointCondition.Unresponsive]: LogKind.EndpointUnresponsive,
  [EndpointCondition.Unreachable]: LogKind.EndpointUnreachable
}

/** The kind of the first answer; without one, `Gone` if a probe showed that nothing listens there. */
async function firstAnswer (probes: ReadonlyArray<Promise<ReportResult>>): Promise<ReportResultKind> {
  const answers = probes.map(async (probe) => await probe.then(({ kind }) => kind === ReportResultKind.Answered ? kind : Promise.reject(new Error(kind))))
  return await Promise.any(answers).catch(async () => {
    const kinds = (await Promise.all(probes)).map(({ kind }) => kind)
    return kinds.find((kind) => kind === ReportResultKind.Gone) ?? ReportResultKind.Silent
  })
}
