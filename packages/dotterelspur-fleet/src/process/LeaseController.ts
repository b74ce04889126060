import {
  ChallengeKind, decideChallenge, isExpired, isFencingNumber, LEASE_PREFIX, LeaseEffectKind, LeaseLoss, leaseKey, LeaseResultKind, mayOrder, NO_LEASE_OBSERVATION, observeAbsence, observeLease,
  raiseFencingFloor, renewalDueAtMs, renewLease, runProcedure, StoreErrorKind, suspendTerm, takeLease, type EffectHandlers, type FailureDomainId, type LeaseEffect,
  type LeaseObject, type LeaseObservation, type LeaseTerm, type MeshDocument, type ObjectStore, type StoredObject
} from 'dotterelspur'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'

/** Only this many best-ranked nodes read a lease and try to take it; otherwise the calls to the store would grow with the number of nodes. */
export const CANDIDATES_PER_LEASE = 3

/** After releasing a lease to a better-ranked node, this node doesn't try to take it back for this long. */
const YIELD_COOLDOWN_MS = 10_000

export interface LeaseListener {
  taken (term: LeaseTerm): void
  lost (failureDomain: FailureDomainId, loss: LeaseLoss): void
}

/** Manages one failure domain's lease on one node: observes it, takes it, renews it and releases it. */
export class LeaseController {
  private leaseObservation: LeaseObservation = NO_LEASE_OBSERVATION
  private held: LeaseTerm | null = null
  private runningStep: Promise<void> | null = null
  private lastReadAtMs = -Infinity
  private nextAttemptAtMs = 0
  private outrankedSinceMs: number | null = null

  constructor (
    readonly failureDomain: FailureDomainId, private readonly options: FleetOptions, private readonly timing: FleetTiming,
    private readonly nextRenewal: () => number, private readonly listener: LeaseListener
  ) {
    const document = options.mesh.document(leaseKey(failureDomain))
    if (document !== undefined) this.observeDocument(document)
  }

  private get store (): ObjectStore {
    return this.options.leaseStore ?? this.options.store
  }

  get term (): LeaseTerm | null {
    return this.held
  }

  /** Whether the lease allows an order or a write at this instant; checked immediately before each. */
  mayOrder (): boolean {
    return this.held !== null && mayOrder(this.held, this.timing.lease, this.options.clock.nowMs())
  }

  /** Takes in a copy of the lease that arrived through the mesh. */
  observeDocument (document: MeshDocument): void {
    if (!document.key.startsWith(LEASE_PREFIX) || document.deleted) return
    this.leaseObservation = observeLease(this.leaseObservation, document.version, document.body as LeaseObject, this.options.clock.nowMs())
  }

  /** Suspends the term after a pause of this process: no orders are sent until a renewal succeeds. */
  handlePause (): void {
    if (this.held !== null) this.held = suspendTerm(this.held, this.options.clock.nowMs())
  }

  /** Takes in a fencing number from an assignment or an endpoint. A number above this term's ends the term, since another node has held the lease after it. */
  observeFencing (fencing: number): void {
    this.leaseObservation = raiseFencingFloor(this.leaseObservation, fencing)
    if (this.held !== null && isFencingNumber(fencing) && fencing > this.held.fencing) this.endTerm(LeaseLoss.FencingTooLow)
  }

  /** Does what is due now. `rank` is this node's rank among the living candidates. */
  async step (rank: number): Promise<void> {
    if (this.runningStep !== null) return
    this.runningStep = this.runStep(rank)
    try {
      await this.runningStep
    } finally {
      this.runningStep = null
    }
  }

  /** Releases the lease, so that another node can take it at once. Returns whether the store accepted the release. */
  async release (): Promise<boolean> {
    await this.runningStep
    return await this.releaseHeld()
  }

  private async runStep (rank: number): Promise<void> {
    if (this.held !== null) await this.maintain(this.held, rank)
    else if (rank < CANDIDATES_PER_LEASE) await this.challenge(rank)
  }

  private async releaseHeld (): Promise<boolean> {
    if (this.held === null) return false
    const { node, incarnation } = this.options.mesh.self
    const result = await runProcedure(renewLease(this.held, { node, incarnation }, this.timing.lease, true), this.handlers())
    const released = result.kind === LeaseResultKind.Lost && result.loss === LeaseLoss.Released
    if (result.kind === LeaseResultKind.Lost && result.observed !== null) this.observe(result.observed)
    if (released) this.broadcast(result.observed!)
    this.nextAttemptAtMs = this.options.clock.nowMs() + YIELD_COOLDOWN_MS
    if (this.held !== null) this.endTerm(LeaseLoss.Released)
    return released
  }

  private async maintain (term: LeaseTerm, rank: number): Promise<void> {
    const nowMs = this.options.clock.nowMs()
    if (isExpired(term, this.timing.lease, nowMs)) return this.endTerm(LeaseLoss.Expired)
    if (this.shouldYield(rank, nowMs)) {
      await this.releaseHeld()
      return
    }
    if (nowMs < renewalDueAtMs(term, this.timing.lease) || nowMs < this.nextAttemptAtMs) return
    const pausedBeforeAtMs = term.suspendedAtMs
    const { node, incarnation } = this.options.mesh.self
    const result = await runProcedure(renewLease(term, { node, incarnation }, this.timing.lease), this.handlers())
    if (this.held === null) return
    if (result.kind === LeaseResultKind.Lost) {
      if (result.observed !== null) this.observe(result.observed)
      return this.endTerm(result.loss)
    }
    const pausedDuringRenewalAtMs = this.held.suspendedAtMs !== pausedBeforeAtMs ? this.held.suspendedAtMs : null
    this.held = pausedDuringRenewalAtMs === null ? result.term : suspendTerm(result.term, pausedDuringRenewalAtMs)
    if (result.error !== null) this.backOff()
  }

