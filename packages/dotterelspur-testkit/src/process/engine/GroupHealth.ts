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
