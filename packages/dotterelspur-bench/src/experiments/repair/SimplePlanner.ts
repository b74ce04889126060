import { DecisionKind, EngineState, GroupState, VmPresence, emptyPlanningMemory } from 'dotterelspur'
import type { AssignedGroup, AssignedMember, Decision, FabricDomainInput, FabricDomainPlan, GroupId, VmHealth, VmId } from 'dotterelspur'

/** A baseline: the same promises as the planner (exact groups, one place per VM, planned stops drain), by simpler rules. */
export interface SimpleRules {
  /** Idle VMs are loaded ahead. */
  readonly preloads: boolean
  /** Takes VMs that are loaded before others; else the first by name. */
  readonly picksLoaded: boolean
  /** Takes what is left of one broken group to mend another. */
  readonly merges: boolean
  /** Exchanges members that leave or straggle before they are gone. */
  readonly swapsAhead: boolean
}

/** No VM is kept loaded; a lost member is replaced by whatever idle VM there is. */
export const NO_STANDBYS: SimpleRules = { preloads: false, picksLoaded: true, merges: true, swapsAhead: false }
/** Standbys are kept loaded; the first idle VM by name takes a lost member's place, and nothing is merged. */
export const FIRST_FIT: SimpleRules = { preloads: true, picksLoaded: false, merges: false, swapsAhead: false }
/** Standbys are kept loaded and the best one steps in the moment that a member is silent, leaves or straggles. */
export const REPAIR_AT_ONCE: SimpleRules = { preloads: true, picksLoaded: true, merges: true, swapsAhead: true }

/** Makes a planner that follows simple rules. */
export function createSimplePlanner (rules: SimpleRules): (input: FabricDomainInput) => FabricDomainPlan {
  return (input) => new SimpleTick(rules, input).plan()
}

class SimpleTick {
  private readonly groups: Map<GroupId, AssignedGroup>
  private readonly drainingSince: Map<GroupId, number>
  private readonly vms: ReadonlyMap<VmId, VmHealth>
  private readonly decisions: Decision[] = []
  private highestFormation: number
  private changed = false

  constructor (private readonly rules: SimpleRules, private readonly input: FabricDomainInput) {
    this.groups = new Map((input.assignment?.groups ?? []).map((group) => [group.group, group]))
    this.drainingSince = new Map([...input.memory.groups].flatMap(([group, memory]) => memory.drainingSinceMs === null ? [] : [[group, memory.drainingSinceMs]]))
    this.vms = new Map(input.vms.map((vm) => [vm.vm, vm]))
    this.highestFormation = input.assignment?.highestFormation ?? 0
  }

  plan (): FabricDomainPlan {
    this.pruneStandbys()
    for (const group of [...this.groups.values()]) this.settle(group)
    for (const group of [...this.groups.values()]) this.repair(group)
    if (this.rules.swapsAhead) {
      for (const group of [...this.groups.values()]) this.swap(group)
    }
    this.grow()
    if (this.rules.preloads) this.addStandbys()
    const groups = new Map([...this.drainingSince].map(([group, drainingSinceMs]) =>
      [group, { brokenSinceMs: null, surplusSinceMs: null, preloadSinceMs: null, reformedAtMs: null, drainingSinceMs }]))
    const memory = { ...emptyPlanningMemory, groups }
    return { changed: this.changed, groups: [...this.groups.values()], highestFormation: this.highestFormation, rollouts: [], decisions: this.decisions, memory, observed: memory }
  }

  private put (group: AssignedGroup): void {
    this.groups.set(group.group, group)
    this.changed = true
  }

  private isLost (member: AssignedMember): boolean {
    const vm = this.vms.get(member.vm)
    return vm === undefined || vm.presence === VmPresence.Absent || vm.incarnation > member.incarnation
  }

  private isFit (vm: VmHealth): boolean {
    return vm.presence === VmPresence.Present && !vm.leaving && !vm.straggling
  }

  private isLoaded (vm: VmHealth): boolean {
    return (vm.status?.loaded?.length ?? 0) > 0
  }

  private pruneStandbys (): void {
    for (const group of this.groups.values()) {
      const standbys = group.standbys.filter((standby) => !this.isLost(standby) && this.isFit(this.vms.get(standby.vm)!))
      if (standbys.length !== group.standbys.length) this.put({ ...group, standbys })
    }
  }

  private settle (group: AssignedGroup): void {
    if (group.state === GroupState.Draining) return
    if (group.members.some((member) => this.isLost(member))) {
      if (group.state !== GroupState.Broken) this.put({ ...group, state: GroupState.Broken })
      return
    }
    const ready = group.members.every((member) => {
      const status = this.vms.get(member.vm)!.status
      return status?.state === EngineState.Ready && status.group === group.group && status.formation === group.formation
    })
    if (ready && group.state !== GroupState.Serving) this.put({ ...group, state: GroupState.Serving })
    if (!ready && group.state === GroupState.Broken) this.put({ ...group, state: GroupState.Forming })
  }

  private repair (listed: AssignedGroup): void {
    const group = this.groups.get(listed.group)
    if (group === undefined) return
    if (group.state === GroupState.Draining) this.finishDrain(group)
    else if (group.state === GroupState.Broken) this.replaceLost(group)
  }

