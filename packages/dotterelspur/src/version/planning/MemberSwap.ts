import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { claimableVms, nextWeights } from './Candidates.js'
import { startDrain } from './GroupShrink.js'
import type { PendingPlan } from './PendingPlan.js'
import { isUnfit } from './RepairOptions.js'

/** Members that are leaving, drained or straggling and should be replaced. */
export function unfitMembers (plan: PendingPlan, group: AssignedGroup): readonly string[] {
  return group.members.map((member) => member.vm).filter((vm) => isUnfit(plan, vm))
}

/**
 * Replaces members that are leaving, straggling or drained. The replacements load first, as standbys (see `planStandbys`);
 * the group is drained only when enough loaded VMs are available, so that it is out of service only for a join.
 */
export function swapMembers (plan: PendingPlan): void {
  for (const group of plan.allGroups()) {
    const unfit = group.state === GroupState.Serving ? unfitMembers(plan, group) : []
    const intent = plan.intentOf(group)
    if (unfit.length === 0 || intent === undefined) continue
    const loaded = claimableVms(plan, intent, nextWeights(plan, group)).filter((candidate) => candidate.loaded)
    if (loaded.length < unfit.length) continue
    startDrain(plan, group, `${unfit.map((vm) => `VM ${vm} ${describeUnfit(plan, vm)}`).join('; ')}; loaded standbys take over`)
  }
}

function describeUnfit (plan: PendingPlan, vm: string): string {
  const { leaving, drained } = plan.views.get(vm)!.health
  if (leaving) return 'is leaving'
  return drained ? 'is drained by an operator' : 'slows the group down'
}
