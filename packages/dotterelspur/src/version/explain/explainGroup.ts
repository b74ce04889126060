import type { GroupId } from '../../process/ids.js'
import type { ExplainCause, Explanation } from '../ExplainPort.js'
import { ExplainCauseKind, ExplainSubject } from '../ExplainPort.js'
import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { createCause, decisionCause, memberCause, formatSeconds, storeCauses } from './causes.js'
import type { ExplainInput } from './ExplainInput.js'
import { findGroup } from './ExplainInput.js'

/** Explains why a group does not serve, or states that it does. Undefined if no assignment contains it. */
export function explainGroup (input: ExplainInput, id: GroupId): Explanation | undefined {
  const placed = findGroup(input, id)
  if (placed === undefined) return undefined
  const { group } = placed
  const evidence = evidenceCause(input, group)
  const satisfied = evidence === null && takesWork(group) && !input.drained.includes(id)
  if (satisfied) return explain(group, true, `${id} serves ${group.model} ${group.version} at formation ${group.formation}.`, asArray(decisionCause(input, id)))
  const causes = [
    ...drainCauses(input, group),
    ...memberCauses(input, group),
    ...stateCauses(group),
    ...(evidence === null ? [] : [evidence]),
    ...asArray(decisionCause(input, id)),
    ...storeCauses(input)
  ]
  return explain(group, false, `${id} does not serve: ${causes[0]?.message ?? 'no cause is recorded here.'}`, causes)
}

function explain (group: AssignedGroup, satisfied: boolean, summary: string, causes: readonly ExplainCause[]): Explanation {
  return { subject: ExplainSubject.Group, name: group.group, satisfied, summary, causes }
}

function asArray<Item> (item: Item | null): readonly Item[] {
  return item === null ? [] : [item]
}

function takesWork (group: AssignedGroup): boolean {
  return group.state === GroupState.Serving || group.state === GroupState.Forming
}

function drainCauses (input: ExplainInput, group: AssignedGroup): readonly ExplainCause[] {
  if (!input.drained.includes(group.group)) return []
  return [createCause(ExplainCauseKind.OperatorDrain, group.group, `An operator has drained ${group.group}.`)]
}

function memberCauses (input: ExplainInput, group: AssignedGroup): readonly ExplainCause[] {
  return group.members.flatMap((member) => asArray(memberCause(input, group, member)))
}

const STATE_KINDS: Readonly<Record<GroupState, ExplainCauseKind | null>> = {
  [GroupState.Forming]: ExplainCauseKind.GroupForming,
  [GroupState.Serving]: null,
  [GroupState.Draining]: ExplainCauseKind.GroupDraining,
  [GroupState.Broken]: ExplainCauseKind.GroupBroken
}

function stateCauses (group: AssignedGroup): readonly ExplainCause[] {
  const kind = STATE_KINDS[group.state]
  if (kind === null) return []
  return [createCause(kind, null, `${group.group} is ${group.state} at formation ${group.formation}: ${group.cause}.`, group.sinceWallMs)]
}

/** Why this node's evidence does not permit dispatching to the group; null if it does. */
function evidenceCause (input: ExplainInput, group: AssignedGroup): ExplainCause | null {
  const evidence = input.presence.find((presence) => presence.group === group.group)
  if (evidence === undefined) return createCause(ExplainCauseKind.EvidenceMissing, group.group, 'This node has no evidence of the group\'s presence.')
  if (evidence.ageMs >= input.evidenceTtlMs) {
    return createCause(ExplainCauseKind.EvidenceExpired, group.group, `The evidence of the group's presence is ${formatSeconds(evidence.ageMs)} old and expired after ${formatSeconds(input.evidenceTtlMs)}.`)
  }
  if (evidence.formation !== group.formation) {
    return createCause(ExplainCauseKind.EvidenceMissing, group.group, `The evidence is for formation ${evidence.formation}, but formation ${group.formation} is assigned.`)
  }
  return evidence.complete ? null : createCause(ExplainCauseKind.EvidenceMissing, group.group, `According to the evidence, formation ${group.formation} is not complete.`)
}
