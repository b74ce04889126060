import {
  maxPieces, PoisonLedger, PoisonState, sleep,
  type Clock, type EndpointId, type EndpointTermination, type PoisonLimits, type PoisonRecord, type RequestContent, type RequestFingerprint, type Teardown
} from 'dotterelspur'
import { Suspects, type Suspect } from '../request/Suspect.js'
import { RecentParts } from './RecentParts.js'

/** The admission decision on an arriving request. */
export enum AdmissionKind {
  Admitted = 'admitted',
  /** A suspect that is already running on this node, or that another node should send first. */
  Deferred = 'deferred',
  /** The request, or a part of its prompt, crashes endpoints and is not sent anywhere. */
  Quarantined = 'quarantined'
}

export interface PoisonAdmission {
  readonly kind: AdmissionKind
  /** What decided: the request or a part of its prompt. Null where there is no record of either. */
  readonly fingerprint: RequestFingerprint | null
  /** Must be called once the request has its answer. */
  readonly release: Teardown
}

export interface PoisonGuardOptions {
  readonly clock: Clock
  readonly limits: PoisonLimits
  /**
   * Whether this node is the one that sends a suspect first. With one such node for each suspect, a suspect that
   * arrives at many nodes at once usually reaches one endpoint at a time in the whole fleet.
   */
  readonly isHome: (fingerprint: RequestFingerprint) => boolean
  /**
   * Called with the records that one observation of this node has changed, to be sent to the other nodes in one message: parts of one
   * prompt are compared by their terminations, and one that is known earlier would be blamed for the other.
   */
  readonly onEvidence: (records: readonly PoisonRecord[]) => void
}

/** Tracks an exchange in progress with an endpoint. */
export interface ExchangeTracker {
  /** Records that a piece of the answer arrived. */
  noteProgress (): void
  end (): void
}

interface Exchange {
  readonly suspects: Suspects
  pieces: number
}

/**
 * How long a suspect waits for the attempt of its home node: enough for queueing, the start of the run, and a message
 * to all nodes.
 */
export const SUSPECT_WAIT_MS = 600
/** Interval at which a waiting request is evaluated again: an answer may have cleared the suspect. */
const EVALUATION_INTERVAL_MS = 60

/** An answer that got this many pieces further than at any termination shows that the request did not cause them. */
const SIGNIFICANT_PIECES = 3
/** A part crashes its endpoint as it begins to write, so an answer of this many pieces clears the part. */
const CLEARING_PIECES = 6

const UNRECORDED: PoisonAdmission = { kind: AdmissionKind.Admitted, fingerprint: null, release: () => {} }

/**
 * Keeps requests that crash endpoints away from them, by their whole content and by the parts of their prompts. For most requests
 * this costs a comparison of outlines; fingerprints are computed only for what has a recorded outline, and for requests that lost
 * their endpoint.
 */
export class PoisonGuard {
  readonly ledger: PoisonLedger
  private readonly running = new Set<RequestFingerprint>()
  private readonly exchanges = new Set<Exchange>()
  private readonly recentParts: RecentParts
  private readonly suspects = new WeakMap<RequestContent, Suspects>()
  /** Parts that were suspected when the request was last sent: if it loses its endpoint, that confirms the suspicion. */
  private readonly sentAsSuspects = new WeakMap<RequestContent, ReadonlySet<RequestFingerprint>>()

  constructor (private readonly options: PoisonGuardOptions) {
    this.ledger = new PoisonLedger(options.limits)
    this.recentParts = new RecentParts(options.clock)
  }

  /**
   * Decides about an arriving request. A suspect is sent by its home node at once. On other nodes it waits first, so
   * that its classification is usually settled before another node sends it; after the wait it is sent as well, since a
   * harmless request must not be refused.
   */
  async admit (content: RequestContent): Promise<PoisonAdmission> {
    const untilMs = this.options.clock.nowMs() + SUSPECT_WAIT_MS
    for (;;) {
      const hasWaited = this.options.clock.nowMs() >= untilMs
      const admission = this.evaluate(content, hasWaited)
      if (admission.kind !== AdmissionKind.Deferred || hasWaited) return admission
      await sleep(this.options.clock, EVALUATION_INTERVAL_MS)
    }
  }

