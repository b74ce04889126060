import {
  ChallengeKind, decideChallenge, isExpired, LEASE_PREFIX, LeaseEffectKind, LeaseLoss, leaseKey, LeaseResultKind, mayOrder, NO_LEASE_OBSERVATION, observeAbsence, observeLease,
  raiseFencingFloor, renewalDueAtMs, renewLease, runProcedure, StoreErrorKind, suspendTerm, takeLease, type EffectHandlers, type FailureDomainId, type LeaseEffect,
  type LeaseObject, type LeaseObservation, type LeaseTerm, type MeshDocument, type ObjectStore, type StoredObject
} from 'dotterelspur'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'

/** Nodes below this rank don't try for a lease and don't read it: the store's calls would grow with the nodes. */
export const CANDIDATES_PER_LEASE = 3

/** After giving a lease up to a better placed node, this node leaves it alone for so long. */
const YIELD_HOLD_MS = 10_000

export interface LeaseListener {
  taken (term: LeaseTerm): void
  lost (failureDomain: FailureDomainId, loss: LeaseLoss): void
}

/** Runs one failure domain's lease on one node: watches it, takes it, renews it, gives it up. */
export class LeaseKeeper {
  private sighting: LeaseObservation = NO_LEASE_OBSERVATION
  private held: LeaseTerm | null = null
  private running: Promise<void> | null = null
  private readAtMs = -Infinity
  private notBeforeMs = 0
  private worseSinceMs: number | null = null

  constructor (
    readonly failureDomain: FailureDomainId, private readonly options: FleetOptions, private readonly timing: FleetTiming,
    private readonly nextRenewal: () => number, private readonly listener: LeaseListener
  ) {
    const document = options.mesh.document(leaseKey(failureDomain))
    if (document !== undefined) this.noteDocument(document)
  }

  private get store (): ObjectStore {
    return this.options.leaseStore ?? this.options.store
  }

  get term (): LeaseTerm | null {
    return this.held
  }

  /** Asked right before each order and each write. */
  mayOrder (): boolean {
    return this.held !== null && mayOrder(this.held, this.timing.lease, this.options.clock.nowMs())
  }

  /** A copy of the lease came through the mesh. */
  noteDocument (document: MeshDocument): void {
    if (!document.key.startsWith(LEASE_PREFIX) || document.deleted) return
    this.sighting = observeLease(this.sighting, document.version, document.body as LeaseObject, this.options.clock.nowMs())
  }

  /** This process did not run for a while: nothing is ordered until a renewal gets through. */
  notePause (): void {
    if (this.held !== null) this.held = suspendTerm(this.held, this.options.clock.nowMs())
  }

  /** An assignment or an endpoint knows a higher fencing number than this term's: someone else holds or held the lease. */
  noteFencing (fencing: number): void {
    this.sighting = raiseFencingFloor(this.sighting, fencing)
    if (this.held !== null && fencing > this.held.fencing) this.end(LeaseLoss.FencingTooLow)
  }

  /** Does what is due now. `rank` is this node's place among the living candidates. */
  async step (rank: number): Promise<void> {
    if (this.running !== null) return
    this.running = this.act(rank)
    try {
      await this.running
    } finally {
      this.running = null
    }
  }

  /** Gives the lease up, so that another node may take it at once. Returns whether the store took it. */
  async release (): Promise<boolean> {
    await this.running
    return await this.giveUp()
  }

  private async act (rank: number): Promise<void> {
    if (this.held !== null) await this.hold(this.held, rank)
    else if (rank < CANDIDATES_PER_LEASE) await this.challenge(rank)
  }

  private async giveUp (): Promise<boolean> {
    if (this.held === null) return false
    const { node, incarnation } = this.options.mesh.self
    const result = await runProcedure(renewLease(this.held, { node, incarnation }, this.timing.lease, true), this.handlers())
    const released = result.kind === LeaseResultKind.Lost && result.loss === LeaseLoss.Released
    if (result.kind === LeaseResultKind.Lost && result.observed !== null) this.observe(result.observed)
    if (released) this.offer(result.observed!)
    this.notBeforeMs = this.options.clock.nowMs() + YIELD_HOLD_MS
    if (this.held !== null) this.end(LeaseLoss.Released)
    return released
  }

