import type { GroupId, VmId } from '../../process/ids.js'
import { invariant } from '../../process/invariant.js'
import type { AssignedGroup, AssignedMember, ModelRevision } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import type { Decision, DecisionKind, RejectedOption } from './Decision.js'
import type { FabricDomainInput, PlannedIntent } from './PlanningInput.js'
import type { GroupMemory, PlanningMemory, PreloadMemory, VmMemory } from './PlanningMemory.js'
import { EMPTY_GROUP_MEMORY } from './PlanningMemory.js'
import type { VmView } from './VmTable.js'
import { compareText, viewVms } from './VmTable.js'

const MINUTE_MS = 60_000

/** The parts of a decision that a planning step provides; `PendingPlan` adds the rest. */
export interface DecisionDraft {
  readonly kind: DecisionKind
  readonly group: GroupId | null
  readonly vms: readonly VmId[]
  readonly reason: string
  readonly score?: number
  readonly rejected?: readonly RejectedOption[]
}

/**
 * Working copy of a fabric domain's assignment, which the steps of one planner tick change in turn. `commit` returns the
 * result.
 */
export class PendingPlan {
  readonly views: ReadonlyMap<VmId, VmView>
  readonly decisions: Decision[] = []
  highestFormation: number
  loadTokens: number
  formationsLeft: number
  private readonly groups = new Map<GroupId, AssignedGroup>()
  private readonly groupMemories = new Map<GroupId, GroupMemory>()
  private readonly groupByVm = new Map<VmId, GroupId>()
  private readonly preloads = new Map<VmId, PreloadMemory>()

  constructor (readonly input: FabricDomainInput, readonly memory: PlanningMemory) {
    this.views = viewVms(input, memory)
    this.loadTokens = memory.loadTokens
    this.formationsLeft = input.settings.formationsPerTick
    this.highestFormation = highestKnownFormation(input)
    for (const group of input.assignment?.groups ?? []) this.setGroup(group)
    for (const [group, kept] of memory.groups) this.groupMemories.set(group, kept)
  }

  allGroups (): readonly AssignedGroup[] {
    return [...this.groups.values()]
  }

  group (id: GroupId): AssignedGroup | undefined {
    return this.groups.get(id)
  }

  groupMemory (id: GroupId): GroupMemory {
    return this.groupMemories.get(id) ?? EMPTY_GROUP_MEMORY
  }

  updateGroupMemory (id: GroupId, change: Partial<GroupMemory>): void {
    this.groupMemories.set(id, { ...this.groupMemory(id), ...change })
  }

  /** The group of which the VM is a member or standby. */
  placeOf (vm: VmId): GroupId | undefined {
    return this.groupByVm.get(vm)
  }

  groupOfVm (vm: VmId): AssignedGroup | undefined {
    const id = this.groupByVm.get(vm)
    return id === undefined ? undefined : this.groups.get(id)
  }

  groupsOf (intent: PlannedIntent): readonly AssignedGroup[] {
    return this.allGroups().filter((group) => group.team === intent.team && group.model === intent.model)
  }

  intentOf (group: AssignedGroup): PlannedIntent | undefined {
    return this.input.intents.find((intent) => intent.team === group.team && intent.model === group.model)
  }

  /** Adds or replaces a group. None of its VMs may be a member or standby of another group. */
  setGroup (group: AssignedGroup): void {
    this.removeGroup(group.group)
    for (const { vm } of [...group.members, ...group.standbys]) {
      invariant(!this.groupByVm.has(vm), `VM ${vm} would be assigned twice, the second time to ${group.group}`)
      this.groupByVm.set(vm, group.group)
    }
    this.groups.set(group.group, group)
  }

  removeGroup (id: GroupId): void {
    const removed = this.groups.get(id)
    if (removed === undefined) return
    for (const { vm } of [...removed.members, ...removed.standbys]) this.groupByVm.delete(vm)
    this.groups.delete(id)
  }

  /** Records that a VM is ordered to load weights, and takes the load from the budget. */
  startLoad (vm: VmId, key: string): void {
    this.preloads.set(vm, { key, sinceMs: this.input.nowMs })
    this.loadTokens -= 1
  }

