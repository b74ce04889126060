import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import type { Candidate } from './Candidates.js'
import { claimableVms, countLoads } from './Candidates.js'
import { DecisionKind } from './Decision.js'
import { startLoads } from './GroupRepair.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import { canSurge, intentWeights } from './RolloutStep.js'
import { compareText, toMember } from './VmTable.js'

/** Intents in planning order: by priority, then by name. */
export function orderIntents (intents: readonly PlannedIntent[]): readonly PlannedIntent[] {
  return intents.slice().sort((left, right) =>
    right.priority - left.priority ||
    compareText(left.team, right.team) ||
    compareText(left.model, right.model))
}

/** Forms missing groups as far as free VMs and the load budget permit. */
export function growGroups (plan: PendingPlan): void {
  for (const intent of orderIntents(plan.input.intents)) {
    for (let missing = missingGroups(plan, intent); missing > 0 && plan.formationsLeft > 0; missing--) {
      const candidates = claimableVms(plan, intent, intentWeights(intent)).slice(0, intent.vmsPerReplica)
      if (candidates.length < intent.vmsPerReplica || !plan.mayLoad(countLoads(candidates))) break
      formGroup(plan, intent, candidates)
    }
  }
}

/** Draining groups count as existing: they are formed again, or become surplus once others serve in their place. */
function missingGroups (plan: PendingPlan, intent: PlannedIntent): number {
  const held = plan.groupsOf(intent).length
  const surge = held === intent.replicas && canSurge(plan, intent) ? 1 : 0
  return intent.replicas + surge - held
}

function formGroup (plan: PendingPlan, intent: PlannedIntent, candidates: readonly Candidate[]): void {
  const formation = plan.nextFormation()
  const vms = candidates.map((candidate) => candidate.view.health.vm)
  const reason = `${intent.replicas} replicas of ${intent.model} are wanted here, with ${intent.revision.version}`
  const group: AssignedGroup = {
    group: `${plan.input.fabricDomain}.g${formation}`,
    formation,
    state: GroupState.Forming,
    team: intent.team,
    model: intent.model,
    version: intent.revision.version,
    adapters: intent.revision.adapters,
    members: candidates.map((candidate) => toMember(candidate.view)),
    standbys: [],
    cause: reason,
    sinceWallMs: plan.input.wallMs
  }
  plan.formationsLeft -= 1
  for (const vm of vms) plan.releaseStandby(vm)
  startLoads(plan, group, candidates)
  plan.setGroup(group)
  plan.recordDecision({ kind: DecisionKind.Form, group: group.group, vms, reason })
}