  private async hold (term: LeaseTerm, rank: number): Promise<void> {
    const nowMs = this.options.clock.nowMs()
    if (isExpired(term, this.timing.lease, nowMs)) return this.end(LeaseLoss.Expired)
    if (this.shouldYield(rank, nowMs)) {
      await this.giveUp()
      return
    }
    if (nowMs < renewalDueAtMs(term, this.timing.lease) || nowMs < this.notBeforeMs) return
    const pausedAtMs = term.suspendedAtMs
    const { node, incarnation } = this.options.mesh.self
    const result = await runProcedure(renewLease(term, { node, incarnation }, this.timing.lease), this.handlers())
    if (this.held === null) return
    if (result.kind === LeaseResultKind.Lost) {
      if (result.observed !== null) this.observe(result.observed)
      return this.end(result.loss)
    }
    const pausedMeanwhile = this.held.suspendedAtMs !== pausedAtMs ? this.held.suspendedAtMs : null
    this.held = pausedMeanwhile === null ? result.term : suspendTerm(result.term, pausedMeanwhile)
    if (result.error !== null) this.backOff()
  }

  private async challenge (rank: number): Promise<void> {
    const nowMs = this.options.clock.nowMs()
    if (nowMs < this.notBeforeMs) return
    const { node, incarnation } = this.options.mesh.self
    const decision = decideChallenge(this.sighting, { node, incarnation, rank }, this.timing.lease, nowMs)
    if (decision.kind === ChallengeKind.Wait) return await this.readIfDue(nowMs)
    const take = takeLease(this.failureDomain, { node, incarnation }, decision.expectedVersion, decision.fencing, this.timing.lease)
    const result = await runProcedure(take, this.handlers())
    if (result.kind === LeaseResultKind.Held) return this.begin(result.term)
    if (result.observed !== null) this.observe(result.observed)
    if (result.error.kind === StoreErrorKind.Conflict && result.error.currentVersion === null) this.sighting = { ...this.sighting, version: 0, firstObservedAtMs: nowMs }
    this.backOff()
  }

  private async readIfDue (nowMs: number): Promise<void> {
    const newestMs = Math.max(this.readAtMs, this.sighting.firstObservedAtMs ?? -Infinity)
    if (nowMs - newestMs < this.timing.leaseReadIntervalMs) return
    this.readAtMs = nowMs
    const read = await this.store.get<LeaseObject>(leaseKey(this.failureDomain))
    if (read.ok) this.observe(read.value)
    else if (read.error.kind === StoreErrorKind.NotFound) this.sighting = observeAbsence(this.sighting, this.options.clock.nowMs())
    if (read.ok || read.error.kind === StoreErrorKind.NotFound) this.options.mesh.noteStoreContact()
  }

  private shouldYield (rank: number, nowMs: number): boolean {
    if (rank === 0) this.worseSinceMs = null
    else this.worseSinceMs ??= nowMs
    return this.worseSinceMs !== null && nowMs - this.worseSinceMs >= this.timing.leaseYieldMs
  }

  private begin (term: LeaseTerm): void {
    this.held = term
    this.worseSinceMs = null
    this.offer({ key: leaseKey(this.failureDomain), version: term.version, body: this.ownLease(term), deleted: false })
    this.listener.taken(term)
  }

  private end (loss: LeaseLoss): void {
    const term = this.held
    this.held = null
    if (term === null) return
    this.sighting = raiseFencingFloor(this.sighting, term.fencing)
    if (this.sighting.version < term.version) this.sighting = { ...this.sighting, version: term.version, lease: this.ownLease(term), firstObservedAtMs: this.options.clock.nowMs() }
    this.listener.lost(this.failureDomain, loss)
  }

  /** The lease as this node's own last write left it: no other process orders under it, so it may be taken again at once. */
  private ownLease (term: LeaseTerm): LeaseObject {
    const { node, incarnation } = this.options.mesh.self
    return {
      failureDomain: term.failureDomain, holder: node, holderIncarnation: incarnation, fencing: term.fencing, ttlMs: this.timing.lease.ttlMs, renewal: term.renewal, released: false, writeToken: ''
    }
  }

  private observe (stored: StoredObject<LeaseObject>): void {
    if (stored.deleted) return
    this.sighting = observeLease(this.sighting, stored.version, stored.body, this.options.clock.nowMs())
  }

  /** Spreads a takeover or a release, which others should know of at once; renewals are read by the candidates alone. */
  private offer (stored: StoredObject<LeaseObject>): void {
    this.options.mesh.offerDocument({ key: stored.key, version: stored.version, body: stored.body, deleted: false })
  }

  private backOff (): void {
    const { retryMs } = this.timing.lease
    this.notBeforeMs = this.options.clock.nowMs() + retryMs * (0.5 + this.options.random.next())
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
