/** How the state of its members affects a group's steps. */
export enum GroupCondition {
  /** All members take part in each step. */
  Whole = 'whole',
  /** A member does not answer, and steps wait for it. */
  Stalled = 'stalled',
  /** A member is lost, and all runs with it. */
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

/** State of a member of a formation, as the leader observes it. */
export enum MemberCondition {
  Up = 'up',
  /** The member is paused. */
  Silent = 'silent',
  /** The member is dead, has restarted, or belongs to another formation. */
  Gone = 'gone'
}

export interface MemberHealth {
  readonly condition: MemberCondition
  readonly straggleMs: number
}

/** A lost member breaks the group, a silent one stalls it, and the slowest one determines its pace. */
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
