import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { DecisionKind } from './Decision.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import type { VmView } from './VmTable.js'
import { compareText, holdsRevision, memberOf } from './VmTable.js'

/** Usable VMs without a place, best for the intent first: loaded, then least often absent, then by id. */
export function freeVms (plan: PendingPlan, intent: PlannedIntent): readonly VmView[] {
  return [...plan.views.values()]
    .filter((view) => view.usable && plan.placeOf(view.health.vm) === undefined)
    .sort((left, right) => compareCandidates(left, right, intent))
}

export function compareCandidates (left: VmView, right: VmView, intent: PlannedIntent): number {
  return Number(holdsRevision(right, intent)) - Number(holdsRevision(left, intent)) ||
    left.memory.absencesMs.length - right.memory.absencesMs.length ||
    compareText(left.health.vm, right.health.vm)
}

/** Intents in the order in which they are served: stated priority, then name. */
export function orderIntents (intents: readonly PlannedIntent[]): readonly PlannedIntent[] {
  return intents.slice().sort((left, right) =>
    right.priority - left.priority ||
    compareText(left.team, right.team) ||
    compareText(left.model, right.model))
}

/** Forms the groups that are wanted and missing, as far as free VMs reach. */
export function growGroups (plan: PendingPlan): void {
  for (const intent of orderIntents(plan.input.intents)) {
    while (missingGroups(plan, intent) > 0 && plan.formationsLeft > 0) {
      const free = freeVms(plan, intent)
      if (free.length < intent.vmsPerReplica) break
      formGroup(plan, intent, free.slice(0, intent.vmsPerReplica))
    }
  }
}

function missingGroups (plan: PendingPlan, intent: PlannedIntent): number {
  const held = plan.groupsOf(intent).filter((group) => group.state !== GroupState.Draining)
  return intent.replicas - held.length
}

function formGroup (plan: PendingPlan, intent: PlannedIntent, views: readonly VmView[]): void {
  const formation = plan.nextFormation()
  const reason = `${intent.replicas} replicas of ${intent.model} are wanted here and one is missing`
  const group: AssignedGroup = {
    group: `${plan.input.fabricDomain}.g${formation}`,
    formation,
    state: GroupState.Forming,
    team: intent.team,
    model: intent.model,
    version: intent.revision.version,
    adapters: intent.revision.adapters,
    members: views.map(memberOf),
    standbys: [],
    cause: reason,
    sinceWallMs: plan.input.wallMs
  }
  plan.formationsLeft -= 1
  plan.setGroup(group)
  plan.decide({ kind: DecisionKind.Form, group: group.group, vms: group.members.map((member) => member.vm), reason })
}
