import { GroupState, type AssignedGroup, type AssignmentObject, type Clock, type GroupId, type GroupPresence } from 'dotterelspur'

interface Ages {
  readonly formation: number
  readonly state: GroupState
  /** When this node first observed the group in this state. */
  readonly stateSinceMs: number
  /** Since when the evidence has shown the group complete at this formation without interruption; null when it isn't complete. */
  readonly completeSinceMs: number | null
}

/** How long each group has been in its state, on this node's own monotonic clock; the wall times in assignments aren't used. */
export class GroupAges {
  private ages: ReadonlyMap<GroupId, Ages> = new Map()

  constructor (private readonly clock: Clock, private readonly lostAfterMs: number, private readonly evidenceTtlMs: number) {}

  update (assignments: readonly AssignmentObject[], presence: ReadonlyMap<GroupId, GroupPresence>): void {
    const next = new Map<GroupId, Ages>()
    for (const group of assignments.flatMap((assignment) => assignment.groups)) next.set(group.group, this.age(group, presence.get(group.group)))
    this.ages = next
  }

  /** Whether the group has been broken for so long that its repair is no longer likely. */
  isLost (group: AssignedGroup): boolean {
    return this.inStateMs(group, GroupState.Broken) >= this.lostAfterMs
  }

  formingForMs (group: AssignedGroup): number {
    return this.inStateMs(group, GroupState.Forming)
  }

  healthyForMs (group: AssignedGroup): number {
    const sinceMs = this.ages.get(group.group)?.completeSinceMs ?? null
    return sinceMs === null ? 0 : this.clock.nowMs() - sinceMs
  }

  private inStateMs (group: AssignedGroup, state: GroupState): number {
    const ages = this.ages.get(group.group)
    return ages === undefined || ages.state !== state ? 0 : this.clock.nowMs() - ages.stateSinceMs
  }

  private age (group: AssignedGroup, evidence: GroupPresence | undefined): Ages {
    const nowMs = this.clock.nowMs()
    const before = this.ages.get(group.group)
    const sameFormation = before?.formation === group.formation
    const isComplete = evidence !== undefined && evidence.complete && evidence.formation === group.formation && evidence.ageMs < this.evidenceTtlMs
    return {
      formation: group.formation,
      state: group.state,
      stateSinceMs: sameFormation && before.state === group.state ? before.stateSinceMs : nowMs,
      completeSinceMs: isComplete ? (sameFormation ? before.completeSinceMs : null) ?? nowMs : null
    }
  }
}