  /** Whether the load budget permits `loads` more. A full budget permits any number; otherwise a group that needs more loads than the burst could never start. */
  mayLoad (loads: number): boolean {
    return loads === 0 || this.loadTokens >= Math.min(loads, this.input.loadBudget.burst)
  }

  /** Time until the budget permits `loads` more. */
  loadDelayMs (loads: number): number {
    if (this.mayLoad(loads)) return 0
    const { loadsPerMinute, burst } = this.input.loadBudget
    const missing = Math.min(loads, burst) - this.loadTokens
    return loadsPerMinute > 0 ? missing * MINUTE_MS / loadsPerMinute : Infinity
  }

  /** Removes a VM from the standbys of its group, if it is one. */
  releaseStandby (vm: VmId): void {
    const group = this.groupOfVm(vm)
    if (group === undefined || group.members.some((member) => member.vm === vm)) return
    this.setGroup({ ...group, standbys: group.standbys.filter((standby) => standby.vm !== vm) })
  }

  nextFormation (): number {
    this.highestFormation += 1
    return this.highestFormation
  }

  /** Reserves formation numbers and returns the first of them. */
  reserveFormations (count: number): number {
    const first = this.highestFormation + 1
    this.highestFormation += count
    return first
  }

  /** Starts a new formation of a group with these members; the group serves once all of them report that they are ready in it. */
  reform (group: AssignedGroup, members: readonly AssignedMember[], revision: ModelRevision, cause: string): void {
    const { preload: _preload, stepInBase: _stepInBase, ...kept } = group
    this.formationsLeft -= 1
    this.updateGroupMemory(group.group, { ...EMPTY_GROUP_MEMORY, reformedAtMs: this.input.nowMs })
    this.releaseStandbyPlaces(group.group, members)
    this.setGroup({
      ...kept,
      standbys: this.groups.get(group.group)!.standbys.filter((standby) => !members.some((member) => member.vm === standby.vm)),
      members,
      version: revision.version,
      adapters: revision.adapters,
      formation: this.nextFormation(),
      state: GroupState.Forming,
      cause,
      sinceWallMs: this.input.wallMs
    })
  }

  /** Removes new members from the standbys of other groups. */
  private releaseStandbyPlaces (id: GroupId, members: readonly AssignedMember[]): void {
    for (const { vm } of members) {
      if (this.groupByVm.get(vm) !== id) this.releaseStandby(vm)
    }
  }

  setState (group: AssignedGroup, state: GroupState, cause: string): void {
    this.setGroup({ ...group, state, cause, sinceWallMs: this.input.wallMs })
  }

  recordDecision (draft: DecisionDraft): void {
    this.decisions.push({
      kind: draft.kind,
      group: draft.group,
      vms: draft.vms,
      reason: draft.reason,
      score: draft.score ?? null,
      rejected: draft.rejected ?? [],
      fabricDomain: this.input.fabricDomain,
      atWallMs: this.input.wallMs
    })
  }

  commit (): CommittedPlan {
    const groups = this.allGroups().slice().sort((left, right) => compareText(left.group, right.group))
    const memories = new Map<GroupId, GroupMemory>()
    for (const group of groups) {
      const kept = this.groupMemories.get(group.group)
      if (kept !== undefined) memories.set(group.group, kept)
    }
    return { groups, memory: { ...this.memory, vms: this.vmMemories(), groups: memories, loadTokens: this.loadTokens } }
  }

  private vmMemories (): ReadonlyMap<VmId, VmMemory> {
    if (this.preloads.size === 0) return this.memory.vms
    const vms = new Map(this.memory.vms)
    for (const [vm, preload] of this.preloads) vms.set(vm, { ...vms.get(vm)!, preload })
    return vms
  }
}

export interface CommittedPlan {
  /** Sorted by id. */
  readonly groups: readonly AssignedGroup[]
  readonly memory: PlanningMemory
}

/**
 * The highest formation number in the assignment object or in any engine's status. If an operator deletes the object, its
 * counter is lost; the numbers that engines report still keep formation numbers rising.
 */
function highestKnownFormation (input: FabricDomainInput): number {
  const groups = input.assignment?.groups ?? []
  const reported = input.vms.map((health) => health.status?.formation ?? 0)
  const assigned = groups.map((group) => group.formation)
  return Math.max(input.assignment?.highestFormation ?? 0, 0, ...assigned, ...reported)
}