  /** The decision about a request at this moment; `hasWaited` if it has already waited. */
  evaluate (content: RequestContent, hasWaited: boolean): PoisonAdmission {
    const recorded = this.recordedSuspects(content)
    if (recorded.length === 0) return UNRECORDED
    const state = recorded.map(({ fingerprint }) => this.stateOf(fingerprint)).reduce((left, right) => STRICTNESS[right] > STRICTNESS[left] ? right : left)
    const deciding = recorded.map(({ fingerprint }) => fingerprint).filter((fingerprint) => this.stateOf(fingerprint) === state)
    return ADMISSIONS[state](deciding, hasWaited || this.options.isHome(deciding[0]!), this.running)
  }

  /**
   * Starts to track an exchange; its progress distinguishes other requests with the same content from those that crash
   * endpoints.
   */
  trackExchange (content: RequestContent): ExchangeTracker {
    const exchange: Exchange = { suspects: this.suspectsOf(content), pieces: 0 }
    this.exchanges.add(exchange)
    const suspected = this.recordedSuspects(content).filter(({ isPart, fingerprint }) => isPart && this.stateOf(fingerprint) !== PoisonState.Trusted)
    this.sentAsSuspects.set(content, new Set(suspected.map(({ fingerprint }) => fingerprint)))
    return { noteProgress: () => { this.noteProgress(exchange) }, end: () => { this.exchanges.delete(exchange) } }
  }

  /** Whether an admitted request may be sent once more. */
  mayRetry (content: RequestContent): boolean {
    return this.recordedSuspects(content).every(({ fingerprint }) => this.stateOf(fingerprint) === PoisonState.Trusted)
  }

  /**
   * Records that the endpoint terminated while it had the request, after `pieces` of the answer. This is no evidence
   * against the request if another copy of it has progressed further at an endpoint that is alive, and none against a part
   * that was answered recently or in this exchange.
   */
  noteTermination (content: RequestContent, endpoint: EndpointId, pieces: number): void {
    const { request, parts } = this.suspectsOf(content)
    const culprits = parts.filter((part) => this.isRecorded(part) && STRICTNESS[this.stateOf(part.fingerprint)] > STRICTNESS[PoisonState.Suspected])
    const changed = (culprits.length > 0 ? culprits : parts).map((part) => {
      if (pieces >= CLEARING_PIECES) return this.clearPart(part)
      return this.recentParts.has(part.outline) ? null : this.blame(part, { endpoint, pieces, request: request.fingerprint, confirmed: this.isConfirmed(content, part) })
    })
    this.publish([this.hasProgressedFurther(request, pieces) ? this.clear(request) : this.blame(request, { endpoint, pieces }), ...changed])
  }

  private isConfirmed (content: RequestContent, { fingerprint }: Suspect): boolean {
    return this.sentAsSuspects.get(content)?.has(fingerprint) === true && !this.ledger.isOutweighed(fingerprint, this.options.clock.nowMs())
  }

  /** Records that a whole answer to the request arrived. `isWritten` if it shows that the endpoint wrote on the prompt. */
  noteAnswer (content: RequestContent, isWritten = true): void {
    const { request, parts } = this.suspectsOf(content)
    this.publish([this.isRecorded(request) ? this.clear(request) : null, ...(isWritten ? parts : []).map((part) => this.clearPart(part))])
  }

  /** Merges records of other nodes; returns those that changed. What this node knows to be harmless is cleared again. */
  merge (records: readonly PoisonRecord[]): PoisonRecord[] {
    const nowMs = this.options.clock.nowMs()
    const changed = this.ledger.merge(records, nowMs)
    const harmless = changed.filter(({ outline, part, ends }) => part !== undefined && ends.length > 0 && this.recentParts.has(outline))
    this.publish(harmless.map(({ fingerprint }) => this.ledger.noteAnswer(fingerprint, nowMs)))
    return changed
  }

