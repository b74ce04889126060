import { EngineState, takesNewWork, type AssignmentObject, type Observations, type VmId, type VmStatus } from 'dotterelspur'

/**
 * Tracks which VMs have reported on their own that they are leaving. An engine reports the same state while it executes
 * a drain order. If that counted as the VM's departure, a group that drains to replace one member would seem to lose all
 * its members, and would be formed of the same members again. So the state counts only where no drain was ordered, and
 * it is kept during the drain that it causes.
 */
export class DepartureTracker {
  private readonly incarnations = new Map<VmId, number>()

  update (assignment: AssignmentObject, observations: Observations): void {
    const undrained = new Set(assignment.groups.filter((group) => takesNewWork(group.state)).map((group) => `${group.group}/${group.formation}`))
    for (const [vm, { evidence }] of observations) {
      if (evidence !== null && evidence.status.vm === vm) this.updateStatus(evidence.status, undrained)
    }
  }

  isLeaving (vm: VmId, incarnation: number): boolean {
    return this.incarnations.get(vm) === incarnation
  }

  private updateStatus (status: VmStatus, undrained: ReadonlySet<string>): void {
    if (status.state === EngineState.Ready) this.incarnations.delete(status.vm)
    if (status.state !== EngineState.Leaving) return
    const isSelfInitiated = status.group === null || undrained.has(`${status.group}/${status.formation}`)
    if (isSelfInitiated) this.incarnations.set(status.vm, status.incarnation)
  }
}
