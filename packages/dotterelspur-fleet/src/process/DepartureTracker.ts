import { EngineState, takesNewWork, type AssignmentObject, type Observations, type VmId, type VmStatus } from 'dotterelspur'

/**
 * Remembers which VMs said of themselves that they leave. An engine says the same of itself while it drains by
 * order; if that were taken for the VM's leaving, a group that drains to exchange one member would seem to lose
 * all of them, and would be formed of the same members again. So the word counts only where no drain was
 * ordered, and is kept through the drain that follows from it.
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