  private async challenge (rank: number): Promise<void> {
    const nowMs = this.options.clock.nowMs()
    if (nowMs < this.nextAttemptAtMs) return
    const { node, incarnation } = this.options.mesh.self
    const decision = decideChallenge(this.leaseObservation, { node, incarnation, rank }, this.timing.lease, nowMs)
    if (decision.kind === ChallengeKind.Wait) return await this.readIfDue(nowMs)
    const take = takeLease(this.failureDomain, { node, incarnation }, decision.expectedVersion, decision.fencing, this.timing.lease)
    const result = await runProcedure(take, this.handlers())
    if (result.kind === LeaseResultKind.Held) return this.startTerm(result.term)
    if (result.observed !== null) this.observe(result.observed)
    const isAbsent = result.error.kind === StoreErrorKind.NotFound || (result.error.kind === StoreErrorKind.Conflict && result.error.currentVersion === null)
    if (isAbsent) this.leaseObservation = { ...this.leaseObservation, version: 0, firstObservedAtMs: nowMs }
    this.backOff()
  }

  private async readIfDue (nowMs: number): Promise<void> {
    const lastObservedAtMs = Math.max(this.lastReadAtMs, this.leaseObservation.firstObservedAtMs ?? -Infinity)
    if (nowMs - lastObservedAtMs < this.timing.leaseReadIntervalMs) return
    this.lastReadAtMs = nowMs
    const read = await this.store.get<LeaseObject>(leaseKey(this.failureDomain))
    if (read.ok) this.observe(read.value)
    else if (read.error.kind === StoreErrorKind.NotFound) this.leaseObservation = observeAbsence(this.leaseObservation, this.options.clock.nowMs())
    if (read.ok || read.error.kind === StoreErrorKind.NotFound) this.options.mesh.noteStoreContact()
  }

  private shouldYield (rank: number, nowMs: number): boolean {
    if (rank === 0) this.outrankedSinceMs = null
    else this.outrankedSinceMs ??= nowMs
    return this.outrankedSinceMs !== null && nowMs - this.outrankedSinceMs >= this.timing.leaseYieldMs
  }

  private startTerm (term: LeaseTerm): void {
    this.held = term
    this.outrankedSinceMs = null
    this.broadcast({ key: leaseKey(this.failureDomain), version: term.version, body: this.ownLease(term), deleted: false })
    this.listener.taken(term)
  }

  private endTerm (loss: LeaseLoss): void {
    const term = this.held
    this.held = null
    if (term === null) return
    this.leaseObservation = raiseFencingFloor(this.leaseObservation, term.fencing)
    if (this.leaseObservation.version < term.version) this.leaseObservation = { ...this.leaseObservation, version: term.version, lease: this.ownLease(term), firstObservedAtMs: this.options.clock.nowMs() }
    this.listener.lost(this.failureDomain, loss)
  }

  /** The lease as this node last wrote it. No other process sends orders under it, so this node may take it again at once. */
  private ownLease (term: LeaseTerm): LeaseObject {
    const { node, incarnation } = this.options.mesh.self
    return {
      failureDomain: term.failureDomain, holder: node, holderIncarnation: incarnation, fencing: term.fencing, ttlMs: this.timing.lease.ttlMs, renewal: term.renewal, released: false, writeToken: ''
    }
  }

  private observe (stored: StoredObject<LeaseObject>): void {
    if (stored.deleted) return
    this.leaseObservation = observeLease(this.leaseObservation, stored.version, stored.body, this.options.clock.nowMs())
  }

  /** Broadcasts a takeover or a release through the mesh, so that other nodes learn of it at once. Renewals aren't broadcast: only the candidates read them. */
  private broadcast (stored: StoredObject<LeaseObject>): void {
    this.options.mesh.offerDocument({ key: stored.key, version: stored.version, body: stored.body, deleted: false })
  }

  private backOff (): void {
    const { retryMs } = this.timing.lease
    this.nextAttemptAtMs = this.options.clock.nowMs() + retryMs * (0.5 + this.options.random.next())
  }

  private handlers (): EffectHandlers<LeaseEffect> {
    const { clock, mesh } = this.options
    const store = this.store
    return {
      [LeaseEffectKind.Now]: () => clock.nowMs(),
      [LeaseEffectKind.Renewal]: () => this.nextRenewal(),
      [LeaseEffectKind.Read]: async ({ key }) => await store.get<LeaseObject>(key),
      [LeaseEffectKind.Write]: async ({ key, body, expectedVersion }) => {
        const result = expectedVersion === 0 ? await store.create(key, body) : await store.update(key, body, expectedVersion)
        if (result.ok) mesh.noteStoreContact()
        return result
      }
    }
  }
}
