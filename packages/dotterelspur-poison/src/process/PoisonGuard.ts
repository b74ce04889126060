import {
  maxPieces, outlineOf, PoisonLedger, PoisonState, sleep,
  type Clock, type EndpointId, type PoisonLimits, type PoisonRecord, type RequestContent, type RequestFingerprint, type Teardown
} from 'dotterelspur'
import { fingerprintOf } from '../request/fingerprint.js'

/** The admission decision on an arriving request. */
export enum AdmissionKind {
  Admitted = 'admitted',
  /** A suspect that is already running on this node, or that another node should send first. */
  Deferred = 'deferred',
  /** The request crashes endpoints and is not sent anywhere. */
  Quarantined = 'quarantined'
}

export interface PoisonAdmission {
  readonly kind: AdmissionKind
  /** Null where there is no record of the request, so that no fingerprint was computed. */
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
  /** Called with each record that this node's own observations have changed, so that it is sent to the other nodes. */
  readonly onEvidence: (record: PoisonRecord) => void
}

/** Tracks an exchange in progress with an endpoint. */
export interface ExchangeTracker {
  /** Records that a piece of the answer arrived. */
  noteProgress (): void
  end (): void
}

/** Computes the outline and the fingerprint once each, and only when they are needed. */
class Exchange {
  pieces = 0
  private cachedOutline: number | null = null
  private cachedFingerprint: RequestFingerprint | null = null

  constructor (readonly content: RequestContent) {}

  get outline (): number {
    this.cachedOutline ??= outlineOf(this.content)
    return this.cachedOutline
  }

  get fingerprint (): RequestFingerprint {
    this.cachedFingerprint ??= fingerprintOf(this.content)
    return this.cachedFingerprint
  }
}

/**
 * How long a suspect waits for the attempt of its home node: enough for queueing, the start of the run, and a message
 * to all nodes.
 */
export const SUSPECT_WAIT_MS = 600

/** An answer that got this many pieces further than at any termination shows that the request did not cause them. */
const SIGNIFICANT_PIECES = 3

const UNRECORDED: PoisonAdmission = { kind: AdmissionKind.Admitted, fingerprint: null, release: () => {} }

/**
 * Keeps requests that crash endpoints away from them. For most requests this costs one comparison of their outline; a
 * fingerprint is computed only for requests whose outline is recorded, and for those that lost their endpoint.
 */
export class PoisonGuard {
  readonly ledger: PoisonLedger
  private readonly running = new Set<RequestFingerprint>()
  private readonly exchanges = new Set<Exchange>()

  constructor (private readonly options: PoisonGuardOptions) {
    this.ledger = new PoisonLedger(options.limits)
  }

  /**
   * Decides about an arriving request. A suspect is sent by its home node at once. On other nodes it waits first, so
   * that its classification is usually settled before another node sends it; after the wait it is sent as well, since a
   * harmless request must not be refused.
   */
  async admit (content: RequestContent): Promise<PoisonAdmission> {
    const first = this.evaluate(content, false)
    if (first.kind !== AdmissionKind.Deferred) return first
    await sleep(this.options.clock, SUSPECT_WAIT_MS)
    return this.evaluate(content, true)
  }

  /** The decision about a request at this moment; `hasWaited` if it has already waited. */
  evaluate (content: RequestContent, hasWaited: boolean): PoisonAdmission {
    const fingerprint = this.fingerprintIfRecorded(content)
    if (fingerprint === null) return UNRECORDED
    return ADMISSIONS[this.ledger.stateOf(fingerprint, this.options.clock.nowMs())](fingerprint, hasWaited || this.options.isHome(fingerprint), this.running)
  }

  /**
   * Starts to track an exchange; its progress distinguishes other requests with the same content from those that crash
   * endpoints.
   */
  trackExchange (content: RequestContent): ExchangeTracker {
    const exchange = new Exchange(content)
    this.exchanges.add(exchange)
    return { noteProgress: () => { this.noteProgress(exchange) }, end: () => { this.exchanges.delete(exchange) } }
  }

  /** Whether an admitted request may be sent once more. */
  mayRetry (content: RequestContent): boolean {
    const fingerprint = this.fingerprintIfRecorded(content)
    return fingerprint === null || this.ledger.stateOf(fingerprint, this.options.clock.nowMs()) === PoisonState.Trusted
  }

  /**
   * Records that the endpoint terminated while it had the request, after `pieces` of the answer. This is no evidence
   * against the request if another copy of it has progressed further at an endpoint that is alive.
   */
  noteTermination (content: RequestContent, endpoint: EndpointId, pieces: number): void {
    if (this.hasProgressedFurther(content, pieces)) return this.noteAnswer(content)
    const { service, caller } = content
    const subject = { fingerprint: fingerprintOf(content), outline: outlineOf(content), service, caller }
    this.publish(this.ledger.noteTermination(subject, { endpoint, pieces }, this.options.clock.nowMs()))
  }

  /** Records that a whole answer to the request arrived. */
  noteAnswer (content: RequestContent): void {
    const fingerprint = this.fingerprintIfRecorded(content)
    if (fingerprint !== null) this.publish(this.ledger.noteAnswer(fingerprint, this.options.clock.nowMs()))
  }

  /** An answer that progresses beyond every recorded termination clears the request as a whole answer does. */
  private noteProgress (exchange: Exchange): void {
    exchange.pieces += 1
    if (this.ledger.isEmpty || exchange.pieces < SIGNIFICANT_PIECES || !this.ledger.mayHaveRecord(exchange.outline)) return
    const record = this.ledger.recordOf(exchange.fingerprint)
    if (record !== undefined && exchange.pieces >= maxPieces(record) + SIGNIFICANT_PIECES) this.noteAnswer(exchange.content)
  }

  private hasProgressedFurther (content: RequestContent, pieces: number): boolean {
    const outline = outlineOf(content)
    return [...this.exchanges].some((other) => other.pieces > pieces && other.outline === outline && other.fingerprint === fingerprintOf(content))
  }

  /** Null for a request without a record. */
  private fingerprintIfRecorded (content: RequestContent): RequestFingerprint | null {
    return this.ledger.isEmpty || !this.ledger.mayHaveRecord(outlineOf(content)) ? null : fingerprintOf(content)
  }

  private publish (record: PoisonRecord | null): void {
    if (record !== null) this.options.onEvidence(record)
  }
}

type Admit = (fingerprint: RequestFingerprint, isTurn: boolean, running: Set<RequestFingerprint>) => PoisonAdmission

const ADMISSIONS: Readonly<Record<PoisonState, Admit>> = {
  [PoisonState.Trusted]: (fingerprint) => ({ kind: AdmissionKind.Admitted, fingerprint, release: () => {} }),
  [PoisonState.Suspected]: (fingerprint, isTurn, running) => {
    if (running.has(fingerprint) || !isTurn) return { kind: AdmissionKind.Deferred, fingerprint, release: () => {} }
    running.add(fingerprint)
    return { kind: AdmissionKind.Admitted, fingerprint, release: () => { running.delete(fingerprint) } }
  },
  [PoisonState.Settling]: (fingerprint) => ({ kind: AdmissionKind.Deferred, fingerprint, release: () => {} }),
  [PoisonState.Quarantined]: (fingerprint) => ({ kind: AdmissionKind.Quarantined, fingerprint, release: () => {} })
}
