import type { VmId } from '../../process/ids.js'
import type { ExplainCause, Explanation } from '../ExplainPort.js'
import { ExplainCauseKind, ExplainSubject } from '../ExplainPort.js'
import type { VmHealth } from '../planning/PlanningInput.js'
import { VmPresence } from '../planning/PlanningInput.js'
import { createCause, formatSeconds, storeCauses, toWallMs } from './causes.js'
import type { ExplainInput, PlacedGroup, WantedModel } from './ExplainInput.js'
import { findPlace, findVm } from './ExplainInput.js'

/** Explains to which group a VM is assigned, or why to none. Undefined if it is neither listed, nor assigned, nor named by a decision. */
export function explainVm (input: ExplainInput, vm: VmId): Explanation | undefined {
  const health = findVm(input, vm)
  const place = findPlace(input, vm)
  if (health === undefined && place === undefined) return explainUnlistedVm(input, vm)
  const healthProblems = health === undefined ? [unlistedCause(vm)] : healthCauses(input, health)
  const causes = [
    ...listCauses(input, vm),
    ...healthProblems,
    ...(place === undefined ? idleCauses(input, health) : [placeCause(place, vm)]),
    ...lastDecisionCauses(input, vm),
    ...storeCauses(input)
  ]
  const satisfied = place !== undefined && healthProblems.length === 0
  return { subject: ExplainSubject.Vm, name: vm, satisfied, summary: summarise(vm, place, causes), causes }
}

/** Explains a VM that is neither listed nor assigned from the decisions that name it. Operators ask most often about VMs that have died and left the list. */
function explainUnlistedVm (input: ExplainInput, vm: VmId): Explanation | undefined {
  const decisionCauses = lastDecisionCauses(input, vm)
  if (decisionCauses.length === 0) return undefined
  const absent = createCause(ExplainCauseKind.VmAbsent, vm, `VM ${vm} is no longer listed or assigned.`)
  return { subject: ExplainSubject.Vm, name: vm, satisfied: false, summary: absent.message, causes: [absent, ...decisionCauses, ...storeCauses(input)] }
}

function summarise (vm: VmId, place: PlacedGroup | undefined, causes: readonly ExplainCause[]): string {
  if (place !== undefined && causes[0] !== undefined) return causes[0].message
  return `${vm} is idle: ${causes[0]?.message ?? 'no cause is recorded here.'}`
}

function unlistedCause (vm: VmId): ExplainCause {
  return createCause(ExplainCauseKind.VmAbsent, vm, `VM ${vm} is assigned, but in no list that this node has read.`)
}

function listCauses (input: ExplainInput, vm: VmId): readonly ExplainCause[] {
  return input.listedTwice.includes(vm) ? [createCause(ExplainCauseKind.VmListedTwice, vm, `The platform lists VM ${vm} more than once; the highest incarnation counts.`)] : []
}

function healthCauses (input: ExplainInput, health: VmHealth): readonly ExplainCause[] {
  const causes: ExplainCause[] = []
  if (health.presence === VmPresence.Absent) causes.push(absentCause(input, health))
  if (health.leaving) causes.push(createCause(ExplainCauseKind.VmLeaving, health.vm, `VM ${health.vm} is leaving.`))
  if (health.drained || input.drained.includes(health.vm)) causes.push(createCause(ExplainCauseKind.OperatorDrain, health.vm, `An operator has drained VM ${health.vm}.`))
  if (health.straggling) causes.push(createCause(ExplainCauseKind.VmStraggling, health.vm, `VM ${health.vm} slows its group down.`))
  return causes
}

function absentCause (input: ExplainInput, health: VmHealth): ExplainCause {
  const sinceMs = health.absentSinceMs
  if (sinceMs === null) return createCause(ExplainCauseKind.VmAbsent, health.vm, `VM ${health.vm} is absent.`)
  return createCause(ExplainCauseKind.VmAbsent, health.vm, `VM ${health.vm} has been absent for ${formatSeconds(input.nowMs - sinceMs)}.`, toWallMs(input, sinceMs))
}

function placeCause ({ group }: PlacedGroup, vm: VmId): ExplainCause {
  const rank = group.members.findIndex((member) => member.vm === vm)
  if (rank >= 0) return createCause(ExplainCauseKind.VmAssigned, group.group, `VM ${vm} is rank ${rank} of ${group.group} at formation ${group.formation}, which is ${group.state}.`, group.sinceWallMs)
  const order = group.standbys.findIndex((standby) => standby.vm === vm)
  return createCause(ExplainCauseKind.VmStandby, group.group, `VM ${vm} is standby ${order + 1} of ${group.group}.`, group.sinceWallMs)
}

/** Why a present VM is not assigned: no further group is wanted, or its fabric domain has too few idle VMs for one. */
function idleCauses (input: ExplainInput, health: VmHealth | undefined): readonly ExplainCause[] {
  if (health === undefined || health.presence !== VmPresence.Present) return []
  const missing = input.wanted.filter((wanted) => groupsOf(input, wanted) < wanted.replicas)
  if (missing.length === 0) return [createCause(ExplainCauseKind.VmNotWanted, health.fabricDomain, 'Every replica that the teams want already has a group.')]
  const idle = countIdleVms(input, health)
  const smallest = missing.reduce((least, wanted) => wanted.vmsPerReplica < least.vmsPerReplica ? wanted : least)
  if (idle >= smallest.vmsPerReplica) return []
  const message = `${health.fabricDomain} has ${idle} VMs without a place, and a replica of ${smallest.model} takes ${smallest.vmsPerReplica}.`
  return [createCause(ExplainCauseKind.VmTooFewBeside, health.fabricDomain, message)]
}

function groupsOf (input: ExplainInput, wanted: WantedModel): number {
  return input.assignments.flatMap((assignment) => assignment.groups).filter((group) => group.team === wanted.team && group.model === wanted.model).length
}

function countIdleVms (input: ExplainInput, health: VmHealth): number {
  const presentVms = input.vms.filter((other) => other.fabricDomain === health.fabricDomain && other.presence === VmPresence.Present)
  return new Set(presentVms.map((other) => other.vm).filter((vm) => findPlace(input, vm) === undefined)).size
}

/** The latest recorded decision that names the VM. */
function lastDecisionCauses (input: ExplainInput, vm: VmId): readonly ExplainCause[] {
  const last = input.decisions.filter((decision) => decision.vms.includes(vm)).at(-1)
  if (last === undefined) return []
  const message = `Latest decision about the VM: ${last.kind} of ${last.group ?? last.fabricDomain}: ${last.reason}.`
  return [{ ...createCause(ExplainCauseKind.RepairChosen, last.group, message, last.atWallMs), rejected: last.rejected.map((option) => `${option.kind}: ${option.reason}`) }]
}
