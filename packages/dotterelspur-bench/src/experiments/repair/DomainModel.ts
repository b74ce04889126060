import { DEFAULT_EVIDENCE_TTL_MS, DEFAULT_PLANNING_SETTINGS, GroupState, deriveStepIn, emptyPlanningMemory, groupAtStepIn } from 'dotterelspur'
import type { AssignedGroup, AssignmentObject, CostWeights, FabricDomainInput, FabricDomainPlan, LoadBudget, PlanningMemory } from 'dotterelspur'
import type { Scenario } from './Scenario.js'
import { VmModel } from './VmModel.js'
import { WeightStoreModel } from './WeightStoreModel.js'

const FABRIC_DOMAIN = 'fd'

export type PlanFabricDomain = (input: FabricDomainInput) => FabricDomainPlan

export interface DomainOptions {
  readonly scenario: Scenario
  readonly weights: CostWeights
  readonly plan: PlanFabricDomain
  /** Standbys that were agreed in advance step in while the store is out. */
  readonly stepsIn: boolean
  readonly loadBudget: LoadBudget
}

/** What a span of time without a change was like. A group with a straggler counts as serving in part. */
export interface DomainState {
  readonly up: number
  readonly serving: number
}

const STRAGGLING_PART = 0.5

/** One fabric domain: its VMs as they are, its assignment as written, and the planner that changes it. */
export class DomainModel {
  readonly vms: readonly VmModel[]
  readonly store: WeightStoreModel
  formations = 0
  moves = 0
  storeOutUntilMs = 0
  private assignment: AssignmentObject
  private memory: PlanningMemory = emptyPlanningMemory
  private readonly steppedIn = new Map<string, AssignedGroup>()

  constructor (private readonly options: DomainOptions) {
    const { scenario, loadBudget } = options
    this.store = new WeightStoreModel(loadBudget.loadsPerMinute, loadBudget.burst, DEFAULT_PLANNING_SETTINGS.loadMs)
    this.vms = Array.from({ length: scenario.vmsPerFabricDomain }, (_, index) =>
      new VmModel(`vm-${String(index).padStart(2, '0')}`, FABRIC_DOMAIN, DEFAULT_PLANNING_SETTINGS.joinMs, this.store))
    this.assignment = { writeToken: '', fabricDomain: FABRIC_DOMAIN, failureDomain: 'f', region: 'r', fencing: 1, groups: [], highestFormation: 0, rollouts: [] }
  }

  /** One tick of the controller. Returns whether anything is unsettled, so that the next tick comes soon. */
  tick (nowMs: number): boolean {
    const plan = this.options.plan(this.input(nowMs))
    const storeOut = nowMs < this.storeOutUntilMs
    if (!storeOut || !plan.changed) this.memory = plan.memory
    else this.memory = plan.observed
    if (plan.changed && !storeOut) this.write(plan)
    if (storeOut && this.options.stepsIn) this.stepIn(nowMs)
    this.order(nowMs)
    return plan.changed || this.currentGroups().some((group) => group.state !== GroupState.Serving)
  }

  state (nowMs: number): DomainState {
    const up = this.vms.filter((vm) => vm.isUp(nowMs)).length
    const serving = this.currentGroups().reduce((sum, group) => sum + this.servingPart(group, nowMs), 0)
    return { up, serving }
  }

  private servingPart (group: AssignedGroup, nowMs: number): number {
    if (!this.serves(group, nowMs)) return 0
    return group.members.some((member) => this.find(member.vm).straggling) ? STRAGGLING_PART : 1
  }

  private serves (group: AssignedGroup, nowMs: number): boolean {
    if (group.state === GroupState.Broken || group.state === GroupState.Draining) return false
    return group.members.every((member) => {
      const vm = this.find(member.vm)
      return vm.incarnation === member.incarnation && vm.isReadyAt(group, nowMs)
    })
  }

  private currentGroups (): readonly AssignedGroup[] {
    return this.assignment.groups.map((group) => this.steppedIn.get(group.group) ?? group)
  }

  private find (vm: string): VmModel {
    return this.vms[Number(vm.slice('vm-'.length))]!
  }

  private input (nowMs: number): FabricDomainInput {
    const { scenario, weights, loadBudget } = this.options
    return {
      nowMs,
      wallMs: nowMs,
      region: 'r',
      failureDomain: 'f',
      fabricDomain: FABRIC_DOMAIN,
      assignment: this.assignment,
      vms: this.vms.map((vm) => vm.health(nowMs, DEFAULT_EVIDENCE_TTL_MS)),
      drainedGroups: [],
      intents: [{
        team: 'team',
        priority: 50,
        weights,
        model: 'model',
        revision: { version: 'v1', adapters: [] },
        vmsPerReplica: scenario.vmsPerGroup,
        replicas: scenario.replicas,
        standbys: scenario.standbys,
        changing: []
      }],
      loadBudget,
      settings: DEFAULT_PLANNING_SETTINGS,
      memory: this.memory
    }
  }

  private write (plan: FabricDomainPlan): void {
    this.countChanges(plan.groups)
    this.steppedIn.clear()
    this.assignment = { ...this.assignment, groups: plan.groups, highestFormation: plan.highestFormation }
  }

  private countChanges (groups: readonly AssignedGroup[]): void {
    const before = new Map(this.currentGroups().map((group) => [group.group, group]))
    for (const group of groups) {
      const known = before.get(group.group)
      if (known?.formation === group.formation) continue
      const kept = new Set(known?.members.map((member) => member.vm))
      this.formations += 1
      this.moves += group.members.filter((member) => !kept.has(member.vm)).length
    }
  }

  /** What the members do by themselves, by the rule that the assignment agreed on before the outage. */
  private stepIn (nowMs: number): void {
    for (const group of this.assignment.groups) {
      const lost = group.members.filter((member) => this.isLost(member.vm, member.incarnation, nowMs)).map((member) => member.vm)
      const derived = deriveStepIn(group, lost)
      if (derived === null || this.steppedIn.get(group.group)?.formation === derived.formation) continue
      this.steppedIn.set(group.group, groupAtStepIn(group, derived))
      this.formations += 1
      this.moves += lost.length
    }
  }

  private isLost (name: string, incarnation: number, nowMs: number): boolean {
    const vm = this.find(name)
    const silentForMs = vm.isUp(nowMs) ? 0 : nowMs - vm.downSinceMs
    return vm.incarnation !== incarnation || silentForMs >= DEFAULT_EVIDENCE_TTL_MS + DEFAULT_PLANNING_SETTINGS.absenceGraceMs
  }

  private order (nowMs: number): void {
    const placed = new Set<string>()
    for (const group of this.currentGroups()) {
      for (const member of group.members) placed.add(member.vm)
      if (group.state !== GroupState.Broken && group.state !== GroupState.Draining) this.orderGroup(group, nowMs)
      for (const standby of group.standbys) {
        const vm = this.find(standby.vm)
        if (vm.isUp(nowMs) && vm.incarnation === standby.incarnation) vm.load(nowMs)
      }
    }
    for (const vm of this.vms) {
      if (!placed.has(vm.vm)) vm.release()
    }
  }

  private orderGroup (group: AssignedGroup, nowMs: number): void {
    for (const member of group.members) {
      const vm = this.find(member.vm)
      if (vm.isUp(nowMs) && vm.incarnation === member.incarnation) vm.join(group, nowMs)
    }
  }
}
