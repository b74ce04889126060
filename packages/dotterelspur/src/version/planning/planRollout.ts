import type { GroupId, ModelId, TeamId } from '../../process/ids.js'
import type { ModelRevision, RolloutRecord } from '../PlatformObjects.js'
import { GroupState, RolloutPhase } from '../PlatformObjects.js'
import type { RolloutSettings } from '../TeamSettings.js'
import { compareText, sameRevision } from './VmTable.js'

/** A group of the model in any fabric domain, from the assignment documents and the presence evidence. */
export interface RolloutGroup {
  readonly group: GroupId
  readonly state: GroupState
  readonly revision: ModelRevision
  /** Time for which its evidence has been complete at this formation, by the observer's clock; 0 if it is not. */
  readonly healthyForMs: number
  /** Time for which it has been forming at this formation; 0 if it is not. */
  readonly formingForMs: number
  /** Percentage of failed requests at this formation; null if too few requests ran. */
  readonly errorPercent: number | null
}

export interface RolloutInput {
  readonly wallMs: number
  readonly team: TeamId
  readonly model: ModelId
  /** Revision that the settings specify. */
  readonly wanted: ModelRevision
  readonly settings: RolloutSettings
  /** A group at the new version that takes longer than this to become ready fails the rollout. */
  readonly formTimeoutMs: number
  readonly groups: readonly RolloutGroup[]
  /** The records for this team and model in all assignment documents. */
  readonly records: readonly RolloutRecord[]
}

/** The current step of a rollout; its fields go into `PlannedIntent`. */
export interface RolloutPlan {
  readonly revision: ModelRevision
  readonly changing: readonly GroupId[]
  readonly surgeOnly: boolean
  readonly rollout: RolloutRecord | null
  /** Why no further group changes now; null if one may change or none has to. */
  readonly holdReason: string | null
}

/**
 * Plans one step of a change of version or adapters. Each controller computes it from the documents that all of them read.
 * The groups change in a fixed order, and the next one may start only when those before it are healthy. A controller with
 * an older view sees less progress and therefore starts fewer changes, never more.
 *
 * A halt is recorded in the assignment objects; every controller that reads the record rolls its groups back.
 */
export function planRollout (input: RolloutInput): RolloutPlan {
  const record = input.records.find((one) => sameRevision(one.target, input.wanted) && one.phase === RolloutPhase.Halted) ??
    input.records.find((one) => sameRevision(one.target, input.wanted))
  if (record?.phase === RolloutPhase.Halted) return rollBack(input, record)
  const changed = input.groups.filter((group) => sameRevision(group.revision, input.wanted))
  const waiting = input.groups.filter((group) => !sameRevision(group.revision, input.wanted))
  if (waiting.length === 0) return { revision: input.wanted, changing: [], surgeOnly: false, rollout: null, holdReason: null }
  const previous = record?.previous ?? mostCommonRevision(waiting)
  const failure = findFailure(input, changed)
  if (failure !== null) {
    const halted: RolloutRecord = { ...createRecord(input, previous), phase: RolloutPhase.Halted, cause: failure }
    return rollBack(input, halted)
  }
  const rollout = record ?? createRecord(input, previous)
  return planStep(input, input.wanted, waiting, unhealthyGroups(input, changed), rollout)
}

function createRecord (input: RolloutInput, previous: ModelRevision | null): RolloutRecord {
  return {
    team: input.team,
    model: input.model,
    target: input.wanted,
    previous,
    phase: RolloutPhase.Running,
    cause: `settings want ${input.wanted.version}`,
    sinceWallMs: input.wallMs
  }
}

/** The revision of most groups; ties are broken by version name. */
function mostCommonRevision (groups: readonly RolloutGroup[]): ModelRevision | null {
  const counted = groups.map((group) => ({ revision: group.revision, count: groups.filter((other) => sameRevision(other.revision, group.revision)).length }))
  const sorted = counted.sort((left, right) => right.count - left.count || compareText(left.revision.version, right.revision.version))
  return sorted[0]?.revision ?? null
}

/** Why the rollout must halt: the new version fails requests, or a group does not become ready in time. Null if neither holds. */
function findFailure (input: RolloutInput, changed: readonly RolloutGroup[]): string | null {
  for (const group of changed) {
    if (group.errorPercent !== null && group.errorPercent > input.settings.maxErrorPercent) {
      return `${group.group} at ${input.wanted.version} fails ${group.errorPercent.toFixed(1)}% of its requests, more than ${input.settings.maxErrorPercent}%`
    }
    if (group.formingForMs > input.formTimeoutMs) {
      return `${group.group} at ${input.wanted.version} was not ready within ${Math.round(input.formTimeoutMs / 1000)} s`
    }
  }
  return null
}

function unhealthyGroups (input: RolloutInput, changed: readonly RolloutGroup[]): readonly RolloutGroup[] {
  return changed.filter((group) => group.state !== GroupState.Serving || group.healthyForMs < input.settings.healthyForMs)
}

function rollBack (input: RolloutInput, record: RolloutRecord): RolloutPlan {
  const revision = record.previous ?? input.wanted
  const waiting = input.groups.filter((group) => !sameRevision(group.revision, revision))
  const plan = planStep(input, revision, waiting, [], record)
  return { ...plan, holdReason: `halted: ${record.cause}` }
}

/**
 * Groups that do not serve change at once. Of the serving ones, as many change as `maxUnavailable` permits, less those that
 * are already out of service or not yet healthy. A value of 0 permits one at a time, after its replacement has been formed.
 */
function planStep (input: RolloutInput, revision: ModelRevision, waiting: readonly RolloutGroup[], pending: readonly RolloutGroup[], rollout: RolloutRecord): RolloutPlan {
  const ordered = waiting.slice().sort((left, right) => compareText(left.group, right.group))
  const notServing = ordered.filter((group) => group.state !== GroupState.Serving)
  const serving = ordered.filter((group) => group.state === GroupState.Serving)
  const surgeOnly = input.settings.maxUnavailable === 0
  const allowed = Math.max(0, Math.max(1, input.settings.maxUnavailable) - notServing.length - pending.length)
  const changingNow = serving.slice(0, allowed)
  const holdReason = waiting.length > 0 && allowed === 0 ? describeHold(input, notServing, pending) : null
  return { revision, changing: [...notServing, ...changingNow].map((group) => group.group), surgeOnly, rollout, holdReason }
}

function describeHold (input: RolloutInput, notServing: readonly RolloutGroup[], pending: readonly RolloutGroup[]): string {
  const unready = pending.map((group) => `${group.group} is not yet healthy for ${Math.round(input.settings.healthyForMs / 1000)} s`)
  const absent = notServing.map((group) => `${group.group} is ${group.state}`)
  return [...unready, ...absent].join('; ')
}
