import {
  LEASE_PREFIX, NodeState, rankCandidates, type FailureDomainId, type LeaseTerm, type NodeMember, type RegionId, type Teardown
} from 'dotterelspur'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'
import { LeaseKeeper, type LeaseListener } from './LeaseKeeper.js'
import { Ticker } from './Ticker.js'

const STEP_INTERVAL_MS = 100

/** All leases as one node sees them: one keeper for each known failure domain. */
export class LeaseBoard {
  private readonly keepers = new Map<FailureDomainId, LeaseKeeper>()
  private readonly regions = new Map<FailureDomainId, RegionId>()
  private readonly ranks = new Map<FailureDomainId, number>()
  private readonly ticker: Ticker
  private ranksStale = true
  private renewals = 0
  private teardowns: readonly Teardown[] = []

  constructor (
    private readonly options: FleetOptions, private readonly timing: FleetTiming, private readonly listener: LeaseListener, private readonly onError: (error: unknown) => void
  ) {
    this.ticker = new Ticker(options.clock, options.random, STEP_INTERVAL_MS, () => { this.step() }, onError)
  }

  start (): void {
    const { mesh } = this.options
    this.teardowns = [
      mesh.registerMembersListener(() => { this.ranksStale = true }),
      mesh.registerDocumentListener(LEASE_PREFIX, (document) => { this.noteLease(document) })
    ]
    this.ticker.start(0)
  }

  stop (): void {
    this.ticker.stop()
    for (const teardown of this.teardowns) teardown()
  }

  /** Makes a failure domain known; its region, once known, only orders the candidates. */
  addFailureDomain (failureDomain: FailureDomainId, region: RegionId | null): void {
    if (region !== null && this.regions.get(failureDomain) !== region) {
      this.regions.set(failureDomain, region)
      this.ranksStale = true
    }
    if (this.keepers.has(failureDomain)) return
    this.keepers.set(failureDomain, new LeaseKeeper(failureDomain, this.options, this.timing, () => ++this.renewals, this.listener))
    this.ranksStale = true
  }

  keeper (failureDomain: FailureDomainId): LeaseKeeper | undefined {
    return this.keepers.get(failureDomain)
  }

  failureDomains (): readonly FailureDomainId[] {
    return [...this.keepers.keys()]
  }

  held (): readonly LeaseTerm[] {
    return [...this.keepers.values()].flatMap((keeper) => keeper.term ?? [])
  }

  notePause (): void {
    for (const keeper of this.keepers.values()) keeper.notePause()
  }

  async releaseAll (): Promise<void> {
    this.ticker.stop()
    await Promise.all([...this.keepers.values()].map(async (keeper) => await keeper.release()))
  }

  private noteLease (document: Parameters<LeaseKeeper['noteDocument']>[0]): void {
    const failureDomain = document.key.slice(LEASE_PREFIX.length)
    this.addFailureDomain(failureDomain, null)
    this.keepers.get(failureDomain)!.noteDocument(document)
  }

  private step (): void {
    if (this.ranksStale) this.rerank()
    for (const [failureDomain, keeper] of this.keepers) {
      keeper.step(this.ranks.get(failureDomain) ?? Infinity).catch(this.onError)
    }
  }

  private rerank (): void {
    this.ranksStale = false
    const living = this.options.mesh.members().filter(isCandidate)
    for (const member of living) this.addFailureDomain(member.failureDomain, member.region)
    this.ranksStale = false
    for (const failureDomain of this.keepers.keys()) {
      const order = rankCandidates(failureDomain, this.regions.get(failureDomain) ?? null, living)
      const place = order.indexOf(this.options.mesh.self.node)
      this.ranks.set(failureDomain, place < 0 ? Infinity : place)
    }
  }
}

function isCandidate (member: NodeMember): boolean {
  return member.state === NodeState.Alive || member.state === NodeState.Suspect
}
