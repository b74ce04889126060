/** What a group's leader can do with its members as they are. */
export enum GroupCondition {
  /** Every member takes part in each step. */
  Whole = 'whole',
  /** A member does not answer: steps wait for it. */
  Stalled = 'stalled',
  /** A member is gone: what runs is lost. */
  Broken = 'broken'
}

export interface GroupHealth {
  readonly condition: GroupCondition
  /** Members that answer and are ready at the leader's formation. */
  readonly membersUp: number
  readonly membersDue: number
  /** Time that the slowest member adds to a step. */
  readonly straggleMs: number
}

/** How one member of a formation shows itself to the leader. */
export enum MemberCondition {
  Up = 'up',
  /** It is paused. */
  Silent = 'silent',
  /** Dead, restarted, or elsewhere. */
  Gone = 'gone'
}

export interface MemberHealth {
  readonly condition: MemberCondition
  readonly straggleMs: number
}

/** One member that is gone breaks the group; one that is silent holds it up; the slowest sets its pace. */
export function combineMembers (members: readonly MemberHealth[]): GroupHealth {
  const up = members.filter((member) => member.condition === MemberCondition.Up)
  const gone = members.some((member) => member.condition === MemberCondition.Gone)
  const incomplete = gone ? GroupCondition.Broken : GroupCondition.Stalled
  return {
    condition: up.length === members.length ? GroupCondition.Whole : incomplete,
    membersUp: up.length,
    membersDue: members.length,
    straggleMs: Math.max(0, ...up.map((member) => member.straggleMs))
  }
}
