import {
  type AssignmentObject, type FabricDomainId, type FailureDomainId, type LeaseTerm, type RegionId, type VmHealth, type VmId
} from 'dotterelspur'
import { assignmentDocuments } from '../version/FleetDocuments.js'
import { isEngine } from './CleanListing.js'
import { FabricController, type FabricAuthority } from './FabricController.js'
import type { FleetContext } from './FleetContext.js'
import type { LeaseController } from './LeaseController.js'
import type { PauseDetector } from './PauseDetector.js'
import { Ticker } from './Ticker.js'

interface RunningController {
  readonly controller: FabricController
  readonly ticker: Ticker
}

/** Controls one failure domain during one term of its lease, with one control loop for each of its fabric domains. */
export class DomainController {
  readonly failureDomain: FailureDomainId
  private readonly fabrics = new Map<FabricDomainId, RunningController>()
  private readonly authority: FabricAuthority
  private readonly takenAtMs: number
  private stopped = false

  constructor (
    readonly term: LeaseTerm, private readonly lease: LeaseController, private readonly pauses: PauseDetector, private readonly context: FleetContext,
    private readonly onError: (error: unknown) => void
  ) {
    this.failureDomain = term.failureDomain
    this.takenAtMs = context.options.clock.nowMs()
    const mayDecide = (): boolean => this.mayDecide(term)
    this.authority = {
      fencing: term.fencing,
      mayDecide,
      mayOrder: (vm) => mayDecide() && this.haveEarlierOrdersExpired(vm),
      observeFencing: (fencing) => { lease.observeFencing(fencing) }
    }
  }

  /** The assignments that this term has adopted. */
  assignments (): readonly AssignmentObject[] {
    return [...this.fabrics.values()].flatMap(({ controller }) => controller.assignment ?? [])
  }

  /** The health of the VMs in this failure domain's fabric domains as of their last ticks. */
  health (): readonly VmHealth[] {
    return [...this.fabrics.values()].flatMap(({ controller }) => controller.health)
  }

  /** Starts loops for new fabric domains in the VM list or the assignments. Stops none, since the list lags behind. */
  refresh (): void {
    if (this.stopped) return
    for (const [fabricDomain, region] of this.knownFabricDomains()) this.startController(fabricDomain, region)
  }

  trigger (): void {
    for (const { ticker } of this.fabrics.values()) ticker.trigger()
  }

  stop (): void {
    this.stopped = true
    for (const { ticker, controller } of this.fabrics.values()) {
      ticker.stop()
      controller.stop()
    }
  }

  private mayDecide (term: LeaseTerm): boolean {
    this.pauses.sample()
    return !this.stopped && this.lease.term?.fencing === term.fencing && this.lease.mayOrder()
  }

  /**
   * Whether orders of the previous lease holder can no longer reach the VM. An engine that doesn't check fencing numbers
   * would obey such an order while it is still in flight. It times out at the latest one order timeout after its sender
   * had to stop, so this term's first order to such an engine waits for as long.
   */
  private haveEarlierOrdersExpired (vm: VmId): boolean {
    const { options, timing, vmList } = this.context
    const fabricDomain = vmList.record(vm)?.fabricDomain ?? ''
    const checks = options.checksFencing?.({ vm, fabricDomain, failureDomain: this.failureDomain }) ?? true
    return checks || options.clock.nowMs() - this.takenAtMs >= timing.orderTimeoutMs
  }

  private startController (fabricDomain: FabricDomainId, region: RegionId): void {
    if (this.fabrics.has(fabricDomain)) return
    const { clock, random } = this.context.options
    const controller = new FabricController({ region, failureDomain: this.failureDomain, fabricDomain }, this.context, this.authority)
    const ticker = new Ticker(clock, random, this.context.timing.controllerIntervalMs, async () => { await controller.tick() }, this.onError)
    this.fabrics.set(fabricDomain, { controller, ticker })
    ticker.start(0)
  }

  private knownFabricDomains (): ReadonlyMap<FabricDomainId, RegionId> {
    const listed = this.context.vmList.allVms()
      .filter((record) => isEngine(record) && record.failureDomain === this.failureDomain)
      .map((record) => [record.fabricDomain, record.region] as const)
    const assigned = assignmentDocuments(this.context.options.mesh)
      .filter(({ body }) => body.failureDomain === this.failureDomain)
      .map(({ body }) => [body.fabricDomain, body.region] as const)
    return new Map([...assigned, ...listed])
  }
}
