import type { AssignmentObject, GroupId, PlannedReforms, VmId } from 'dotterelspur'

interface Reform {
  readonly sinceMs: number
  readonly oldMembers: ReadonlySet<VmId>
}

/**
 * Remembers which groups were whole when they were given a new formation. Their VMs may still run requests of the
 * old formation, and an order to form cuts those off; so they are drained first. A group that was broken has
 * nothing to finish. The wait is bounded: a request that never ends must not hold a change for ever.
 */
export class ReformWatch {
  private readonly reforms = new Map<GroupId, Reform>()

  constructor (private readonly drainMs: number) {}

  noteChange (before: AssignmentObject, after: AssignmentObject, whole: ReadonlySet<GroupId>, nowMs: number): void {
    const formations = new Map(after.groups.map((group) => [group.group, group.formation]))
    for (const group of before.groups) {
      const formation = formations.get(group.group)
      if (formation === undefined || formation === group.formation || !whole.has(group.group)) continue
      this.reforms.set(group.group, { sinceMs: nowMs, oldMembers: new Set(group.members.map((member) => member.vm)) })
    }
  }

  /** The planned changes that still hold. `isSeen` says whether a VM was looked at since a time, or can't be. */
  current (nowMs: number, isSeen: (vm: VmId, sinceMs: number) => boolean): PlannedReforms {
    for (const [group, reform] of this.reforms) {
      if (nowMs - reform.sinceMs >= this.drainMs) this.reforms.delete(group)
    }
    return new Map([...this.reforms].map(([group, { sinceMs, oldMembers }]) =>
      [group, { allSeen: [...oldMembers].every((vm) => isSeen(vm, sinceMs)) }]))
  }
}
