import type { ModelId, TeamId } from '../../process/ids.js'
import type { ExplainCause, Explanation } from '../ExplainPort.js'
import { ExplainCauseKind, ExplainSubject } from '../ExplainPort.js'
import type { RolloutRecord } from '../PlatformObjects.js'
import { RolloutPhase } from '../PlatformObjects.js'
import type { UnmetIntent } from '../planning/ReplicaAllocation.js'
import { createCause, storeCauses } from './causes.js'
import { explainGroup } from './explainGroup.js'
import type { ExplainInput } from './ExplainInput.js'

/** Explains why a team's intent for a model is not met, or states that it is. Undefined if the team's settings do not contain the model. */
export function explainIntent (input: ExplainInput, team: TeamId, model: ModelId): Explanation | undefined {
  const wanted = input.wanted.find((one) => one.team === team && one.model === model)
  if (wanted === undefined) return undefined
  const groups = input.assignments.flatMap((assignment) => assignment.groups).filter((group) => group.team === team && group.model === model)
  const explained = groups.map((group) => explainGroup(input, group.group)!)
  const serving = explained.filter((one) => one.satisfied).length
  const satisfied = serving >= wanted.replicas
  const rollouts = rolloutCauses(input, team, model)
  const causes = satisfied
    ? rollouts
    : [...unmetCauses(input, team, model), ...rollouts, ...groupCauses(explained), ...missingCauses(wanted.replicas, groups.length), ...storeCauses(input)]
  const summary = satisfied
    ? `${team}/${model} has the ${wanted.replicas} replicas that it wants.`
    : `${team}/${model} has ${serving} of ${wanted.replicas} replicas serving: ${causes[0]?.message ?? 'no cause is recorded here.'}`
  return { subject: ExplainSubject.Intent, name: `${team}/${model}`, satisfied, summary, causes }
}

function unmetCauses (input: ExplainInput, team: TeamId, model: ModelId): readonly ExplainCause[] {
  return input.unmet.filter((unmet) => unmet.team === team && unmet.model === model).map((unmet) =>
    createCause(unmetKind(unmet), null, `${unmet.allocated} of ${unmet.wanted} replicas are allocated: ${unmet.reason}.`))
}

function unmetKind (unmet: UnmetIntent): ExplainCauseKind {
  if (unmet.lostTo.length > 0) return ExplainCauseKind.CompetingTeam
  return unmet.eligibleFabricDomains === 0 ? ExplainCauseKind.NoPlace : ExplainCauseKind.TooFewVms
}

function rolloutCauses (input: ExplainInput, team: TeamId, model: ModelId): readonly ExplainCause[] {
  const records = input.assignments.flatMap((assignment) => assignment.rollouts ?? []).filter((record) => record.team === team && record.model === model)
  const halted = records.find((record) => record.phase === RolloutPhase.Halted)
  const shown = halted ?? records[0]
  return shown === undefined ? [] : [rolloutCause(shown)]
}

function rolloutCause (record: RolloutRecord): ExplainCause {
  const halted = record.phase === RolloutPhase.Halted
  const kind = halted ? ExplainCauseKind.RolloutHalted : ExplainCauseKind.RolloutInProgress
  const text = halted ? `The change to ${record.target.version} was halted` : `A change to ${record.target.version} is in progress`
  return createCause(kind, record.target.version, `${text}: ${record.cause}.`, record.sinceWallMs)
}

function groupCauses (explained: readonly Explanation[]): readonly ExplainCause[] {
  return explained.filter((one) => !one.satisfied).flatMap((one) => one.causes.slice(0, 1))
}

function missingCauses (wanted: number, assigned: number): readonly ExplainCause[] {
  if (assigned >= wanted) return []
  return [createCause(ExplainCauseKind.TooFewVms, null, `${wanted - assigned} wanted replicas have no group yet.`)]
}
