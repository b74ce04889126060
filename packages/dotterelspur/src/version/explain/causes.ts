import { EngineState } from '../../process/Presence.js'
import type { ExplainCause } from '../ExplainPort.js'
import { ExplainCauseKind } from '../ExplainPort.js'
import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import type { Decision, RejectedOption } from '../planning/Decision.js'
import { DecisionKind } from '../planning/Decision.js'
import type { VmHealth } from '../planning/PlanningInput.js'
import { VmPresence } from '../planning/PlanningInput.js'
import type { ExplainInput } from './ExplainInput.js'
import { findVm } from './ExplainInput.js'

export function createCause (kind: ExplainCauseKind, subject: string | null, message: string, sinceWallMs: number | null = null): ExplainCause {
  return { kind, subject, message, sinceWallMs, rejected: [] }
}

export function formatSeconds (durationMs: number): string {
  return `${Math.round(durationMs / 1000)} s`
}

/** Converts a time of the monotonic clock to wall time. */
export function toWallMs (input: ExplainInput, atMs: number): number {
  return input.wallMs - (input.nowMs - atMs)
}

/** Why a member keeps its group from serving; null if it does not. */
export function memberCause (input: ExplainInput, group: AssignedGroup, member: AssignedMember): ExplainCause | null {
  const health = findVm(input, member.vm)
  const label = `VM ${member.vm} of formation ${group.formation}`
  if (health === undefined) return createCause(ExplainCauseKind.MemberAbsent, member.vm, `${label} is in no list and responds to no probe.`)
  if (health.incarnation > member.incarnation) {
    return createCause(ExplainCauseKind.MemberRestarted, member.vm, `${label} restarted: it is now incarnation ${health.incarnation}, and the group's member is incarnation ${member.incarnation}.`)
  }
  if (health.presence === VmPresence.Absent) return absentCause(input, health, label)
  return health.status === null ? null : statusCause(group, health, label)
}

function absentCause (input: ExplainInput, health: VmHealth, label: string): ExplainCause {
  if (health.absentSinceMs === null) return createCause(ExplainCauseKind.MemberAbsent, health.vm, `${label} is absent.`)
  const sinceMs = health.absentSinceMs
  return createCause(ExplainCauseKind.MemberAbsent, health.vm, `${label} has been absent for ${formatSeconds(input.nowMs - sinceMs)}.`, toWallMs(input, sinceMs))
}

function statusCause (group: AssignedGroup, health: VmHealth, label: string): ExplainCause | null {
  const status = health.status!
  if (status.group !== group.group || status.formation !== group.formation) {
    const where = status.group === null ? 'in no group' : `at formation ${status.formation} of ${status.group}`
    return createCause(ExplainCauseKind.MemberElsewhere, health.vm, `${label} reports that it is ${where}.`)
  }
  const stateCause = STATE_CAUSES[status.state]
  return stateCause === null ? null : createCause(stateCause.kind, health.vm, `${label} ${stateCause.text}.`)
}

const STATE_CAUSES: Readonly<Record<EngineState, { readonly kind: ExplainCauseKind, readonly text: string } | null>> = {
  [EngineState.Idle]: { kind: ExplainCauseKind.MemberLoading, text: 'has not started to load' },
  [EngineState.Loading]: { kind: ExplainCauseKind.MemberLoading, text: 'is loading' },
  [EngineState.Ready]: null,
  [EngineState.Leaving]: { kind: ExplainCauseKind.MemberLeaving, text: 'is leaving' },
  [EngineState.Failed]: { kind: ExplainCauseKind.MemberFailed, text: 'reports that its engine failed' }
}

const CAUSE_OF_DECISION: Readonly<Partial<Record<DecisionKind, ExplainCauseKind>>> = {
  [DecisionKind.Wait]: ExplainCauseKind.RepairWaiting,
  [DecisionKind.Replace]: ExplainCauseKind.RepairChosen,
  [DecisionKind.Merge]: ExplainCauseKind.RepairChosen,
  [DecisionKind.Rejoin]: ExplainCauseKind.RepairChosen,
  [DecisionKind.StepIn]: ExplainCauseKind.RepairChosen,
  [DecisionKind.Donate]: ExplainCauseKind.RepairChosen,
  [DecisionKind.Swap]: ExplainCauseKind.RepairChosen,
  [DecisionKind.Dissolve]: ExplainCauseKind.RepairChosen,
  [DecisionKind.Rollout]: ExplainCauseKind.RolloutInProgress
}

/** The latest recorded decision about a group, with the options that it rejected. */
export function decisionCause (input: ExplainInput, group: string): ExplainCause | null {
  const last = input.decisions.filter((decision) => decision.group === group && CAUSE_OF_DECISION[decision.kind] !== undefined).at(-1)
  if (last === undefined) return null
  return {
    kind: CAUSE_OF_DECISION[last.kind]!,
    subject: null,
    message: describeDecision(last),
    sinceWallMs: last.atWallMs,
    rejected: last.rejected.map(describeOption)
  }
}

function describeDecision (decision: Decision): string {
  const score = decision.score === null ? '' : ` (score ${decision.score.toFixed(4)})`
  return `Latest decision: ${decision.kind}${score}: ${decision.reason}.`
}

function describeOption (option: RejectedOption): string {
  const score = option.score === null ? 'not available' : `score ${option.score.toFixed(4)}`
  return `${option.kind} (${score}): ${option.reason}`
}

/** While the store is unavailable no assignment can be written, so other faults persist. */
export function storeCauses (input: ExplainInput): readonly ExplainCause[] {
  if (input.storeContactAgeMs < input.storeOutageMs) return []
  const message = `There has been no contact with the platform's store for ${formatSeconds(input.storeContactAgeMs)}: no assignment can change meanwhile.`
  return [createCause(ExplainCauseKind.StoreUnavailable, null, message, input.wallMs - input.storeContactAgeMs)]
}
