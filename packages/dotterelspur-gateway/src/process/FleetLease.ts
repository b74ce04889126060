import {
  ChallengeKind, composeLease, decideChallenge, isExpired, LeaseEffectKind, leaseKey, LeaseLoss, LeaseResultKind, mayOrder, NO_SIGHTING, observeAbsence, observeLease, raiseFencingFloor,
  ReadFreshness, renewalDueAtMs, renewLease, runProcedure, StoreErrorKind, suspendTerm, takeLease,
  type Clock, type EffectHandlers, type LeaseEffect, type LeaseIdentity, type LeaseObject, type LeaseSighting, type LeaseTerm, type LeaseTiming, type ObjectStore, type Random, type StoredObject, type Teardown
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** The one lease: its holder decides for all groups. */
const FLEET_LEASE_NAME = 'fleet'

/**
 * Shorter than a failure domain's lease of the mesh: groups lose members every few seconds, and nothing is mended
 * while nobody holds the lease. Its renewals are one or two calls a second for the whole fleet.
 */
export const FLEET_LEASE_TIMING: LeaseTiming = { ttlMs: 2_000, renewMs: 700, marginMs: 350, staggerMs: 0, retryMs: 250 }

/** Waiting nodes look at the lease this often, by reads that may be stale and are cheap for it. */
const READ_INTERVAL_MS = 600

/** How far apart nodes that find the lease open try for it, by chance. */
const CHALLENGE_SPREAD_MS = 300
/**
 * When the lease lapses, nodes try to take it in turn, spread over this time for each of them: who takes it tells the others
 * within 0.2 s, and each try is a priced call.
 */
const CHALLENGE_SPREAD_PER_NODE_MS = 20
const RETRY_GROWTH = 1.5

/** The lease as it stands in the store: its holder adds what the fleet should know when all nodes start anew, at no call more. */
interface StoredLease extends LeaseObject {
  readonly memory?: LeasePayload | null
}

/** What is kept with the lease. Others may write there as well, so each part is checked by who takes it. */
export interface LeasePayload {
  /** What the fleet has learned of its callers and engines. */
  readonly learned?: unknown
  /** Requests that seem to end their endpoints. */
  readonly suspects?: unknown
}

/** What goes with the lease into the store, and comes out of it again. */
export interface LeasePayloadSource {
  read (): LeasePayload
  restore (memory: LeasePayload): void
}

const NO_PAYLOAD: LeasePayloadSource = { read: () => ({}), restore: () => {} }

/** Takes, renews, watches and gives up the fleet's lease; `step` is called several times a second. */
export class FleetLease {
  private sighting: LeaseSighting = NO_SIGHTING
  private held: LeaseTerm | null = null
  /** Fencing number of the term that lapsed here last; null where another node is known to have taken over. */
  private lapsedFencing: number | null = null
  private running: Promise<void> | null = null
  /** The lease of the latest holder that is known, in the store or by its own word. */
  private latestLease: StoredObject<LeaseObject> | null = null
  private nextReadAtMs = 0
  private notBeforeMs = -Infinity
  /** Nodes that start together don't all ask for the lease at once. */
  private readonly challengeFromMs: number
  private renewals = 0
  /** When this node's turn to take a lapsed lease comes; null while it hasn't lapsed. */
  private challengeAtMs: number | null = null
  private failedChallenges = 0
  private stopped = false
  private isRenewalRequested = false
  private readonly knownListeners = new Set<() => void>()

  constructor (
    private readonly store: ObjectStore, private readonly self: LeaseIdentity, private readonly clock: Clock, private readonly random: Random, private readonly log: DecisionLog,
    /** The lease was taken from a holder that let it lapse: it has given no sign of life for the whole time to live. */
    private readonly onLapsedHolder: (holder: LeaseIdentity) => void,
    private readonly nodeCount: () => number = () => 1,
    private readonly memory: LeasePayloadSource = NO_PAYLOAD
  ) {
    this.challengeFromMs = clock.nowMs() + random.next() * CHALLENGE_SPREAD_MS
  }

  /** Whether the store has said who holds the lease, or that nobody does. */
  get isKnown (): boolean {
    return this.sighting.firstSeenAtMs !== null
  }

  /** The listener runs once that is known. */
  registerKnown (listener: () => void): Teardown {
    this.knownListeners.add(listener)
    return () => { this.knownListeners.delete(listener) }
  }

  /** What is kept with the lease has changed: its holder writes it without waiting for the next renewal. */
  requestRenewal (): void {
    this.isRenewalRequested = this.held !== null
  }

  /** Asked right before each order. */
  mayOrder (): boolean {
    return this.held !== null && mayOrder(this.held, FLEET_LEASE_TIMING, this.clock.nowMs())
  }

  /**
   * Whether other nodes turn to this one: as the holder, or as the one whose lease lapsed while nobody is known to have
   * taken over, as with the store out for all. It orders nothing then, but what nodes tell each other through it,
   * loads and stopped groups, needs no agreement.
   */
  isCoordinator (): boolean {
    if (this.held !== null) return true
    return this.lapsedFencing !== null && (this.sighting.lease?.fencing ?? 0) <= this.lapsedFencing
  }

  /** Rises at each takeover; null while another node holds the lease. */
  get fencing (): number | null {
    return this.held?.fencing ?? null
  }

  /** The number under which this node coordinates, as the holder or as the last one; null where it doesn't. */
  get coordinationFencing (): number | null {
    return this.isCoordinator() ? this.held?.fencing ?? this.lapsedFencing : null
  }

  /** The lease of a later holder than the one of this number; null where none is known. */
  leaseAfter (fencing: number): StoredObject<LeaseObject> | null {
    const latest = this.heldLease ?? this.latestLease
    return latest !== null && latest.body.fencing > fencing ? latest : null
  }

  /** The lease as this node holds it; null while another one does. */
  get heldLease (): StoredObject<LeaseObject> | null {
    if (this.held === null) return null
    return { key: leaseKey(FLEET_LEASE_NAME), version: this.held.version, body: composeLease(this.held, FLEET_LEASE_TIMING), deleted: false }
  }

  /** The holder told of its lease: as good as a look at the store, and no call. */
  noteLease (lease: StoredObject<LeaseObject>): void {
    if (this.held !== null) return
    this.observe(lease)
    this.nextReadAtMs = this.clock.nowMs() + READ_INTERVAL_MS
  }

  /** This process did not run for a while: someone else may hold the lease now. */
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

  /** Gives the lease up, so that another node need not wait until it lapses. */
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
    await this.challenge(nowMs)
  }

  /** An earlier life of this node holds the lease: nobody else may take it soon, and this one at once. */
  private isHeldByFormerIncarnation (): boolean {
    return this.sighting.lease?.holder === this.self.node
  }

  private async renew (term: LeaseTerm, nowMs: number): Promise<void> {
    if (isExpired(term, FLEET_LEASE_TIMING, nowMs)) return this.lose(LeaseLoss.Expired)
    if (nowMs < renewalDueAtMs(term, FLEET_LEASE_TIMING) && !this.isRenewalRequested) return
    this.isRenewalRequested = false
    const result = await runProcedure(renewLease(term, this.self, FLEET_LEASE_TIMING), this.handlers())
    if (result.kind === LeaseResultKind.Lost) {
      if (result.observed !== null) this.observe(result.observed)
      return this.lose(result.loss)
    }
    const suspendedMeanwhile = this.held?.suspendedAtMs !== term.suspendedAtMs ? this.held?.suspendedAtMs ?? null : null
    this.held = suspendedMeanwhile === null ? result.term : suspendTerm(result.term, suspendedMeanwhile)
    if (result.error !== null) this.notBeforeMs = this.clock.nowMs() + FLEET_LEASE_TIMING.retryMs
  }

  private async challenge (nowMs: number): Promise<void> {
    const decision = decideChallenge(this.sighting, { ...this.self, rank: 0, hasOneLife: true }, FLEET_LEASE_TIMING, nowMs)
    if (decision.kind === ChallengeKind.Wait) {
      this.challengeAtMs = null
      return await this.readLease(nowMs)
    }
    this.challengeAtMs ??= this.isHeldByFormerIncarnation() ? nowMs : nowMs + this.random.next() * CHALLENGE_SPREAD_PER_NODE_MS * (this.nodeCount() - 1)
    if (nowMs < this.challengeAtMs) return
    const result = await runProcedure(takeLease(FLEET_LEASE_NAME, this.self, decision.expectedVersion, decision.fencing, FLEET_LEASE_TIMING), this.handlers())
    if (result.kind === LeaseResultKind.Held) {
      this.held = result.term
      this.lapsedFencing = null
      const former = this.sighting.lease
      if (former !== null && !former.released && former.holder !== this.self.node) this.onLapsedHolder({ node: former.holder, incarnation: former.holderIncarnation })
      return this.log.write(LogKind.LeaseTaken, { fencing: result.term.fencing, version: result.term.version, formerHolder: this.sighting.lease?.holder ?? null })
    }
    if (result.observed !== null) this.observe(result.observed)
    this.failedChallenges = result.observed === null ? this.failedChallenges + 1 : 0
    this.notBeforeMs = this.clock.nowMs() + this.retryPauseMs() * (0.5 + this.random.next())
    this.nextReadAtMs = 0
  }

  /** Longer with each try that didn't reach the store, as far as the size of the fleet asks for it. */
  private retryPauseMs (): number {
    const { retryMs } = FLEET_LEASE_TIMING
    const limitMs = Math.max(retryMs, CHALLENGE_SPREAD_PER_NODE_MS * this.nodeCount())
    return Math.min(limitMs, retryMs * RETRY_GROWTH ** this.failedChallenges)
  }

  private async readLease (nowMs: number): Promise<void> {
    if (nowMs < this.nextReadAtMs) return
    this.nextReadAtMs = nowMs + READ_INTERVAL_MS
    const freshness = this.sighting.firstSeenAtMs === null ? ReadFreshness.Newest : ReadFreshness.MayBeStale
    const read = await this.store.get<LeaseObject>(leaseKey(FLEET_LEASE_NAME), freshness)
    if (read.ok) this.observe(read.value)
    else if (read.error.kind === StoreErrorKind.NotFound) this.setSighting(observeAbsence(this.sighting, this.clock.nowMs()))
  }

  private observe (stored: StoredObject<LeaseObject>): void {
    if (!stored.deleted && stored.body.fencing >= (this.latestLease?.body.fencing ?? 0)) this.latestLease = stored
    if (stored.deleted) return
    this.memory.restore((stored.body as StoredLease).memory ?? {})
    this.setSighting(observeLease(this.sighting, stored.version, stored.body, this.clock.nowMs()))
  }

  private setSighting (sighting: LeaseSighting): void {
    const wasKnown = this.isKnown
    this.sighting = sighting
    if (wasKnown || !this.isKnown) return
    for (const listener of this.knownListeners) listener()
  }

  private lose (reason: LeaseLoss): void {
    const term = this.held
    this.held = null
    if (term === null) return
    this.lapsedFencing = reason === LeaseLoss.Expired ? term.fencing : null
    this.sighting = raiseFencingFloor({ ...this.sighting, firstSeenAtMs: this.clock.nowMs() }, term.fencing)
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
