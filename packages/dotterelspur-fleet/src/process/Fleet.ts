import debug from 'debug'
import {
  AuditKind, DRAIN_PREFIX, LEASE_PREFIX, leaseKey, LeaseLoss, mergeTeardowns, type Decision, type ExplainInput, type FailureDomainId, type GroupId, type GroupPresence, type LeaseObject, type LeaseTerm, type MeshDocument, type Teardown, type VmId
} from 'dotterelspur'
import { assignmentDocuments, drainTargets } from '../version/FleetDocuments.js'
import { auditDecision } from './AuditRecords.js'
import { DecisionLog } from './DecisionLog.js'
import { DomainController } from './DomainController.js'
import type { FleetContext } from './FleetContext.js'
import type { FleetOptions } from './FleetOptions.js'
import { DEFAULT_FLEET_TIMING, type FleetTiming } from './FleetTiming.js'
import { IntentShares } from './IntentShares.js'
import { LeaseRegistry } from './LeaseRegistry.js'
import { OrderSender, type OrderCounts } from './OrderSender.js'
import { PauseDetector } from './PauseDetector.js'
import { Prober } from './Prober.js'
import { StepInController } from './StepInController.js'
import { VmListPoller } from './VmListPoller.js'
import { Watcher, type GroupEvidence } from './Watcher.js'

const log = debug('dotterelspur:fleet')

/** Counters of the fleet's loops, for metrics. */
export interface FleetCounts {
  readonly orders: OrderCounts
  readonly probesSent: number
  readonly pauses: number
  readonly leasesTaken: number
  readonly leasesLost: number
}

/** The watcher and the controllers of one node. */
export class Fleet {
  private readonly prober: Prober
  private readonly orders: OrderSender
  private readonly watcher: Watcher
  private readonly pauses: PauseDetector
  private readonly leaseRegistry: LeaseRegistry
  private readonly vmList: VmListPoller
  private readonly log = new DecisionLog()
  private readonly controllers = new Map<FailureDomainId, DomainController>()
  private readonly stepIns = new Map<FailureDomainId, StepInController>()
  private readonly context: FleetContext
  private teardown: Teardown = () => {}
  private leasesTaken = 0
  private leasesLost = 0

  constructor (private readonly options: FleetOptions) {
    const { clock, random, mesh } = options
    const timing: FleetTiming = { ...DEFAULT_FLEET_TIMING, ...options.timing }
    const onError = (error: unknown): void => { this.logError(error) }
    this.prober = new Prober(clock, random, options.engines, timing, (vm, hasChanged) => { this.handleObservation(vm, hasChanged) }, onError)
    this.orders = new OrderSender(clock, options.engines, timing, (status, askedAtMs) => { this.prober.recordStatus(status, askedAtMs) })
    this.watcher = new Watcher(options, timing, this.prober, onError)
    this.pauses = new PauseDetector(clock, timing.pauseThresholdMs, (durationMs) => { this.handlePause(durationMs) })
    this.leaseRegistry = new LeaseRegistry(options, timing, { taken: (term) => { this.handleLeaseTaken(term) }, lost: (failureDomain, loss) => { this.handleLeaseLost(failureDomain, loss) } }, onError)
    this.vmList = new VmListPoller(options, timing, () => [...this.controllers.keys()], () => { this.handleListingChange() }, onError)
    this.context = {
      options,
      timing,
      prober: this.prober,
      orders: this.orders,
      vmList: this.vmList,
      shares: new IntentShares(options, timing, { records: () => this.vmList.allVms(), presence: () => this.presence() }),
      presence: () => this.presence(),
      drained: () => drainTargets(mesh),
      record: (decisions) => { this.record(decisions) }
    }
  }

  start (): void {
    const { mesh, failureDomains } = this.options
    for (const failureDomain of failureDomains ?? []) this.leaseRegistry.addFailureDomain(failureDomain, null)
    this.pauses.start()
    this.prober.start()
    this.watcher.start()
    this.leaseRegistry.start()
    this.vmList.start()
    this.teardown = mergeTeardowns(
      mesh.registerDocumentListener(DRAIN_PREFIX, () => { this.triggerControllers() }),
      mesh.registerDocumentListener(LEASE_PREFIX, (document) => { this.handleLeaseDocument(document) })
    )
  }

  /**
   * Ends this node's work as a controller before a planned stop: makes no more decisions, waits for the orders in
   * progress, then releases its leases so that other nodes can take them at once. The watcher runs until `stop`.
   */
  async handOver (): Promise<void> {
    for (const controller of this.controllers.values()) controller.stop()
    for (const failureDomain of [...this.stepIns.keys()]) this.stopStepIn(failureDomain)
    await this.orders.settled()
    await this.leaseRegistry.releaseAll()
  }

  stop (): void {
    this.teardown()
    for (const controller of this.controllers.values()) controller.stop()
    this.controllers.clear()
    for (const failureDomain of [...this.stepIns.keys()]) this.stopStepIn(failureDomain)
    this.leaseRegistry.stop()
    this.vmList.stop()
    this.watcher.stop()
    this.prober.stop()
    this.pauses.stop()
  }

  /** The leases that this node holds. */
  leases (): readonly LeaseTerm[] {
    return this.leaseRegistry.held()
  }

  /** The most recent decisions of this node's controllers, newest last. */
  decisions (): readonly Decision[] {
    return this.log.all()
  }

  /** This node's latest evidence of the groups that it watches. */
  evidence (): readonly GroupEvidence[] {
    return this.watcher.evidence()
  }

