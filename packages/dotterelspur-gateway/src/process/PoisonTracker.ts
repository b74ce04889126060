import {
  isWorthSharing, PoisonState, readPoisonRecords, rendezvousOrder,
  type Clock, type DispatchTarget, type EndpointId, type NodeId, type PoisonLimits, type PoisonRecord, type RequestContent, type RequestFingerprint, type Teardown
} from 'dotterelspur'
import { TerminationProbe, fingerprintOf, PoisonGuard, type QuarantineRegistry } from 'dotterelspur-poison'
import type { StreamReport } from '../request/EndpointCall.js'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import type { EndpointRegistry } from './EndpointRegistry.js'

/** Interval at which state changes are logged and old evidence expires. */
const CHECK_INTERVAL_MS = 200
/** Interval at which recent evidence is broadcast again, in case a message was lost. */
const REBROADCAST_INTERVAL_MS = 1_000
/** Evidence older than this has reached all reachable nodes. */
const REBROADCAST_MAX_AGE_MS = 5_000
/** Records per message: what a link transfers in a tenth of a second. */
const MAX_RECORDS_PER_MESSAGE = 256

/** Suspects stored with the lease, so that counting continues after all nodes are killed. */
const MAX_STORED_SUSPECTS = 8

/** An exchange whose connection broke before the response was complete. */
export interface LostExchange {
  readonly requestId: string
  readonly content: RequestContent
  readonly target: DispatchTarget
  /** Events of the response received from the endpoint. */
  readonly events: number
  /** Time since the request was sent. */
  readonly tookMs: number
  /** This node's other requests in flight at the endpoint. */
  readonly besides: number
  /** Another node relayed the connection. */
  readonly wasRelayed: boolean
  /** Null if the endpoint began no stream. */
  readonly stream: StreamReport | null
}

export interface PoisonTrackerParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly limits: PoisonLimits
  readonly node: NodeId
  readonly nodes: () => ReadonlyArray<{ readonly node: NodeId }>
  readonly endpoints: EndpointRegistry
  readonly quarantine: QuarantineRegistry
  /** Whether another node reaches an endpoint that refuses this node's connections. */
  readonly isReachedByOthers: (endpoint: EndpointId) => Promise<boolean>
  /** Whether an endpoint refuses the connections of other nodes. */
  readonly refusesOthers: (endpoint: EndpointId) => Promise<boolean>
  /** Whether this node holds the lease; it then writes the quarantine to the store. */
  readonly isLeaseHolder: () => boolean
  /**
   * Sends records to other nodes: `all` to the node that aggregates a fingerprint, `shared` to the nodes for which this
   * node aggregates.
   */
  readonly broadcast: (all: readonly PoisonRecord[], shared: readonly PoisonRecord[]) => void
  /** Requests a lease renewal, because the state stored with the lease has changed and should be written before all nodes can be killed. */
  readonly requestLeaseRenewal: () => void
}

/**
 * Records which requests coincide with terminations of endpoints, exchanges these records with the other nodes, and
 * keeps such requests away from endpoints. The quarantine is written to the store, so that it survives a restart of all
 * nodes.
 */
export class PoisonTracker {
  readonly guard: PoisonGuard
  private readonly terminationChecks = new TerminationProbe()
  private readonly states = new Map<RequestFingerprint, PoisonState>()
  private broadcastAtMs = -Infinity
  private cancelTimer: Teardown = () => {}

  constructor (private readonly parts: PoisonTrackerParts) {
    const { clock, limits, quarantine } = parts
    this.guard = new PoisonGuard({ clock, limits, isHome: (fingerprint) => this.isHome(fingerprint), onEvidence: (records) => { this.broadcast(records) } })
    quarantine.registerListener({
      onQuarantined: (fingerprint, { outline }) => { this.guard.ledger.noteDecision(fingerprint, outline) },
      onReleased: (fingerprint) => { this.guard.ledger.noteQuarantineLifted(fingerprint, clock.nowMs()) }
    })
  }

  start (): void {
    this.cancelTimer = this.parts.clock.registerTimer(CHECK_INTERVAL_MS, () => {
      this.start()
      this.check()
    })
  }

  stop (): void {
    this.cancelTimer()
  }

  /** Checks whether the endpoint has terminated; if so, this counts against the request by the time the promise resolves. */
  async noteLoss (loss: LostExchange): Promise<void> {
    const { content, target, events } = loss
    const record = this.parts.endpoints.current.get(target.endpoint)
    // A leaving or unlisted endpoint terminates because it was ordered to.
    const mayBlame = record !== undefined && !record.leaving
    const ended = await this.hasEnded(loss)
    if (ended && mayBlame) this.guard.noteTermination(content, target.endpoint, events)
    this.logLoss(loss, ended, mayBlame)
  }

