import type { VmId } from '../../process/ids.js'
import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import type { Candidate } from './Candidates.js'
import { countLoads, nextWeights } from './Candidates.js'
import { DecisionKind } from './Decision.js'
import { lostMembers } from './GroupObservation.js'
import { startDrain } from './GroupShrink.js'
import type { PendingPlan } from './PendingPlan.js'
import type { RepairWay, Situation } from './RepairWays.js'
import { describeSituation, findWays, isUnfit } from './RepairWays.js'
import { costPerHour } from './RepairCost.js'
import { memberOf, weightsKey } from './VmTable.js'

/** Brings broken groups back, those first whose repair is worth most for each VM that it takes. */
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
  const ways = findWays(plan, situation).slice().sort((left, right) => left.score - right.score)
  const [best, ...rejected] = ways
  const way = best!
  if (!plan.mayLoad(countLoads(way.substitutes))) {
    const reason = `the weight store's rate is used up; then: ${way.reason}`
    plan.decide({ kind: DecisionKind.Wait, group: group.group, vms: [], reason, score: way.score, rejected: rejected.map(toRejected) })
    return
  }
  const vms = APPLY[way.kind]!(plan, situation, way)
  plan.decide({ kind: way.kind, group: group.group, vms, reason: way.reason, score: way.score, rejected: rejected.map(toRejected) })
}

function toRejected ({ kind, score, reason }: RepairWay): Pick<RepairWay, 'kind' | 'score' | 'reason'> {
  return { kind, score, reason }
}

type ApplyWay = (plan: PendingPlan, situation: Situation, way: RepairWay) => readonly VmId[]

const APPLY: Readonly<Partial<Record<DecisionKind, ApplyWay>>> = {
  [DecisionKind.Wait]: () => [],
  [DecisionKind.Rejoin]: applySubstitutes,
  [DecisionKind.Replace]: applySubstitutes,
  [DecisionKind.Merge]: applyMerge,
  [DecisionKind.Donate]: applyDonate,
  [DecisionKind.Dissolve]: applyDissolve
}

function applySubstitutes (plan: PendingPlan, { group, places }: Situation, way: RepairWay): readonly VmId[] {
  const members = fillPlaces(plan, group, way.substitutes, places)
  startLoads(plan, group, way.substitutes)
  plan.reform(group, members, nextWeights(plan, group).revision, `${way.kind}: ${way.reason}`)
  return way.substitutes.map((candidate) => candidate.view.health.vm)
}

/** Substitutes take the empty places, so that the others keep their rank; a member that restarted takes its own again. */
export function fillPlaces (plan: PendingPlan, group: AssignedGroup, substitutes: readonly Candidate[], places: number): readonly AssignedMember[] {
  const lost = new Set(lostMembers(plan, group).map((member) => member.vm))
  const remaining = substitutes.map((candidate) => memberOf(candidate.view))
  const withUnfit = places > lost.size
  const own = (vm: VmId): AssignedMember => {
    const same = remaining.findIndex((candidate) => candidate.vm === vm)
    return remaining.splice(Math.max(0, same), 1)[0]!
  }
  return group.members.map((member) => lost.has(member.vm) || (withUnfit && isUnfit(plan, member.vm)) ? own(member.vm) : member)
}

export function startLoads (plan: PendingPlan, group: AssignedGroup, candidates: readonly Candidate[]): void {
  const key = weightsKey(nextWeights(plan, group))
  for (const candidate of candidates) {
    if (!candidate.loaded) plan.startLoad(candidate.view.health.vm, key)
  }
}

/** The giving group is given up; what is left of it comes free, and it is formed again once there are VMs enough. */
function applyMerge (plan: PendingPlan, situation: Situation, way: RepairWay): readonly VmId[] {
  const given = way.other!
  const reason = `gave its VMs to ${situation.group.group}, which was broken too`
  plan.removeGroup(given.group)
  plan.decide({ kind: DecisionKind.Dissolve, group: given.group, vms: given.members.map((member) => member.vm), reason })
  return applySubstitutes(plan, situation, way)
}

function applyDonate (plan: PendingPlan, _situation: Situation, way: RepairWay): readonly VmId[] {
  startDrain(plan, way.other!, way.reason)
  return []
}

function applyDissolve (plan: PendingPlan, { group }: Situation): readonly VmId[] {
  plan.removeGroup(group.group)
  return group.members.map((member) => member.vm)
}
