import {
  outlineOf, PoisonLedger, PoisonState,
  type Clock, type EndpointEnd, type PoisonLimits, type PoisonRecord, type RequestContent, type RequestFingerprint, type Teardown
} from 'dotterelspur'
import { fingerprintOf } from '../request/fingerprint.js'

/** What becomes of a request that comes in. */
export enum AdmissionKind {
  Admitted = 'admitted',
  /** A suspect that runs somewhere, or is another node's to send: it may come back. */
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

export interface PoisonGuardParts {
  readonly clock: Clock
  readonly limits: PoisonLimits
  /**
   * Whether this node is the one that sends a suspect. With one node for each, a suspect that many nodes get at once meets one
   * endpoint at a time in the whole fleet.
   */
  readonly isHome: (fingerprint: RequestFingerprint) => boolean
  /** What this node has learned itself, to be told to the others. */
  readonly learned: (record: PoisonRecord) => void
}

const NOT_KNOWN: PoisonAdmission = { kind: AdmissionKind.Admitted, fingerprint: null, release: () => {} }

/**
 * Keeps requests that end endpoints away from them. Most requests pay for it with one comparison of their outline; a fingerprint is
 * made only of those whose outline is known, and of those that lost their endpoint.
 */
export class PoisonGuard {
  readonly ledger: PoisonLedger
  private readonly running = new Set<RequestFingerprint>()

  constructor (private readonly parts: PoisonGuardParts) {
    this.ledger = new PoisonLedger(parts.limits)
  }

  admit (content: RequestContent): PoisonAdmission {
    const fingerprint = this.knownFingerprint(content)
    if (fingerprint === null) return NOT_KNOWN
    return ADMISSIONS[this.ledger.stateOf(fingerprint)](fingerprint, this.parts, this.running)
  }

  /** Whether a request that was admitted may be sent once more. */
  maySendAgain (content: RequestContent): boolean {
    const fingerprint = this.knownFingerprint(content)
    return fingerprint === null || this.ledger.stateOf(fingerprint) === PoisonState.Trusted
  }

  /** The endpoint ended while it had the request. */
  noteEnd (content: RequestContent, end: EndpointEnd): void {
    const { service, caller } = content
    const subject = { fingerprint: fingerprintOf(content), outline: outlineOf(content), service, caller }
    this.tell(this.ledger.noteEnd(subject, end, this.parts.clock.nowMs()))
  }

  /** A whole answer to the request came. */
  noteAnswer (content: RequestContent): void {
    const fingerprint = this.knownFingerprint(content)
    if (fingerprint !== null) this.tell(this.ledger.noteAnswer(fingerprint, this.parts.clock.nowMs()))
  }

  /** Null for a request of which nothing is known. */
  private knownFingerprint (content: RequestContent): RequestFingerprint | null {
    return this.ledger.isEmpty || !this.ledger.mayKnow(outlineOf(content)) ? null : fingerprintOf(content)
  }

  private tell (record: PoisonRecord | null): void {
    if (record !== null) this.parts.learned(record)
  }
}

type Admit = (fingerprint: RequestFingerprint, parts: PoisonGuardParts, running: Set<RequestFingerprint>) => PoisonAdmission

const ADMISSIONS: Readonly<Record<PoisonState, Admit>> = {
  [PoisonState.Trusted]: (fingerprint) => ({ kind: AdmissionKind.Admitted, fingerprint, release: () => {} }),
  [PoisonState.Suspected]: (fingerprint, { isHome }, running) => {
    if (running.has(fingerprint) || !isHome(fingerprint)) return { kind: AdmissionKind.Deferred, fingerprint, release: () => {} }
    running.add(fingerprint)
    return { kind: AdmissionKind.Admitted, fingerprint, release: () => { running.delete(fingerprint) } }
  },
  [PoisonState.Quarantined]: (fingerprint) => ({ kind: AdmissionKind.Quarantined, fingerprint, release: () => {} })
}
