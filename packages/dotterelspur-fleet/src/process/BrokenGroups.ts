import { GroupState, type AssignedGroup, type AssignmentObject, type Clock, type GroupId } from 'dotterelspur'

/** How long each group has been broken on this node's clock; the wall time in the assignment decides nothing. */
export class BrokenGroups {
  private readonly sinceMs = new Map<GroupId, number>()

  constructor (private readonly clock: Clock, private readonly lostAfterMs: number) {}

  note (assignments: readonly AssignmentObject[]): void {
    const broken = new Set(assignments.flatMap((assignment) => assignment.groups).filter((group) => group.state === GroupState.Broken).map((group) => group.group))
    for (const group of this.sinceMs.keys()) {
      if (!broken.has(group)) this.sinceMs.delete(group)
    }
    for (const group of broken) {
      if (!this.sinceMs.has(group)) this.sinceMs.set(group, this.clock.nowMs())
    }
  }

  isLost (group: AssignedGroup): boolean {
    const sinceMs = this.sinceMs.get(group.group)
    return sinceMs !== undefined && this.clock.nowMs() - sinceMs >= this.lostAfterMs
  }
}
