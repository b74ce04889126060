import {
  LEASE_PREFIX, NodeState, rankCandidates, type FailureDomainId, type LeaseTerm, type NodeMember, type RegionId, type Teardown
} from 'dotterelspur'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'
import { LeaseController, type LeaseListener } from './LeaseController.js'
import { Ticker } from './Ticker.js'

const STEP_INTERVAL_MS = 100

/** The lease controllers of one node, one for each known failure domain. */
export class LeaseRegistry {
  private readonly controllers = new Map<FailureDomainId, LeaseController>()
  private readonly regions = new Map<FailureDomainId, RegionId>()
  private readonly ranks = new Map<FailureDomainId, number>()
  private readonly ticker: Ticker
  private areRanksStale = true
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
      mesh.registerMembersListener(() => { this.areRanksStale = true }),
      mesh.registerDocumentListener(LEASE_PREFIX, (document) => { this.handleLeaseDocument(document) })
    ]
    this.ticker.start(0)
  }

  stop (): void {
    this.ticker.stop()
    for (const teardown of this.teardowns) teardown()
  }

  /** Registers a failure domain. Its region, once known, affects only the ranking of the candidates. */
  addFailureDomain (failureDomain: FailureDomainId, region: RegionId | null): void {
    if (region !== null && this.regions.get(failureDomain) !== region) {
      this.regions.set(failureDomain, region)
      this.areRanksStale = true
    }
    if (this.controllers.has(failureDomain)) return
    this.controllers.set(failureDomain, new LeaseController(failureDomain, this.options, this.timing, () => ++this.renewals, this.listener))
    this.areRanksStale = true
  }

  controller (failureDomain: FailureDomainId): LeaseController | undefined {
    return this.controllers.get(failureDomain)
  }

  failureDomains (): readonly FailureDomainId[] {
    return [...this.controllers.keys()]
  }

  held (): readonly LeaseTerm[] {
    return [...this.controllers.values()].flatMap((controller) => controller.term ?? [])
  }

  handlePause (): void {
    for (const controller of this.controllers.values()) controller.handlePause()
  }

  async releaseAll (): Promise<void> {
    this.ticker.stop()
    await Promise.all([...this.controllers.values()].map(async (controller) => await controller.release()))
  }

  private handleLeaseDocument (document: Parameters<LeaseController['observeDocument']>[0]): void {
    const failureDomain = document.key.slice(LEASE_PREFIX.length)
    this.addFailureDomain(failureDomain, null)
    this.controllers.get(failureDomain)!.observeDocument(document)
  }

  private step (): void {
    if (this.areRanksStale) this.updateRanks()
    for (const [failureDomain, controller] of this.controllers) {
      controller.step(this.ranks.get(failureDomain) ?? Infinity).catch(this.onError)
    }
  }

  private updateRanks (): void {
    this.areRanksStale = false
    const living = this.options.mesh.members().filter(isCandidate)
    for (const member of living) this.addFailureDomain(member.failureDomain, member.region)
    this.areRanksStale = false
    for (const failureDomain of this.controllers.keys()) {
      const order = rankCandidates(failureDomain, this.regions.get(failureDomain) ?? null, living)
      const rank = order.indexOf(this.options.mesh.self.node)
      this.ranks.set(failureDomain, rank < 0 ? Infinity : rank)
    }
  }
}

function isCandidate (member: NodeMember): boolean {
  return member.state === NodeState.Alive || member.state === NodeState.Suspect
}
