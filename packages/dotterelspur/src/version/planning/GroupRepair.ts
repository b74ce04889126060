import type { VmId } from '../../process/ids.js'
import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import type { Candidate } from './Candidates.js'
import { countLoads, nextWeights } from './Candidates.js'
import { DecisionKind } from './Decision.js'
import { lostMembers } from './GroupObservation.js'
import { startDrain } from './GroupShrink.js'
import type { PendingPlan } from './PendingPlan.js'
import type { RepairOption, RepairSituation } from './RepairOptions.js'
import { describeSituation, findRepairOptions, isUnfit } from './RepairOptions.js'
import { costPerHour } from './RepairCost.js'
import { toMember, weightsKey } from './VmTable.js'

/** Repairs broken groups in order of priority, then of the downtime cost that a repair saves per VM. */
export function repairGroups (plan: PendingPlan): void {
  const broken = plan.allGroups().filter((group) => group.state === GroupState.Broken)
  const ranked = broken.flatMap((group) => {
    const intent = plan.intentOf(group)
    return intent === undefined ? [] : [{ group, priority: intent.priority, value: valuePerVm(plan, group) }]
  }).sort((left, right) => right.priority - left.priority || right.value - left.value || left.group.formation - right.group.formation)
  for (const { group } of ranked) {
    const current = plan.group(group.group)
    if (current?.state === GroupState.Broken && plan.formationsLeft > 0) repairGroup(plan, current)
  }
}

function valuePerVm (plan: PendingPlan, group: AssignedGroup): number {
  const intent = plan.intentOf(group)!
  return costPerHour(intent, group.members.length) / Math.max(1, lostMembers(plan, group).length)
}

function repairGroup (plan: PendingPlan, group: AssignedGroup): void {
  const situation = describeSituation(plan, group, plan.intentOf(group)!)
  const options = findRepairOptions(plan, situation).slice().sort((left, right) => left.score - right.score)
  const [best, ...rejected] = options
  const option = best!
  if (!plan.mayLoad(countLoads(option.substitutes))) {
    const reason = `the load budget is used up; chosen for later: ${option.reason}`
    plan.recordDecision({ kind: DecisionKind.Wait, group: group.group, vms: [], reason, score: option.score, rejected: rejected.map(toRejected) })
    return
  }
  const vms = APPLY_BY_KIND[option.kind]!(plan, situation, option)
  plan.recordDecision({ kind: option.kind, group: group.group, vms, reason: option.reason, score: option.score, rejected: rejected.map(toRejected) })
}

function toRejected ({ kind, score, reason }: RepairOption): Pick<RepairOption, 'kind' | 'score' | 'reason'> {
  return { kind, score, reason }
}

type ApplyOption = (plan: PendingPlan, situation: RepairSituation, option: RepairOption) => readonly VmId[]

const APPLY_BY_KIND: Readonly<Partial<Record<DecisionKind, ApplyOption>>> = {
  [DecisionKind.Wait]: () => [],
  [DecisionKind.Rejoin]: applySubstitutes,
  [DecisionKind.Replace]: applySubstitutes,
  [DecisionKind.Merge]: applyMerge,
  [DecisionKind.Donate]: applyDonate,
  [DecisionKind.Dissolve]: applyDissolve
}

function applySubstitutes (plan: PendingPlan, { group, places }: RepairSituation, option: RepairOption): readonly VmId[] {
  const members = fillPlaces(plan, group, option.substitutes, places)
  startLoads(plan, group, option.substitutes)
  plan.reform(group, members, nextWeights(plan, group).revision, `${option.kind}: ${option.reason}`)
  return option.substitutes.map((candidate) => candidate.view.health.vm)
}

/** Fills the empty places with substitutes, so that the other members keep their rank. A member that restarted gets its own place again. */
export function fillPlaces (plan: PendingPlan, group: AssignedGroup, substitutes: readonly Candidate[], places: number): readonly AssignedMember[] {
  const lost = new Set(lostMembers(plan, group).map((member) => member.vm))
  const remaining = substitutes.map((candidate) => toMember(candidate.view))
  const replacesUnfit = places > lost.size
  const takeSubstitute = (vm: VmId): AssignedMember => {
    const same = remaining.findIndex((candidate) => candidate.vm === vm)
    return remaining.splice(Math.max(0, same), 1)[0]!
  }
  return group.members.map((member) => lost.has(member.vm) || (replacesUnfit && isUnfit(plan, member.vm)) ? takeSubstitute(member.vm) : member)
}

export function startLoads (plan: PendingPlan, group: AssignedGroup, candidates: readonly Candidate[]): void {
  const key = weightsKey(nextWeights(plan, group))
  for (const candidate of candidates) {
    if (!candidate.loaded) plan.startLoad(candidate.view.health.vm, key)
  }
}

/** Dissolves the donor group. Its remaining VMs become free, and a new group is formed once there are enough VMs. */
function applyMerge (plan: PendingPlan, situation: RepairSituation, option: RepairOption): readonly VmId[] {
  const donor = option.other!
  const reason = `gave its VMs to ${situation.group.group}, which was broken too`
  plan.removeGroup(donor.group)
  plan.recordDecision({ kind: DecisionKind.Dissolve, group: donor.group, vms: donor.members.map((member) => member.vm), reason })
  return applySubstitutes(plan, situation, option)
}

function applyDonate (plan: PendingPlan, _situation: RepairSituation, option: RepairOption): readonly VmId[] {
  startDrain(plan, option.other!, option.reason)
  return []
}

function applyDissolve (plan: PendingPlan, { group }: RepairSituation): readonly VmId[] {
  plan.removeGroup(group.group)
  return group.members.map((member) => member.vm)
}
