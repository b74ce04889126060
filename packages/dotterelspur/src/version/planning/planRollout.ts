import type { GroupId, ModelId, TeamId } from '../../process/ids.js'
import type { ModelRevision, RolloutRecord } from '../PlatformObjects.js'
import { GroupState, RolloutPhase } from '../PlatformObjects.js'
import type { RolloutSettings } from '../TeamSettings.js'
import { compareText, sameRevision } from './VmTable.js'

/** A group of the model, in whichever fabric domain, as the assignment documents and evidence show it. */
export interface RolloutGroup {
  readonly group: GroupId
  readonly state: GroupState
  readonly revision: ModelRevision
  /** For how long its evidence has been complete at this formation, on the observer's clock; 0 when it isn't. */
  readonly healthyForMs: number
  /** For how long it has been forming at this formation; 0 when it isn't. */
  readonly formingForMs: number
  /** Failed requests of 100 at this formation, null when too few ran to tell. */
  readonly errorPercent: number | null
}

export interface RolloutInput {
  readonly wallMs: number
  readonly team: TeamId
  readonly model: ModelId
  /** What the settings want. */
  readonly wanted: ModelRevision
  readonly settings: RolloutSettings
  /** A group at the new version that takes longer than this to become ready counts as failed. */
  readonly formTimeoutMs: number
  readonly groups: readonly RolloutGroup[]
  /** The records for this team and model in all assignment documents. */
  readonly records: readonly RolloutRecord[]
}

/** What one controller does about a change of version now; goes into `PlannedIntent`. */
export interface RolloutPlan {
  readonly revision: ModelRevision
  readonly changing: readonly GroupId[]
  readonly surgeOnly: boolean
  readonly rollout: RolloutRecord | null
  /** Why nothing more changes now; null when something may, or nothing has to. */
  readonly holdReason: string | null
}

/**
 * One step of a change of version or adapters, computed by each controller from the documents that all of them
 * read. The groups change in one fixed order, and the next one may start only when those before it are healthy:
 * a controller with an older view sees less progress and so starts less, never more.
 *
 * A halt is remembered in the assignment objects: whoever reads one takes its groups back to the version before.
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

/** The revision that most of the groups have; of equals the first by name. */
function mostCommonRevision (groups: readonly RolloutGroup[]): ModelRevision | null {
  const counted = groups.map((group) => ({ revision: group.revision, count: groups.filter((other) => sameRevision(other.revision, group.revision)).length }))
  const sorted = counted.sort((left, right) => right.count - left.count || compareText(left.revision.version, right.revision.version))
  return sorted[0]?.revision ?? null
}

/** Why the new version must not go further: it fails requests, or its groups don't get ready. */
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
 * Groups that are out anyway change at once; of the serving ones as many as may be out together, less those that
 * already are. `maxUnavailable` of 0 allows one at a time, and only behind a group formed for it.
 */
function planStep (input: RolloutInput, revision: ModelRevision, waiting: readonly RolloutGroup[], pending: readonly RolloutGroup[], rollout: RolloutRecord): RolloutPlan {
  const ordered = waiting.slice().sort((left, right) => compareText(left.group, right.group))
  const out = ordered.filter((group) => group.state !== GroupState.Serving)
  const serving = ordered.filter((group) => group.state === GroupState.Serving)
  const surgeOnly = input.settings.maxUnavailable === 0
  const allowed = Math.max(0, Math.max(1, input.settings.maxUnavailable) - out.length - pending.length)
  const next = serving.slice(0, allowed)
  const holdReason = waiting.length > 0 && allowed === 0 ? describeHold(input, out, pending) : null
  return { revision, changing: [...out, ...next].map((group) => group.group), surgeOnly, rollout, holdReason }
}

function describeHold (input: RolloutInput, out: readonly RolloutGroup[], pending: readonly RolloutGroup[]): string {
  const unready = pending.map((group) => `${group.group} is not yet healthy for ${Math.round(input.settings.healthyForMs / 1000)} s`)
  const absent = out.map((group) => `${group.group} is ${group.state}`)
  return [...unready, ...absent].join('; ')
}
