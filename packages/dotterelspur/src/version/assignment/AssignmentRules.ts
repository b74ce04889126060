import type { GroupId, VmId } from '../../process/ids.js'
import { GroupState, type AssignedGroup, type AssignmentObject } from '../PlatformObjects.js'

/** Faults of an assignment, or of a change to one. */
export enum AssignmentFault {
  /** A VM is assigned twice, as a member or as a standby. */
  VmTwice = 'vm-twice',
  GroupTwice = 'group-twice',
  /** The fencing number is lower than before: the writer has lost its lease. */
  FencingFell = 'fencing-fell',
  /** A group's formation number is lower than before. */
  FormationFell = 'formation-fell',
  /** Members, model, version or adapters changed without a new formation number. */
  FormationUnchanged = 'formation-unchanged'
}

export interface AssignmentProblem {
  readonly fault: AssignmentFault
  /** The VM, group or fabric domain with the fault. */
  readonly subject: string
}

/** Checks that no VM and no group occurs twice in an assignment. */
export function checkAssignment (assignment: Pick<AssignmentObject, 'groups'>): readonly AssignmentProblem[] {
  const groups = new Set<GroupId>()
  const vms = new Set<VmId>()
  const problems: AssignmentProblem[] = []
  for (const group of assignment.groups) {
    if (groups.has(group.group)) problems.push({ fault: AssignmentFault.GroupTwice, subject: group.group })
    groups.add(group.group)
    for (const { vm } of [...group.members, ...group.standbys]) {
      if (vms.has(vm)) problems.push({ fault: AssignmentFault.VmTwice, subject: vm })
      vms.add(vm)
    }
  }
  return problems
}

/** Checks a change to an assignment before it is written, independently of the planner. An empty result permits the write. */
export function checkAssignmentChange (before: AssignmentObject | null, after: AssignmentObject): readonly AssignmentProblem[] {
  const problems = [...checkAssignment(after)]
  if (before === null) return problems
  if (after.fencing < before.fencing) problems.push({ fault: AssignmentFault.FencingFell, subject: after.fabricDomain })
  const earlier = new Map(before.groups.map((group) => [group.group, group]))
  for (const group of after.groups) {
    const previous = earlier.get(group.group)
    if (previous === undefined) continue
    if (group.formation < previous.formation) problems.push({ fault: AssignmentFault.FormationFell, subject: group.group })
    if (group.formation === previous.formation && formationContent(group) !== formationContent(previous)) {
      problems.push({ fault: AssignmentFault.FormationUnchanged, subject: group.group })
    }
  }
  return problems
}

/** Everything that may only change with a new formation number, as comparable text. */
function formationContent (group: AssignedGroup): string {
  return JSON.stringify([group.model, group.version, group.adapters, group.members.map((member) => [member.vm, member.incarnation])])
}

/** Whether a group in this state may get new work, provided its evidence shows that it is complete. */
export function takesNewWork (state: GroupState): boolean {
  return state === GroupState.Forming || state === GroupState.Serving
}
