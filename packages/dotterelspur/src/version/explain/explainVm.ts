import type { VmId } from '../../process/ids.js'
import type { ExplainCause, Explanation } from '../ExplainPort.js'
import { ExplainCauseKind, ExplainSubject } from '../ExplainPort.js'
import type { VmHealth } from '../planning/PlanningInput.js'
import { VmPresence } from '../planning/PlanningInput.js'
import { cause, seconds, storeCauses, wallOf } from './causes.js'
import type { ExplainInput, PlacedGroup, WantedModel } from './ExplainInput.js'
import { findPlace, findVm } from './ExplainInput.js'

/** Says where a VM has its place, or why it has none. Undefined when it is neither listed, nor assigned, nor named by a decision. */
export function explainVm (input: ExplainInput, vm: VmId): Explanation | undefined {
  const health = findVm(input, vm)
  const place = findPlace(input, vm)
  if (health === undefined && place === undefined) return gone(input, vm)
  const hindrances = health === undefined ? [absentWithoutList(vm)] : healthCauses(input, health)
  const causes = [
    ...listCauses(input, vm),
    ...hindrances,
    ...(place === undefined ? idleCauses(input, health) : [placeCause(place, vm)]),
    ...lastMove(input, vm),
    ...storeCauses(input)
  ]
  const satisfied = place !== undefined && hindrances.length === 0
  return { subject: ExplainSubject.Vm, name: vm, satisfied, summary: summarise(vm, place, causes), causes }
}

/** A VM that died and left the list is what an operator asks about most: the decisions still name it. */
function gone (input: ExplainInput, vm: VmId): Explanation | undefined {
  const moves = lastMove(input, vm)
  if (moves.length === 0) return undefined
  const absent = cause(ExplainCauseKind.VmAbsent, vm, `VM ${vm} is in no list and has no place any more.`)
  return { subject: ExplainSubject.Vm, name: vm, satisfied: false, summary: absent.message, causes: [absent, ...moves, ...storeCauses(input)] }
}

function summarise (vm: VmId, place: PlacedGroup | undefined, causes: readonly ExplainCause[]): string {
  if (place !== undefined && causes[0] !== undefined) return causes[0].message
  return `${vm} is idle: ${causes[0]?.message ?? 'no cause is recorded here.'}`
}

function absentWithoutList (vm: VmId): ExplainCause {
  return cause(ExplainCauseKind.VmAbsent, vm, `VM ${vm} is assigned, and in no list that this node has read.`)
}

function listCauses (input: ExplainInput, vm: VmId): readonly ExplainCause[] {
  return input.listedTwice.includes(vm) ? [cause(ExplainCauseKind.VmListedTwice, vm, `The platform lists VM ${vm} more than once; the highest incarnation counts.`)] : []
}

function healthCauses (input: ExplainInput, health: VmHealth): readonly ExplainCause[] {
  const causes: ExplainCause[] = []
  if (health.presence === VmPresence.Absent) causes.push(absentCause(input, health))
  if (health.leaving) causes.push(cause(ExplainCauseKind.VmLeaving, health.vm, `VM ${health.vm} is leaving.`))
  if (health.drained || input.drained.includes(health.vm)) causes.push(cause(ExplainCauseKind.OperatorDrain, health.vm, `An operator has drained VM ${health.vm}.`))
  if (health.straggling) causes.push(cause(ExplainCauseKind.VmStraggling, health.vm, `VM ${health.vm} slows its group down.`))
  return causes
}

function absentCause (input: ExplainInput, health: VmHealth): ExplainCause {
  const sinceMs = health.absentSinceMs
  if (sinceMs === null) return cause(ExplainCauseKind.VmAbsent, health.vm, `VM ${health.vm} is absent.`)
  return cause(ExplainCauseKind.VmAbsent, health.vm, `VM ${health.vm} has been absent for ${seconds(input.nowMs - sinceMs)}.`, wallOf(input, sinceMs))
}

function placeCause ({ group }: PlacedGroup, vm: VmId): ExplainCause {
  const rank = group.members.findIndex((member) => member.vm === vm)
  if (rank >= 0) return cause(ExplainCauseKind.VmAssigned, group.group, `VM ${vm} is rank ${rank} of ${group.group} at formation ${group.formation}, which is ${group.state}.`, group.sinceWallMs)
  const order = group.standbys.findIndex((standby) => standby.vm === vm)
  return cause(ExplainCauseKind.VmStandby, group.group, `VM ${vm} is standby ${order + 1} of ${group.group}.`, group.sinceWallMs)
}

/** Why a VM that is there has no place: nobody wants another group here, or there are too few like it. */
function idleCauses (input: ExplainInput, health: VmHealth | undefined): readonly ExplainCause[] {
  if (health === undefined || health.presence !== VmPresence.Present) return []
  const missing = input.wanted.filter((wanted) => groupsOf(input, wanted) < wanted.replicas)
  if (missing.length === 0) return [cause(ExplainCauseKind.VmNotWanted, health.fabricDomain, 'Every replica that the teams want has its group already.')]
  const idle = idleBeside(input, health)
  const smallest = missing.reduce((least, wanted) => wanted.vmsPerReplica < least.vmsPerReplica ? wanted : least)
  if (idle >= smallest.vmsPerReplica) return []
  const message = `${health.fabricDomain} has ${idle} VMs without a place, and a replica of ${smallest.model} takes ${smallest.vmsPerReplica}.`
  return [cause(ExplainCauseKind.VmTooFewBeside, health.fabricDomain, message)]
}

function groupsOf (input: ExplainInput, wanted: WantedModel): number {
  return input.assignments.flatMap((assignment) => assignment.groups).filter((group) => group.team === wanted.team && group.model === wanted.model).length
}

function idleBeside (input: ExplainInput, health: VmHealth): number {
  const beside = input.vms.filter((other) => other.fabricDomain === health.fabricDomain && other.presence === VmPresence.Present)
  return new Set(beside.map((other) => other.vm).filter((vm) => findPlace(input, vm) === undefined)).size
}

/** The newest recorded decision that named the VM: why it moved. */
function lastMove (input: ExplainInput, vm: VmId): readonly ExplainCause[] {
  const last = input.decisions.filter((decision) => decision.vms.includes(vm)).at(-1)
  if (last === undefined) return []
  const message = `Last decision that names it: ${last.kind} of ${last.group ?? last.fabricDomain}: ${last.reason}.`
  return [{ ...cause(ExplainCauseKind.RepairChosen, last.group, message, last.atWallMs), rejected: last.rejected.map((way) => `${way.kind}: ${way.reason}`) }]
}
