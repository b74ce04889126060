import {
  assignmentKey, checkAssignmentChange, deriveOrders, emptyPlanningMemory, invariant, planFabricDomain, runProcedure, takesNewWork, type AssignmentObject, type Decision,
  type EffectHandlers, type FabricDomainPlan, type GroupId, type ObservedVm, type PlanningMemory, type Result, type StoredObject, type VmHealth, type VmId
} from 'dotterelspur'
import {
  adoptAssignment, AssignmentEffectKind, writeAssignment, WriteFault, type AssignmentEffect, type AssignmentPlace, type WriteFailure
} from '../version/AssignmentProcedures.js'
import { vmsAssignedElsewhere } from '../version/FleetDocuments.js'
import { isGroupComplete, deriveHealth } from '../version/VmHealthView.js'
import type { FleetContext } from './FleetContext.js'
import { DepartureTracker } from './DepartureTracker.js'
import type { OrderAuthority } from './OrderSender.js'
import type { ProbeTarget } from './Prober.js'
import { StrayDetector } from './StrayDetector.js'

/** The authority that a failure domain's controller delegates to the controller of one fabric domain. */
export interface FabricAuthority extends OrderAuthority {
  /** Whether the lease allows writes and orders at this instant. */
  mayDecide (): boolean
}

/**
 * Controls one fabric domain under a held lease. Each tick compares the intents, the assignment, the VM list and the
 * evidence, writes the assignment when it has to change, and sends the orders that follow from the written assignment.
 */
export class FabricController {
  private adopted: StoredObject<AssignmentObject> | null = null
  private memory: PlanningMemory = emptyPlanningMemory
  private readonly strayDetector = new StrayDetector()
  private readonly departures = new DepartureTracker()
  private lastFailure: WriteFailure | null = null
  private latestHealth: readonly VmHealth[] = []

  constructor (readonly place: AssignmentPlace, private readonly context: FleetContext, private readonly authority: FabricAuthority) {}

  get assignment (): AssignmentObject | null {
    return this.adopted?.body ?? null
  }

  /** The health of this fabric domain's VMs as of the last tick. */
  get health (): readonly VmHealth[] {
    return this.latestHealth
  }

  /** Why the last write failed; null when it succeeded. */
  get writeFailure (): WriteFailure | null {
    return this.lastFailure
  }

  stop (): void {
    this.context.prober.setTargets(this.requester, [])
  }

  async tick (): Promise<void> {
    if (!this.authority.mayDecide()) return
    this.discardOutdated()
    if (this.adopted === null && !await this.adopt()) return
    const health = this.latestHealth = this.deriveHealth()
    this.setTargets(health)
    await this.decide(health)
    if (this.adopted !== null) this.sendOrders(this.adopted.body, health)
  }

  private get requester (): string {
    return `controller/${this.place.fabricDomain}`
  }

  /** Discards the adopted assignment when the mesh has a later version: another writer has changed it, so it has to be read again. */
  private discardOutdated (): void {
    const document = this.context.options.mesh.document(assignmentKey(this.place.fabricDomain))
    if (this.adopted !== null && document !== undefined && document.version > this.adopted.version) this.adopted = null
  }

  private async adopt (): Promise<boolean> {
    const result = await runProcedure(adoptAssignment(this.place, this.authority.fencing), this.handlers())
    this.applyWriteResult(result)
    return result.ok
  }

  private async decide (vms: readonly VmHealth[]): Promise<void> {
    const { clock } = this.context.options
    const adopted = this.adopted!
    const plan = planFabricDomain({
      ...this.place,
      nowMs: clock.nowMs(),
      wallMs: clock.wallMs(),
      assignment: adopted.body,
      vms,
      drainedGroups: adopted.body.groups.map((group) => group.group).filter((group) => this.context.drained().has(group)),
      intents: this.context.shares.intents(this.place.fabricDomain),
      loadBudget: this.context.shares.loadBudget(this.place.fabricDomain),
      settings: this.context.timing.planning,
      memory: this.memory
    })
    if (plan.changed) await this.write(adopted, plan)
    else this.acceptPlan(plan.memory, plan.decisions)
  }

  private async write (before: StoredObject<AssignmentObject>, plan: FabricDomainPlan): Promise<void> {
    const { groups, highestFormation, rollouts } = plan
    const next: AssignmentObject = { ...before.body, groups, highestFormation, rollouts, fencing: this.authority.fencing }
    const problems = checkAssignmentChange(before.body, next)
    invariant(problems.length === 0, `assignment of ${this.place.fabricDomain}: ${JSON.stringify(problems)}`)
    const result = await runProcedure(writeAssignment(next, before.version, this.authority.fencing), this.handlers())
    this.applyWriteResult(result)
    if (!result.ok) return
    this.acceptPlan(plan.memory, plan.decisions)
  }

