import {
  ChallengeKind, composeLease, decideChallenge, eraOf, isExpired, LeaseEffectKind, leaseKey, LeaseLoss, LeaseResultKind, mayOrder, NO_LEASE_OBSERVATION, observeAbsence, observeLease, raiseFencingFloor,
  isFencingNumber, readLease, ReadFreshness, renewalDueAtMs, renewLease, runProcedure, StoreErrorKind, suspendTerm, takeLease,
  type Clock, type EffectHandlers, type LeaseEffect, type LeaseIdentity, type LeaseObject, type LeaseObservation, type LeaseTerm, type LeaseTiming, type ObjectStore, type Random, type StoredObject, type Teardown
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { LeaseHandover } from './LeaseHandover.js'
import { NO_PAYLOAD, type LeasePayloadSource, type StoredLease } from './LeasePayload.js'

/** Name of the fleet's only lease; its holder decides for all groups. */
const FLEET_LEASE_NAME = 'fleet'

/**
 * Shorter than a failure domain's lease of the mesh: groups lose members every few seconds and are not repaired while
 * nobody holds the lease. Renewals cost one or two store calls a second for the whole fleet.
 */
export const FLEET_LEASE_TIMING: LeaseTiming = { ttlMs: 2_000, renewMs: 700, marginMs: 350, staggerMs: 0, retryMs: 250 }

/** Interval at which nodes that do not hold the lease read it, by cheap reads that may be stale. */
const READ_INTERVAL_MS = 600

/** Random spread of the attempts of nodes that find the lease free at their start. */
const CHALLENGE_SPREAD_MS = 300
/**
 * When the lease expires, nodes try to take it one after another, spread over this time per node: the new holder
 * notifies the others within 0.2 s, and each attempt is a billed store call.
 */
const CHALLENGE_SPREAD_PER_NODE_MS = 20
const RETRY_GROWTH = 1.5

/** Acquires, renews, observes and releases the fleet's lease; `step` is called several times a second. */
export class FleetLease {
  private leaseObservation: LeaseObservation = NO_LEASE_OBSERVATION
  private held: LeaseTerm | null = null
  /** Fencing number of this node's last term if it expired; null once another node is known to have taken over. */
  private lapsedFencing: number | null = null
  private running: Promise<void> | null = null
  /** The newest lease observed, in the store or in the holder's broadcast. */
  private latestLease: StoredObject<LeaseObject> | null = null
  private nextReadAtMs = 0
  private notBeforeMs = -Infinity
  /** Nodes that start together do not all request the lease at once. */
  private readonly challengeFromMs: number
  private renewals = 0
  /** When this node may try to take an expired lease; null while the lease is valid. */
  private challengeAtMs: number | null = null
  private failedChallenges = 0
  private stopped = false
  private isRenewalRequested = false
  private readonly synchronizedListeners = new Set<() => void>()

  constructor (
    private readonly store: ObjectStore, private readonly self: LeaseIdentity, private readonly clock: Clock, private readonly random: Random, private readonly log: DecisionLog,
    /**
     * Called when the lease was taken from a holder that let it expire, and that has therefore shown no activity for
     * the whole time to live.
     */
    private readonly onLapsedHolder: (holder: LeaseIdentity) => void,
    private readonly nodeCount: () => number = () => 1,
    private readonly memory: LeasePayloadSource = NO_PAYLOAD,
    /** Whether this node can act as the holder; one that can't hands the lease over, and takes none. */
    private readonly isFit: () => boolean = () => true,
    private readonly handover = new LeaseHandover(() => false)
  ) {
    this.challengeFromMs = clock.nowMs() + random.next() * CHALLENGE_SPREAD_MS
  }

  /** Whether the store has returned the lease or confirmed that there is none. */
  get isSynchronized (): boolean {
    return this.leaseObservation.firstObservedAtMs !== null
  }

  /** Registers a listener that runs once the store has returned the lease or confirmed that there is none. */
  registerSynchronizedListener (listener: () => void): Teardown {
    this.synchronizedListeners.add(listener)
    return () => { this.synchronizedListeners.delete(listener) }
  }

  /** Makes the holder write the lease without waiting for the next renewal, because the state stored with it has changed. */
  requestRenewal (): void {
    this.isRenewalRequested = this.held !== null
  }

  /** Whether this node may issue orders. Checked right before each order. */
  mayOrder (): boolean {
    return this.held !== null && mayOrder(this.held, FLEET_LEASE_TIMING, this.clock.nowMs())
  }

  /**
   * Whether this node is the coordinator: the holder, or the last holder whose lease expired while no successor is
   * known, as when the store is unavailable for all nodes. It issues no orders then, but exchanging loads and stalled
   * groups through it needs no agreement.
   */
  isCoordinator (): boolean {
    if (this.held !== null) return true
    return this.lapsedFencing !== null && (this.leaseObservation.lease?.fencing ?? 0) <= this.lapsedFencing
  }

  /** Fencing number of the held term, which rises with each takeover; null while another node holds the lease. */
  get fencing (): number | null {
    return this.held?.fencing ?? null
  }

  /** Fencing number under which this node coordinates, as the holder or the last holder; null if it does not coordinate. */
  get coordinationFencing (): number | null {
    return this.isCoordinator() ? this.held?.fencing ?? this.lapsedFencing : null
  }

  /** The lease of a later holder than the one with this fencing number; null if none is known. */
  leaseAfter (fencing: number): StoredObject<LeaseObject> | null {
    const latest = this.heldLease ?? this.latestLease
    return latest !== null && latest.body.fencing > fencing ? latest : null
  }

  /** The lease as this node holds it; null while another node holds it. */
  get heldLease (): StoredObject<LeaseObject> | null {
    if (this.held === null) return null
    return { key: leaseKey(FLEET_LEASE_NAME), version: this.held.version, body: composeLease(this.held, FLEET_LEASE_TIMING), deleted: false }
  }

  /**
   * Handles the lease received in the holder's broadcast, which counts as much as a read from the store and saves the
   * call, unless the store has since come back from an older copy.
   */
  noteLease (lease: StoredObject<LeaseObject>): void {
    if (readLease(lease.body) === null) return
    if (this.held !== null) return this.observeFencing(lease.body.fencing)
    if (eraOf(lease.version) < eraOf(this.leaseObservation.version)) return
    this.observe(lease)
    this.nextReadAtMs = this.clock.nowMs() + READ_INTERVAL_MS
  }

  /**
   * Takes in a fencing number that endpoints or peers have seen. A number above this term's ends the term: the store has lost the
   * lease of a later one, and endpoints and peers reject what has a lower number.
   */
  observeFencing (fencing: number): void {
    this.leaseObservation = raiseFencingFloor(this.leaseObservation, fencing)
    if (this.held !== null && isFencingNumber(fencing) && fencing > this.held.fencing) this.lose(LeaseLoss.FencingTooLow)
  }

  /** Suspends the term after this process was paused, since another node may hold the lease now. */
  notePause (): void {
    if (this.held !== null) this.held = suspendTerm(this.held, this.clock.nowMs())
  }

  async step (): Promise<void> {
    if (this.running !== null || this.stopped) return
    this.running = this.advance()
    try {
      await this.running
    } finally {
      this.running = null
    }
  }

  /** Releases the lease, so that another node need not wait until it expires. */
  async release (): Promise<void> {
    this.stopped = true
    await this.running
    if (this.held === null) return
    await runProcedure(renewLease(this.held, this.self, FLEET_LEASE_TIMING, true), this.handlers())
    this.lose(LeaseLoss.Released)
  }

  private async advance (): Promise<void> {
    const nowMs = this.clock.nowMs()
    if (this.held === null && nowMs < this.challengeFromMs && !this.isHeldByFormerIncarnation()) return await this.readLease(nowMs)
    if (nowMs < this.notBeforeMs) return
    if (this.held !== null) return await this.renew(this.held, nowMs)
    if (!this.isFit()) return await this.readLease(nowMs)
    await this.challenge(nowMs)
  }

  /**
   * Whether an earlier incarnation of this node holds the lease; other nodes must wait until it expires, but this one
   * may take it at once.
   */
  private isHeldByFormerIncarnation (): boolean {
    return this.leaseObservation.lease?.holder === this.self.node
  }

  private async renew (term: LeaseTerm, nowMs: number): Promise<void> {
    if (isExpired(term, FLEET_LEASE_TIMING, nowMs)) return this.lose(LeaseLoss.Expired)
    if (!this.isFit()) return await this.stepDown(term, LeaseLoss.Released)
    if (this.handover.isDue(nowMs)) return await this.stepDown(term, LeaseLoss.Overloaded)
    if (nowMs < renewalDueAtMs(term, FLEET_LEASE_TIMING) && !this.isRenewalRequested) return
    this.isRenewalRequested = false
    const result = await runProcedure(renewLease(term, this.self, FLEET_LEASE_TIMING), this.handlers())
    // The term ended meanwhile, for a higher fencing number.
    if (this.held === null) return
    if (result.kind === LeaseResultKind.Lost) {
      if (result.observed !== null) this.observe(result.observed)
      return this.lose(result.loss)
    }
    const suspendedMeanwhile = this.held?.suspendedAtMs !== term.suspendedAtMs ? this.held?.suspendedAtMs ?? null : null
    this.held = suspendedMeanwhile === null ? result.term : suspendTerm(result.term, suspendedMeanwhile)
    if (result.error !== null) this.notBeforeMs = this.clock.nowMs() + FLEET_LEASE_TIMING.retryMs
  }

  /** Hands the lease over to any other node; keeps it until the store has accepted that. */
  private async stepDown (term: LeaseTerm, reason: LeaseLoss): Promise<void> {
    const result = await runProcedure(renewLease(term, this.self, FLEET_LEASE_TIMING, true), this.handlers())
    if (result.kind === LeaseResultKind.Held && result.error !== null) this.notBeforeMs = this.clock.nowMs() + FLEET_LEASE_TIMING.retryMs
    else this.lose(reason)
  }

  private async challenge (nowMs: number): Promise<void> {
    const decision = decideChallenge(this.leaseObservation, { ...this.self, rank: 0, isSingleInstance: true }, FLEET_LEASE_TIMING, nowMs)
    if (decision.kind === ChallengeKind.Wait) {
      this.challengeAtMs = null
      return await this.readLease(nowMs)
    }
    this.challengeAtMs ??= this.isHeldByFormerIncarnation() ? nowMs : nowMs + this.handover.challengeDelayMs(nowMs) + this.random.next() * CHALLENGE_SPREAD_PER_NODE_MS * (this.nodeCount() - 1)
    if (nowMs < this.challengeAtMs) return
    const result = await runProcedure(takeLease(FLEET_LEASE_NAME, this.self, decision.expectedVersion, decision.fencing, FLEET_LEASE_TIMING), this.handlers())
    if (result.kind === LeaseResultKind.Held) {
      this.held = result.term
      this.lapsedFencing = null
      this.challengeAtMs = null
      this.handover.noteTaken(this.clock.nowMs())
      const former = this.leaseObservation.lease
      if (former !== null && !former.released && former.holder !== this.self.node) this.onLapsedHolder({ node: former.holder, incarnation: former.holderIncarnation })
      return this.log.write(LogKind.LeaseTaken, { fencing: result.term.fencing, version: result.term.version, formerHolder: this.leaseObservation.lease?.holder ?? null })
    }
    if (result.observed !== null) this.observe(result.observed)
    // The store has lost the lease, which must be created again; the fencing number goes on rising.
    if (result.error.kind === StoreErrorKind.NotFound) this.leaseObservation = { ...this.leaseObservation, version: 0, lease: null }
    this.failedChallenges = result.observed === null ? this.failedChallenges + 1 : 0
    this.notBeforeMs = this.clock.nowMs() + this.retryPauseMs() * (0.5 + this.random.next())
    this.nextReadAtMs = 0
  }

  /** Grows with each attempt that did not reach the store, up to a limit that depends on the size of the fleet. */
  private retryPauseMs (): number {
    const { retryMs } = FLEET_LEASE_TIMING
    const limitMs = Math.max(retryMs, CHALLENGE_SPREAD_PER_NODE_MS * this.nodeCount())
    return Math.min(limitMs, retryMs * RETRY_GROWTH ** this.failedChallenges)
  }

  private async readLease (nowMs: number): Promise<void> {
    if (nowMs < this.nextReadAtMs) return
    this.nextReadAtMs = nowMs + READ_INTERVAL_MS
    const freshness = this.leaseObservation.firstObservedAtMs === null ? ReadFreshness.Newest : ReadFreshness.MayBeStale
    const read = await this.store.get<LeaseObject>(leaseKey(FLEET_LEASE_NAME), freshness)
    if (read.ok) this.observe(read.value)
    else if (read.error.kind === StoreErrorKind.NotFound) this.setLeaseObservation(observeAbsence(this.leaseObservation, this.clock.nowMs()))
  }

  private observe (stored: StoredObject<LeaseObject>): void {
    if (stored.deleted) return
    const lease = readLease(stored.body) as StoredLease | null
    if (lease === null && stored.version > this.leaseObservation.version) this.log.write(LogKind.EntryRejected, { where: stored.key, version: stored.version, reason: 'no lease' })
    if (lease !== null && lease.fencing >= (this.latestLease?.body.fencing ?? 0)) this.latestLease = stored
    this.memory.restore(lease?.memory ?? {})
    this.waitForLostTerm(stored.version)
    this.setLeaseObservation(observeLease(this.leaseObservation, stored.version, stored.body, this.clock.nowMs()))
  }

  /**
   * When the store came back from an older copy, its lease may name a former holder, for example this node. The holder since
   * then may still give orders for the time to live.
   */
  private waitForLostTerm (version: number): void {
    const { lease, version: knownVersion } = this.leaseObservation
    const isHeldByOther = lease !== null && !lease.released && lease.holder !== this.self.node && !this.isCoordinator()
    if (isHeldByOther && eraOf(version) > eraOf(knownVersion)) this.notBeforeMs = Math.max(this.notBeforeMs, this.clock.nowMs() + FLEET_LEASE_TIMING.ttlMs)
  }

  private setLeaseObservation (leaseObservation: LeaseObservation): void {
    const wasSynchronized = this.isSynchronized
    this.leaseObservation = leaseObservation
    if (wasSynchronized || !this.isSynchronized) return
    for (const listener of this.synchronizedListeners) listener()
  }

  private lose (reason: LeaseLoss): void {
    const term = this.held
    this.held = null
    if (term === null) return
    this.lapsedFencing = reason === LeaseLoss.Expired ? term.fencing : null
    if (reason === LeaseLoss.Overloaded) this.handover.noteHandedOver(this.clock.nowMs())
    this.leaseObservation = raiseFencingFloor({ ...this.leaseObservation, firstObservedAtMs: this.clock.nowMs() }, term.fencing)
    this.nextReadAtMs = 0
    this.log.write(LogKind.LeaseLost, { fencing: term.fencing, reason })
  }

  private handlers (): EffectHandlers<LeaseEffect> {
    return {
      [LeaseEffectKind.Now]: () => this.clock.nowMs(),
      [LeaseEffectKind.Renewal]: () => ++this.renewals,
      [LeaseEffectKind.Read]: async ({ key }) => await this.store.get<LeaseObject>(key),
      [LeaseEffectKind.Write]: async ({ key, body, expectedVersion }) => {
        const written: StoredLease = { ...body, memory: this.memory.read() }
        return expectedVersion === 0 ? await this.store.create(key, written) : await this.store.update(key, written, expectedVersion)
      }
    }
  }
}