  /** This node's own connections prove little where its links have failed, so other nodes are asked. */
  private async hasEnded ({ target: { endpoint, address }, wasRelayed }: LostExchange): Promise<boolean> {
    if (wasRelayed) return await this.parts.refusesOthers(endpoint)
    return await this.terminationChecks.hasTerminated(address) && !await this.parts.isReachedByOthers(endpoint)
  }

  /**
   * Merges records of other nodes, or of an earlier incarnation; malformed records are ignored.
   * @param lateMs time for which the records may have been on their way, which their ages leave out.
   */
  mergeRecords (received: unknown, lateMs = 0): void {
    const records = readPoisonRecords(received).map((record) => ({ ...record, ageMs: record.ageMs + lateMs }))
    if (records.length === 0) return
    const changed = this.guard.merge(records)
    if (changed.length > 0) this.parts.broadcast([], changed.filter(isWorthSharing))
  }

  /**
   * Records to keep across a restart of all nodes: suspects that one more termination would put in quarantine, and
   * quarantined requests.
   */
  suspects (): PoisonRecord[] {
    const { ledger } = this.guard
    if (ledger.isEmpty) return []
    const suspected = new Set([...ledger.suspected, ...ledger.quarantined])
    return this.recordsToSend(true).filter(({ fingerprint }) => suspected.has(fingerprint)).slice(0, MAX_STORED_SUSPECTS)
  }

  /** Records for a newly linked node; all of them if that node aggregates. */
  recordsToSend (all: boolean): PoisonRecord[] {
    const records = this.guard.ledger.exportRecords(this.parts.clock.nowMs(), all)
    return records.sort((left, right) => right.ends.length - left.ends.length).slice(0, MAX_RECORDS_PER_MESSAGE)
  }

  private isHome (fingerprint: RequestFingerprint): boolean {
    const { node, nodes } = this.parts
    return rendezvousOrder(fingerprint, nodes().map((other) => other.node))[0] === node
  }

  private check (): void {
    const nowMs = this.parts.clock.nowMs()
    const { ledger } = this.guard
    if (ledger.isEmpty && this.states.size === 0) return
    ledger.expire(nowMs)
    this.noteStates()
    if (this.parts.isLeaseHolder()) this.parts.quarantine.persist([...ledger.quarantined].flatMap((fingerprint) => ledger.recordOf(fingerprint) ?? []))
    if (nowMs - this.broadcastAtMs < REBROADCAST_INTERVAL_MS) return
    this.broadcastAtMs = nowMs
    this.broadcast(ledger.exportRecords(nowMs, true).filter(({ ageMs }) => ageMs < REBROADCAST_MAX_AGE_MS).slice(-MAX_RECORDS_PER_MESSAGE))
  }

  /** Logs each change of a request's poison state once. */
  private noteStates (): void {
    const { ledger } = this.guard
    const states = new Map<RequestFingerprint, PoisonState>()
    for (const fingerprint of ledger.suspected) states.set(fingerprint, PoisonState.Suspected)
    for (const fingerprint of ledger.quarantined) states.set(fingerprint, PoisonState.Quarantined)
    for (const fingerprint of new Set([...states.keys(), ...this.states.keys()])) {
      const before = this.states.get(fingerprint) ?? PoisonState.Trusted
      const now = states.get(fingerprint) ?? PoisonState.Trusted
      if (now === before) continue
      this.logState(fingerprint, before, now)
      if (now === PoisonState.Suspected) this.parts.requestLeaseRenewal()
    }
    this.states.clear()
    for (const [fingerprint, state] of states) this.states.set(fingerprint, state)
  }

  private broadcast (records: readonly PoisonRecord[]): void {
    if (records.length > 0) this.parts.broadcast(records, records.filter(isWorthSharing))
  }

  private logState (fingerprint: RequestFingerprint, before: PoisonState, state: PoisonState): void {
    const record = this.guard.ledger.recordOf(fingerprint)
    this.parts.log.write(LogKind.RequestJudged, {
      fingerprint, part: record?.part, before, state, service: record?.service, workspace: record?.caller, answers: record?.answers, ends: record?.ends.map(({ endpoint, pieces }) => `${endpoint} after ${pieces}`)
    })
  }

  private logLoss ({ requestId, content, target, events, tookMs, besides, stream }: LostExchange, ended: boolean, mayBlame: boolean): void {
    const fingerprint = fingerprintOf(content)
    this.parts.log.write(LogKind.ExchangeLost, {
      request: requestId,
      fingerprint,
      promptParts: content.promptParts,
      endpoint: target.endpoint,
      ended,
      mayBlame,
      events,
      framing: stream?.framing,
      endedInsideEvent: stream?.endedInsideEvent === true ? true : undefined,
      tookMs: Math.round(tookMs),
      besides,
      state: this.guard.ledger.stateOf(fingerprint, this.parts.clock.nowMs()),
      ends: this.guard.ledger.recordOf(fingerprint)?.ends.length ?? 0
    })
  }
}