  private finishDrain (group: AssignedGroup): void {
    const sinceMs = this.drainingSince.get(group.group) ?? this.input.nowMs
    if (this.input.nowMs - sinceMs < this.input.settings.drainSettleMs) return
    this.drainingSince.delete(group.group)
    const unfit = group.members.filter((member) => this.isLost(member) || !this.isFit(this.vms.get(member.vm)!))
    const substitutes = this.candidates(group).slice(0, unfit.length)
    if (substitutes.length === unfit.length) this.reform(group, unfit, substitutes)
    else if (unfit.some((member) => this.isLost(member))) this.put({ ...group, state: GroupState.Broken })
    else this.reform(group, [], [])
  }

  private replaceLost (group: AssignedGroup): void {
    const lost = group.members.filter((member) => this.isLost(member))
    const substitutes = this.candidates(group).slice(0, lost.length)
    if (lost.length > substitutes.length && this.rules.merges) this.mergeInto(group, lost, substitutes)
    else if (lost.length === substitutes.length && lost.length > 0) this.reform(group, lost, substitutes)
  }

  private mergeInto (group: AssignedGroup, lost: readonly AssignedMember[], own: readonly VmHealth[]): void {
    const lacking = lost.length - own.length
    for (const other of this.groups.values()) {
      if (other.group === group.group || other.state !== GroupState.Broken) continue
      const given = other.members.filter((member) => !this.isLost(member) && this.isFit(this.vms.get(member.vm)!)).map((member) => this.vms.get(member.vm)!)
      if (given.length < lacking) continue
      this.groups.delete(other.group)
      this.reform(group, lost, [...own, ...given.slice(0, lacking)])
      return
    }
  }

  /** VMs that may take a place in the group: idle ones, standbys, and its own members that restarted. */
  private candidates (group: AssignedGroup | null): readonly VmHealth[] {
    const members = new Set([...this.groups.values()].flatMap((other) => other.members.filter((member) => other.group !== group?.group || !this.isLost(member)).map((member) => member.vm)))
    const free = this.input.vms.filter((vm) => this.isFit(vm) && !members.has(vm.vm))
    if (!this.rules.picksLoaded) return free
    return free.slice().sort((left, right) => Number(this.isLoaded(right)) - Number(this.isLoaded(left)))
  }

  private reform (group: AssignedGroup, leaving: readonly AssignedMember[], substitutes: readonly VmHealth[]): void {
    const taken = new Set(substitutes.map((vm) => vm.vm))
    for (const other of this.groups.values()) {
      if (other.standbys.some((standby) => taken.has(standby.vm))) this.put({ ...other, standbys: other.standbys.filter((standby) => !taken.has(standby.vm)) })
    }
    const current = this.groups.get(group.group) ?? group
    const remaining = substitutes.map(memberOf)
    const members = current.members.map((member) => leaving.includes(member) ? remaining.shift()! : member)
    this.highestFormation += 1
    this.put({ ...current, members, formation: this.highestFormation, state: GroupState.Forming })
  }

  private swap (listed: AssignedGroup): void {
    const group = this.groups.get(listed.group)
    if (group?.state !== GroupState.Serving) return
    const unfit = group.members.filter((member) => !this.isFit(this.vms.get(member.vm)!))
    const loaded = this.candidates(group).filter((vm) => this.isLoaded(vm))
    if (unfit.length === 0 || loaded.length < unfit.length) return
    this.drainingSince.set(group.group, this.input.nowMs)
    this.put({ ...group, state: GroupState.Draining })
  }

  private grow (): void {
    const intent = this.input.intents[0]!
    while (this.groups.size < intent.replicas) {
      const chosen = this.candidates(null).slice(0, intent.vmsPerReplica)
      if (chosen.length < intent.vmsPerReplica) return
      const taken = new Set(chosen.map((vm) => vm.vm))
      for (const other of this.groups.values()) this.groups.set(other.group, { ...other, standbys: other.standbys.filter((standby) => !taken.has(standby.vm)) })
      this.highestFormation += 1
      this.put({
        group: `g${this.highestFormation}`,
        formation: this.highestFormation,
        state: GroupState.Forming,
        team: intent.team,
        model: intent.model,
        version: intent.revision.version,
        adapters: [],
        members: chosen.map(memberOf),
        standbys: [],
        cause: DecisionKind.Form,
        sinceWallMs: this.input.wallMs
      })
    }
  }

  private addStandbys (): void {
    const intent = this.input.intents[0]!
    const wanted = intent.standbys + this.input.settings.idleStandbys
    const placed = new Set([...this.groups.values()].flatMap((group) => [...group.members, ...group.standbys].map((place) => place.vm)))
    const free = this.input.vms.filter((vm) => this.isFit(vm) && !placed.has(vm.vm))
    const [first] = this.groups.values()
    const count = [...this.groups.values()].reduce((sum, group) => sum + group.standbys.length, 0)
    const added = free.slice(0, Math.max(0, wanted - count))
    if (first === undefined || added.length === 0) return
    this.put({ ...first, standbys: [...first.standbys, ...added.map(memberOf)] })
  }
}

function memberOf (vm: VmHealth): AssignedMember {
  return { vm: vm.vm, incarnation: vm.incarnation, address: vm.address }
}
