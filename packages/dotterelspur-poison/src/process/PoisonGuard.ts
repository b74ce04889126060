import {
  maxPieces, outlineOf, PoisonLedger, PoisonState, sleep,
  type Clock, type EndpointId, type PoisonLimits, type PoisonRecord, type RequestContent, type RequestFingerprint, type Teardown
} from 'dotterelspur'
import { fingerprintOf } from '../request/fingerprint.js'

/** What becomes of a request that comes in. */
export enum AdmissionKind {
  Admitted = 'admitted',
  /** A suspect that runs here, or is another node's to send first. */
  Deferred = 'deferred',
  /** It ends endpoints: it is sent nowhere. */
  Quarantined = 'quarantined'
}

export interface PoisonAdmission {
  readonly kind: AdmissionKind
  /** Null where the request was not known well enough to need one. */
  readonly fingerprint: RequestFingerprint | null
  /** To be called once the request has its answer. */
  readonly release: Teardown
}

export interface PoisonGuardOptions {
  readonly clock: Clock
  readonly limits: PoisonLimits
  /**
   * Whether this node is the one that sends a suspect first. With one node for each, a suspect that many nodes get at once most
   * often meets one endpoint at a time in the whole fleet.
   */
  readonly isHome: (fingerprint: RequestFingerprint) => boolean
  /** What this node has learned itself, to be told to the others. */
  readonly onEvidence: (record: PoisonRecord) => void
}

/** An exchange with an endpoint that is under way. */
export interface ExchangeTracker {
  /** A piece of the answer came. */
  noteProgress (): void
  end (): void
}

/** Its outline and fingerprint are made once, and only where they are asked for. */
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

/** A suspect waits so long for its home's try: a queue, the begin of a run, and a message to all nodes. */
export const SUSPECT_WAIT_MS = 600

/** So many pieces more than at any end show that the request was not what ended them. */
const SIGNIFICANT_PIECES = 3

const UNRECORDED: PoisonAdmission = { kind: AdmissionKind.Admitted, fingerprint: null, release: () => {} }

/**
 * Keeps requests that end endpoints away from them. Most requests pay for it with one comparison of their outline; a fingerprint is
 * made only of those whose outline is known, and of those that lost their endpoint.
 */
export class PoisonGuard {
  readonly ledger: PoisonLedger
  private readonly running = new Set<RequestFingerprint>()
  private readonly exchanges = new Set<Exchange>()

  constructor (private readonly parts: PoisonGuardOptions) {
    this.ledger = new PoisonLedger(parts.limits)
  }

  /**
   * Says what becomes of a request. A suspect is sent by its home at once; elsewhere it waits first, so that most often it is known
   * what it is before another node sends it, and then goes as well, since a harmless one must not be refused.
   */
  async admit (content: RequestContent): Promise<PoisonAdmission> {
    const first = this.evaluate(content, false)
    if (first.kind !== AdmissionKind.Deferred) return first
    await sleep(this.parts.clock, SUSPECT_WAIT_MS)
    return this.evaluate(content, true)
  }

  /** What would become of a request now; `hasWaited` where it has had its wait. */
  evaluate (content: RequestContent, hasWaited: boolean): PoisonAdmission {
    const fingerprint = this.fingerprintIfRecorded(content)
    if (fingerprint === null) return UNRECORDED
    return ADMISSIONS[this.ledger.stateOf(fingerprint, this.parts.clock.nowMs())](fingerprint, hasWaited || this.parts.isHome(fingerprint), this.running)
  }

  /** Notes an exchange that begins; what it shows tells others of the same content apart from those that end endpoints. */
  trackExchange (content: RequestContent): ExchangeTracker {
    const exchange = new Exchange(content)
    this.exchanges.add(exchange)
    return { noteProgress: () => { this.noteProgress(exchange) }, end: () => { this.exchanges.delete(exchange) } }
  }

  /** Whether a request that was admitted may be sent once more. */
  mayRetry (content: RequestContent): boolean {
    const fingerprint = this.fingerprintIfRecorded(content)
    return fingerprint === null || this.ledger.stateOf(fingerprint, this.parts.clock.nowMs()) === PoisonState.Trusted
  }

  /**
   * The endpoint ended while it had the request, of whose answer `pieces` had come. That says nothing against a request of which
   * another copy has come further at an endpoint that lives.
   */
  noteTermination (content: RequestContent, endpoint: EndpointId, pieces: number): void {
    if (this.hasProgressedFurther(content, pieces)) return this.noteAnswer(content)
    const { service, caller } = content
    const subject = { fingerprint: fingerprintOf(content), outline: outlineOf(content), service, caller }
    this.publish(this.ledger.noteTermination(subject, { endpoint, pieces }, this.parts.clock.nowMs()))
  }

  /** A whole answer to the request came. */
  noteAnswer (content: RequestContent): void {
    const fingerprint = this.fingerprintIfRecorded(content)
    if (fingerprint !== null) this.publish(this.ledger.noteAnswer(fingerprint, this.parts.clock.nowMs()))
  }

  /** An answer that comes further than at any end speaks for the request as a whole one does. */
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

  /** Null for a request of which nothing is known. */
  private fingerprintIfRecorded (content: RequestContent): RequestFingerprint | null {
    return this.ledger.isEmpty || !this.ledger.mayHaveRecord(outlineOf(content)) ? null : fingerprintOf(content)
  }

  private publish (record: PoisonRecord | null): void {
    if (record !== null) this.parts.onEvidence(record)
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
