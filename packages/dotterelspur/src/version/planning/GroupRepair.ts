import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { DecisionKind } from './Decision.js'
import { freeVms } from './GroupGrowth.js'
import { lostMembers } from './GroupObservation.js'
import type { PendingPlan } from './PendingPlan.js'
import { memberOf } from './VmTable.js'

/** Brings broken groups back: members lost are replaced in place, so that the others keep their rank. */
export function repairGroups (plan: PendingPlan): void {
  for (const group of plan.allGroups()) {
    if (group.state === GroupState.Broken && plan.formationsLeft > 0) repairGroup(plan, group)
  }
}

function repairGroup (plan: PendingPlan, group: AssignedGroup): void {
  const intent = plan.intentOf(group)
  if (intent === undefined) return
  const lost = new Set(lostMembers(plan, group))
  const returned = group.members.filter((member) => lost.has(member.vm) && plan.views.get(member.vm)?.usable === true)
  const substitutes = [
    ...returned.map((member) => plan.views.get(member.vm)!),
    ...freeVms(plan, intent)
  ].slice(0, lost.size)
  if (lost.size === 0 || substitutes.length < lost.size) return
  const members = substitute(group.members, lost, substitutes.map(memberOf))
  const reason = `${[...lost].join(', ')} replaced by ${substitutes.map((view) => view.health.vm).join(', ')}`
  plan.reform(group, members, reason)
  plan.decide({ kind: DecisionKind.Replace, group: group.group, vms: members.map((member) => member.vm), reason })
}

function substitute (members: readonly AssignedMember[], lost: ReadonlySet<string>, substitutes: readonly AssignedMember[]): readonly AssignedMember[] {
  const remaining = substitutes.slice()
  const own = (member: AssignedMember): AssignedMember => {
    const same = remaining.findIndex((candidate) => candidate.vm === member.vm)
    return remaining.splice(Math.max(0, same), 1)[0]!
  }
  return members.map((member) => lost.has(member.vm) ? own(member) : member)
}