  /** An answer that progresses beyond every recorded termination clears the request as a whole answer does. */
  private noteProgress (exchange: Exchange): void {
    exchange.pieces += 1
    const { request, parts } = exchange.suspects
    if (exchange.pieces % CLEARING_PIECES === 0) this.publish(parts.map((part) => this.clearPart(part)))
    if (exchange.pieces < SIGNIFICANT_PIECES || !this.isRecorded(request)) return
    const record = this.ledger.recordOf(request.fingerprint)
    if (record !== undefined && exchange.pieces >= maxPieces(record) + SIGNIFICANT_PIECES) this.publish([this.clear(request)])
  }

  private hasProgressedFurther ({ outline, fingerprint }: Suspect, pieces: number): boolean {
    return [...this.exchanges].some(({ pieces: received, suspects: { request } }) => received > pieces && request.outline === outline && request.fingerprint === fingerprint)
  }

  /** Returns the record if it changed, as `clear` and `clearPart` do. */
  private blame (suspect: Suspect, end: EndpointTermination): PoisonRecord | null {
    return this.ledger.noteTermination(suspect.subject, end, this.options.clock.nowMs())
  }

  private clear ({ fingerprint }: Suspect): PoisonRecord | null {
    return this.ledger.noteAnswer(fingerprint, this.options.clock.nowMs())
  }

  private clearPart (part: Suspect): PoisonRecord | null {
    this.recentParts.note(part.outline)
    return this.isRecorded(part) ? this.clear(part) : null
  }

  private suspectsOf (content: RequestContent): Suspects {
    let suspects = this.suspects.get(content)
    if (suspects === undefined) {
      suspects = new Suspects(content)
      this.suspects.set(content, suspects)
    }
    return suspects
  }

  /** What there can be a record of: nothing, for most requests. */
  private recordedSuspects (content: RequestContent): readonly Suspect[] {
    return this.ledger.isEmpty ? [] : this.suspectsOf(content).all.filter((suspect) => this.isRecorded(suspect))
  }

  private isRecorded ({ outline }: Suspect): boolean {
    return !this.ledger.isEmpty && this.ledger.mayHaveRecord(outline)
  }

  private stateOf (fingerprint: RequestFingerprint): PoisonState {
    return this.ledger.stateOf(fingerprint, this.options.clock.nowMs())
  }

  private publish (records: ReadonlyArray<PoisonRecord | null>): void {
    const changed = records.filter((record) => record !== null)
    if (changed.length > 0) this.options.onEvidence(changed)
  }
}

/** Of several suspects the one with the highest number decides. */
const STRICTNESS: Readonly<Record<PoisonState, number>> = {
  [PoisonState.Trusted]: 0,
  [PoisonState.Suspected]: 1,
  [PoisonState.Settling]: 2,
  [PoisonState.Quarantined]: 3
}

type Admit = (fingerprints: readonly RequestFingerprint[], isTurn: boolean, running: Set<RequestFingerprint>) => PoisonAdmission

const ADMISSIONS: Readonly<Record<PoisonState, Admit>> = {
  [PoisonState.Trusted]: ([fingerprint]) => ({ kind: AdmissionKind.Admitted, fingerprint: fingerprint!, release: () => {} }),
  [PoisonState.Suspected]: (fingerprints, isTurn, running) => {
    if (fingerprints.some((fingerprint) => running.has(fingerprint)) || !isTurn) return { kind: AdmissionKind.Deferred, fingerprint: fingerprints[0]!, release: () => {} }
    for (const fingerprint of fingerprints) running.add(fingerprint)
    return { kind: AdmissionKind.Admitted, fingerprint: fingerprints[0]!, release: () => { for (const fingerprint of fingerprints) running.delete(fingerprint) } }
  },
  [PoisonState.Settling]: ([fingerprint]) => ({ kind: AdmissionKind.Deferred, fingerprint: fingerprint!, release: () => {} }),
  [PoisonState.Quarantined]: ([fingerprint]) => ({ kind: AdmissionKind.Quarantined, fingerprint: fingerprint!, release: () => {} })
}