  private acceptPlan (memory: PlanningMemory, decisions: readonly Decision[]): void {
    this.memory = memory
    this.context.record(decisions)
  }

  /** Discards the adopted assignment after a write that was refused or has an unknown outcome, and keeps it after one that certainly failed. */
  private applyWriteResult (result: Result<StoredObject<AssignmentObject>, WriteFailure>): void {
    this.lastFailure = result.ok ? null : result.error
    if (result.ok) {
      this.adopted = result.value
      const { key, version, body } = result.value
      this.context.options.mesh.offerDocument({ key, version, body, deleted: false })
      this.context.options.mesh.noteStoreContact()
      return
    }
    const { fault, fencing } = result.error
    if (fault === WriteFault.Fenced) this.authority.observeFencing(fencing)
    if (fault === WriteFault.Outdated || fault === WriteFault.Unknown || fault === WriteFault.Fenced) this.adopted = null
  }

  private sendOrders (assignment: AssignmentObject, health: readonly VmHealth[]): void {
    const observed = this.observedVms()
    this.context.record(this.strayDetector.check(assignment, observed, this.context.options.clock.wallMs()))
    const due = deriveOrders(assignment, observed)
    const known = new Set(health.map((vm) => vm.vm))
    for (const order of due) {
      if (known.has(order.vm)) this.context.orders.send(order, this.authority)
    }
  }

  /** The unexpired statuses of this fabric domain's VMs, each reported by the VM that was probed and not by another at its address. */
  private observedVms (): ReadonlyMap<VmId, ObservedVm> {
    const { prober, options: { clock }, timing } = this.context
    const observed = new Map<VmId, ObservedVm>()
    for (const { vm, address } of prober.targetsOf(this.requester)) {
      const observation = prober.observations.get(vm)
      if (observation === undefined || observation.absentSinceMs !== null || observation.evidence === null) continue
      const { status, askedAtMs } = observation.evidence
      if (status.vm === vm && clock.nowMs() - askedAtMs < Math.max(timing.evidenceTtlMs, 2 * timing.idleProbeIntervalMs)) observed.set(vm, { address, status })
    }
    return observed
  }

  private deriveHealth (): readonly VmHealth[] {
    const { prober, options, timing, vmList } = this.context
    this.departures.update(this.adopted!.body, prober.observations)
    return deriveHealth({
      nowMs: options.clock.nowMs(),
      evidenceTtlMs: Math.max(timing.evidenceTtlMs, timing.idleProbeIntervalMs + timing.probeTimeoutMs),
      fabricDomain: this.place.fabricDomain,
      assignment: this.adopted!.body,
      records: vmList.fabricDomain(this.place.fabricDomain),
      observations: prober.observations,
      firstProbedAtMs: (vm) => prober.firstProbedAtMs(vm),
      presence: this.context.presence(),
      drained: this.context.drained(),
      hasReportedLeaving: (vm, incarnation) => this.departures.isLeaving(vm, incarnation),
      straggling: (vm) => prober.isStraggling(vm),
      assignedElsewhere: vmsAssignedElsewhere(options.mesh, this.place.fabricDomain),
      isListedElsewhere: (vm) => (vmList.record(vm)?.fabricDomain ?? this.place.fabricDomain) !== this.place.fabricDomain
    })
  }

  /** Members of complete groups are left to their watchers, and this controller probes them only at the long interval. */
  private setTargets (health: readonly VmHealth[]): void {
    const { prober, timing } = this.context
    const complete = this.completeGroups(this.adopted!.body)
    const quiet = new Set<VmId>()
    const members = new Set<VmId>()
    for (const group of this.adopted!.body.groups) {
      const isSteady = complete.has(group.group) && takesNewWork(group.state) && group.preload === undefined
      for (const member of group.members) (isSteady ? quiet : members).add(member.vm)
    }
    const targets = health.map(({ vm, address }): ProbeTarget => {
      if (quiet.has(vm)) return { vm, address, intervalMs: timing.quietProbeIntervalMs }
      return { vm, address, intervalMs: members.has(vm) ? timing.probeIntervalMs : timing.idleProbeIntervalMs }
    })
    prober.setTargets(this.requester, targets)
  }

  private completeGroups (assignment: AssignmentObject): ReadonlySet<GroupId> {
    const presence = this.context.presence()
    return new Set(assignment.groups.filter((group) => isGroupComplete(group, presence, this.context.timing.evidenceTtlMs)).map((group) => group.group))
  }

  private handlers (): EffectHandlers<AssignmentEffect> {
    const { store } = this.context.options
    return {
      [AssignmentEffectKind.MayWrite]: () => this.authority.mayDecide(),
      [AssignmentEffectKind.Read]: async ({ key }) => await store.get<AssignmentObject>(key),
      [AssignmentEffectKind.Write]: async ({ key, body, expectedVersion }) => expectedVersion === 0 ? await store.create(key, body) : await store.update(key, body, expectedVersion)
    }
  }
}
