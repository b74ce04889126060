import { EngineState, GroupState, VmPresence, DEFAULT_PLANNING_SETTINGS, emptyPlanningMemory, planFabricDomain } from '../../index.js'
import type { AssignmentObject, FabricDomainInput, FabricDomainPlan, PlannedIntent, PlanningMemory, VmHealth, VmId, VmStatus } from '../../index.js'

export const START_WALL_MS = 1_700_000_000_000
const LOAD = { running: 0, waiting: 0, capacity: 8, cacheUsed: 0, ageMs: 0 }

export function createIntent (change: Partial<PlannedIntent> = {}): PlannedIntent {
  return {
    team: 'tradeline',
    priority: 50,
    weights: { groupDowntime: 3, strandedAccelerators: 1 },
    model: 'logbook',
    revision: { version: 'v1', adapters: [] },
    vmsPerReplica: 2,
    replicas: 1,
    standbys: 0,
    changing: [],
    ...change
  }
}

/** A simulated VM, which carries out assignments at once and can die, restart, leave and straggle. */
export interface SimulatedVm {
  readonly vm: VmId
  incarnation: number
  present: boolean
  listed: boolean
  leaving: boolean
  drained: boolean
  straggling: boolean
  absentSinceMs: number | null
  status: VmStatus
}

/** A simulated fabric domain. Each `tick` runs the planner, stores the new assignment and lets the VMs carry it out. */
export class SimulatedFabricDomain {
  nowMs = 1_000
  assignment: AssignmentObject | null = null
  memory: PlanningMemory = emptyPlanningMemory
  intents: readonly PlannedIntent[]
  settings = DEFAULT_PLANNING_SETTINGS
  drainedGroups: readonly string[] = []
  loadBudget = { loadsPerMinute: 60, burst: 32 }
  /** When false, VMs do not carry out the assignment, as if they were still loading. */
  followsAssignment = true
  readonly vms = new Map<VmId, SimulatedVm>()

  constructor (vmCount: number, intents: readonly PlannedIntent[] = [createIntent()]) {
    this.intents = intents
    for (let index = 0; index < vmCount; index++) this.addVm(`vm-${String(index).padStart(2, '0')}`)
  }

  addVm (vm: VmId): void {
    this.vms.set(vm, { vm, incarnation: 1, present: true, listed: true, leaving: false, drained: false, straggling: false, absentSinceMs: null, status: idleStatus(vm, 1) })
  }

  input (): FabricDomainInput {
    return {
      nowMs: this.nowMs,
      wallMs: START_WALL_MS + this.nowMs,
      region: 'perth',
      failureDomain: 'perth-1',
      fabricDomain: 'perth-1-a',
      assignment: this.assignment,
      vms: [...this.vms.values()].filter((vm) => vm.listed).map(toHealth),
      drainedGroups: this.drainedGroups,
      intents: this.intents,
      loadBudget: this.loadBudget,
      settings: this.settings,
      memory: this.memory
    }
  }

  tick (stepMs = 1_000): FabricDomainPlan {
    const plan = planFabricDomain(this.input())
    this.memory = plan.memory
    this.assignment = {
      writeToken: 'token',
      fabricDomain: 'perth-1-a',
      failureDomain: 'perth-1',
      region: 'perth',
      fencing: 1,
      groups: plan.groups,
      highestFormation: plan.highestFormation,
      rollouts: plan.rollouts
    }
    if (this.followsAssignment) this.applyAssignment()
    this.nowMs += stepMs
    return plan
  }

  /** Ticks until the assignment has not changed for `quietTicks` ticks; throws after `limit` ticks. */
  tickUntilStable (limit = 200, quietTicks = 5): void {
    let quiet = 0
    for (let count = 0; count < limit; count++) {
      quiet = this.tick().changed ? 0 : quiet + 1
      if (quiet >= quietTicks) return
    }
    throw new Error(`the assignment still changed after ${limit} ticks`)
  }

  kill (vm: VmId): void {
    const found = this.vms.get(vm)!
    found.present = false
    found.absentSinceMs = this.nowMs
  }

  /** Makes an absent VM present again in the same incarnation. */
  reconnect (vm: VmId): void {
    const found = this.vms.get(vm)!
    found.present = true
    found.absentSinceMs = null
  }

  restart (vm: VmId): void {
    const found = this.vms.get(vm)!
    found.incarnation += 1
    found.status = idleStatus(vm, found.incarnation)
    this.reconnect(vm)
  }

  serving (): number {
    return (this.assignment?.groups ?? []).filter((group) => group.state === GroupState.Serving).length
  }

  /** Lets all VMs carry out the assignment at once. */
  applyAssignment (): void {
    for (const vm of this.vms.values()) this.applyAssignmentTo(vm)
  }

  private applyAssignmentTo (vm: SimulatedVm): void {
    if (!vm.present) return
    const group = this.assignment!.groups.find((one) => [...one.members, ...one.standbys].some((place) => place.vm === vm.vm && place.incarnation === vm.incarnation))
    const joined = group?.members.some((member) => member.vm === vm.vm) === true
    if (group !== undefined && joined && group.state !== GroupState.Forming && group.state !== GroupState.Serving) return
    const held = group === undefined ? {} : { model: group.model, version: group.version, adapters: group.adapters }
    vm.status = {
      ...vm.status,
      ...held,
      state: joined ? EngineState.Ready : EngineState.Idle,
      group: joined ? group!.group : null,
      formation: joined ? group!.formation : vm.status.formation
    }
  }
}

function idleStatus (vm: VmId, incarnation: number): VmStatus {
  return { vm, incarnation, state: EngineState.Idle, group: null, formation: 0, model: null, version: null, adapters: [], fencing: 0, load: LOAD }
}

function toHealth (vm: SimulatedVm): VmHealth {
  return {
    vm: vm.vm,
    incarnation: vm.incarnation,
    address: `http://${vm.vm}`,
    fabricDomain: 'perth-1-a',
    presence: vm.present ? VmPresence.Present : VmPresence.Absent,
    absentSinceMs: vm.absentSinceMs,
    status: vm.present ? vm.status : null,
    leaving: vm.leaving,
    drained: vm.drained,
    straggling: vm.straggling
  }
}
