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

export function cause (kind: ExplainCauseKind, subject: string | null, message: string, sinceWallMs: number | null = null): ExplainCause {
  return { kind, subject, message, sinceWallMs, rejected: [] }
}

export function seconds (durationMs: number): string {
  return `${Math.round(durationMs / 1000)} s`
}

/** A reading on the monotonic clock as wall time, for people. */
export function wallOf (input: ExplainInput, atMs: number): number {
  return input.wallMs - (input.nowMs - atMs)
}

/** Why one member keeps its group from serving; null when it doesn't. */
export function memberCause (input: ExplainInput, group: AssignedGroup, member: AssignedMember): ExplainCause | null {
  const health = findVm(input, member.vm)
  const at = `VM ${member.vm} of formation ${group.formation}`
  if (health === undefined) return cause(ExplainCauseKind.MemberAbsent, member.vm, `${at} is in no list and answers no probe.`)
  if (health.incarnation > member.incarnation) {
    return cause(ExplainCauseKind.MemberRestarted, member.vm, `${at} restarted: it is incarnation ${health.incarnation} now, and ${member.incarnation} is the member.`)
  }
  if (health.presence === VmPresence.Absent) return absentCause(input, health, at)
  return health.status === null ? null : statusCause(group, health, at)
}

function absentCause (input: ExplainInput, health: VmHealth, at: string): ExplainCause {
  if (health.absentSinceMs === null) return cause(ExplainCauseKind.MemberAbsent, health.vm, `${at} is absent.`)
  const sinceMs = health.absentSinceMs
  return cause(ExplainCauseKind.MemberAbsent, health.vm, `${at} has been absent for ${seconds(input.nowMs - sinceMs)}.`, wallOf(input, sinceMs))
}

function statusCause (group: AssignedGroup, health: VmHealth, at: string): ExplainCause | null {
  const status = health.status!
  if (status.group !== group.group || status.formation !== group.formation) {
    const where = status.group === null ? 'in no group' : `at formation ${status.formation} of ${status.group}`
    return cause(ExplainCauseKind.MemberElsewhere, health.vm, `${at} says that it is ${where}.`)
  }
  const stated = STATE_CAUSES[status.state]
  return stated === null ? null : cause(stated.kind, health.vm, `${at} ${stated.text}.`)
}

const STATE_CAUSES: Readonly<Record<EngineState, { readonly kind: ExplainCauseKind, readonly text: string } | null>> = {
  [EngineState.Idle]: { kind: ExplainCauseKind.MemberLoading, text: 'has not begun to load' },
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

/** The newest recorded decision about a group, with the ways that it rejected. */
export function decisionCause (input: ExplainInput, group: string): ExplainCause | null {
  const last = input.decisions.filter((decision) => decision.group === group && CAUSE_OF_DECISION[decision.kind] !== undefined).at(-1)
  if (last === undefined) return null
  return {
    kind: CAUSE_OF_DECISION[last.kind]!,
    subject: null,
    message: describeDecision(last),
    sinceWallMs: last.atWallMs,
    rejected: last.rejected.map(describeWay)
  }
}

function describeDecision (decision: Decision): string {
  const score = decision.score === null ? '' : ` (score ${decision.score.toFixed(4)})`
  return `Decided: ${decision.kind}${score}: ${decision.reason}.`
}

function describeWay (way: RejectedOption): string {
  const score = way.score === null ? 'not open' : `score ${way.score.toFixed(4)}`
  return `${way.kind} (${score}): ${way.reason}`
}

/** With the store out nothing new can be agreed: whatever else is wrong, it stays so. */
export function storeCauses (input: ExplainInput): readonly ExplainCause[] {
  if (input.storeContactAgeMs < input.storeOutageMs) return []
  const message = `The platform's store has not been heard for ${seconds(input.storeContactAgeMs)}: no assignment can change meanwhile.`
  return [cause(ExplainCauseKind.StoreUnavailable, null, message, input.wallMs - input.storeContactAgeMs)]
}
