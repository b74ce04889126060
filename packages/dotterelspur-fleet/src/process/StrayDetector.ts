import { DecisionKind, type AssignedGroup, type AssignmentObject, type Decision, type ObservedVm, type VmId, type VmStatus } from 'dotterelspur'

/**
 * Detects a member that was at its assigned formation and has left it, under the same incarnation and without an order of
 * this controller: an order of an earlier lease holder has reached an engine that doesn't check fencing numbers. The
 * group is out of service at once, since its evidence is incomplete, and the decision made here records the reason. The
 * order that brings the member back follows from its status, as for any member that isn't at its formation.
 */
export class StrayDetector {
  private readonly confirmedAssignments = new Map<VmId, string>()

  check (assignment: AssignmentObject, observed: ReadonlyMap<VmId, ObservedVm>, wallMs: number): readonly Decision[] {
    const strays: Decision[] = []
    for (const group of assignment.groups) {
      for (const member of group.members) {
        const status = observed.get(member.vm)?.status
        if (status === undefined || status.incarnation !== member.incarnation) continue
        const assigned = `${group.group}/${group.formation}/${member.incarnation}`
        if (status.group === group.group && status.formation === group.formation) {
          this.confirmedAssignments.set(member.vm, assigned)
          continue
        }
        if (this.confirmedAssignments.get(member.vm) !== assigned) continue
        this.confirmedAssignments.delete(member.vm)
        strays.push(strayDecision(assignment, group, status, wallMs))
      }
    }
    return strays
  }
}

function strayDecision (assignment: AssignmentObject, group: AssignedGroup, status: VmStatus, wallMs: number): Decision {
  const location = status.group === null ? 'in no group' : `at formation ${status.formation} of ${status.group}`
  return {
    kind: DecisionKind.Break,
    fabricDomain: assignment.fabricDomain,
    group: group.group,
    vms: [status.vm],
    reason: `${status.vm} was at formation ${group.formation} and is ${location} without an order of this controller: ` +
      'an earlier holder\'s order reached it late; it is ordered back',
    score: null,
    rejected: [],
    atWallMs: wallMs
  }
}