  /**
   * This node's state, for explanations. Only the controller of a failure domain has its VMs and decisions; other nodes
   * explain from assignments and evidence.
   */
  explainInput (): ExplainInput {
    const { clock, mesh, settings } = this.options
    return {
      nowMs: clock.nowMs(),
      wallMs: clock.wallMs(),
      assignments: assignmentDocuments(mesh).map(({ body }) => body),
      vms: [...this.controllers.values()].flatMap((controller) => controller.health()),
      listedTwice: this.vmList.unused().map(({ record }) => record.vm),
      presence: mesh.groupPresence(),
      evidenceTtlMs: this.context.timing.evidenceTtlMs,
      decisions: this.log.all(),
      drained: [...drainTargets(mesh)],
      wanted: settings().flatMap(({ team, models }) => models.map(({ model, replicas, vmsPerReplica }) => ({ team, model, replicas, vmsPerReplica }))),
      unmet: this.context.shares.unmet(),
      storeContactAgeMs: mesh.storeContactAgeMs(),
      storeOutageMs: this.context.timing.lease.ttlMs
    }
  }

  counts (): FleetCounts {
    return { orders: this.orders.counts, probesSent: this.prober.probesSent, pauses: this.pauses.pauses, leasesTaken: this.leasesTaken, leasesLost: this.leasesLost }
  }

  /** Runs the controllers' next ticks at once, as after a change of settings. */
  triggerControllers (): void {
    for (const controller of this.controllers.values()) controller.trigger()
  }

  private handleObservation (vm: VmId, hasChanged: boolean): void {
    this.watcher.handleObservation(vm)
    if (hasChanged) this.triggerControllers()
  }

  private presence (): ReadonlyMap<GroupId, GroupPresence> {
    return new Map(this.options.mesh.groupPresence().map((presence) => [presence.group, presence]))
  }

  private handleLeaseTaken (term: LeaseTerm): void {
    this.leasesTaken += 1
    log('lease of %s taken, fencing %d', term.failureDomain, term.fencing)
    this.auditLease(AuditKind.LeaseTaken, term.failureDomain, `fencing ${term.fencing}`, 'the lease was free, or its holder did not renew it for its whole TTL')
    this.stopStepIn(term.failureDomain)
    const lease = this.leaseRegistry.controller(term.failureDomain)!
    const controller = new DomainController(term, lease, this.pauses, this.context, (error) => { this.logError(error) })
    this.controllers.get(term.failureDomain)?.stop()
    this.controllers.set(term.failureDomain, controller)
    controller.refresh()
    this.vmList.trigger()
  }

  private handleLeaseLost (failureDomain: FailureDomainId, loss: LeaseLoss): void {
    this.leasesLost += 1
    log('lease of %s ended: %s', failureDomain, loss)
    this.auditLease(AuditKind.LeaseReleased, failureDomain, null, loss)
    const controller = this.controllers.get(failureDomain)
    controller?.stop()
    this.controllers.delete(failureDomain)
    if (controller !== undefined && loss === LeaseLoss.Expired) this.startStepIn(controller)
  }

  private startStepIn (controller: DomainController): void {
    const { failureDomain, term } = controller
    const stepIn = new StepInController(failureDomain, { term, assignments: controller.assignments() }, this.context, (error) => { this.logError(error) })
    this.stepIns.set(failureDomain, stepIn)
    stepIn.start()
  }

  private stopStepIn (failureDomain: FailureDomainId): void {
    this.stepIns.get(failureDomain)?.stop()
    this.stepIns.delete(failureDomain)
  }

  /** Stops a step-in when another node holds the lease under a higher fencing number, since that node now controls the failure domain. */
  private handleLeaseDocument (document: MeshDocument): void {
    const lease = document.body as LeaseObject | null
    if (lease === null) return
    const { failureDomain, fencing } = lease
    if (fencing > (this.stepIns.get(failureDomain)?.fencing ?? Infinity)) this.stopStepIn(failureDomain)
  }

  private handleListingChange (): void {
    for (const [failureDomain, region] of this.vmList.failureDomains()) this.leaseRegistry.addFailureDomain(failureDomain, region)
    for (const controller of this.controllers.values()) {
      controller.refresh()
      controller.trigger()
    }
  }

  private handlePause (durationMs: number): void {
    log('process was paused for %d ms; leases are presumed lost', Math.round(durationMs))
    this.leaseRegistry.handlePause()
    for (const failureDomain of [...this.stepIns.keys()]) this.stopStepIn(failureDomain)
  }

  private record (decisions: readonly Decision[]): void {
    for (const decision of this.log.record(decisions)) {
      log('%s %s: %s', decision.kind, decision.group ?? decision.fabricDomain, decision.reason)
      const record = auditDecision(decision, this.options.mesh.self.node)
      if (record !== null) this.options.audit(record)
    }
  }

  private auditLease (kind: AuditKind, failureDomain: FailureDomainId, after: string | null, reason: string): void {
    const { clock, mesh, audit } = this.options
    audit({ kind, atWallMs: clock.wallMs(), actor: `node:${mesh.self.node}`, subject: leaseKey(failureDomain), before: null, after, reason, rejected: [] })
  }

  private logError (error: unknown): void {
    log('fleet step failed: %o', error)
  }
}

/** Creates the fleet of one node. It is idle until `start`. */
export function createFleet (options: FleetOptions): Fleet {
  return new Fleet(options)
}
