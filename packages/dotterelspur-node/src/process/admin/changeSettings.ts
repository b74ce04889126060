import { AuditKind, StoreErrorKind, TEAM_PREFIX, failed, perform, success, type Procedure, type Result, type TeamId, type TeamObject, type TeamSettings } from 'dotterelspur'
import { AdminErrorKind, parseTeamSettings, readTeamObject, type AdminError, type ApplyReply, type ApplyRequest, type DeleteRequest } from 'dotterelspur-settings'
import { fromStoreError, invalidSettings, storeUnavailable } from './AdminError.js'
import { operatorAuditKey, publish, read, record, remove, write, type AdminEffect, type OperatorAuditBatch } from './AdminEffects.js'
import { AdminScopeKind, actorName, type AdminScope } from './AdminScope.js'
import type { TeamEntry } from './TeamDocuments.js'

/** The inputs for checking a settings change, other than the request itself. */
export interface ChangeContext {
  readonly team: TeamId
  readonly scope: AdminScope
  readonly wallMs: number
  /** This node's copies of the settings of all teams. */
  readonly teams: readonly TeamEntry[]
}

/** A team's settings in the store. */
interface StoredSettings {
  readonly version: number
  readonly object: TeamObject
}

type ChangeProcedure<Value> = Procedure<AdminEffect, Result<Value, AdminError>>

const DAY_MS = 86_400_000

/**
 * Applies a team's settings. The whole text is validated first, then written on the condition that the stored version
 * is still the one on which the text is based.
 *
 * The store's response to a write can be lost after the write took effect, and so can this node's response to the
 * operator. In both cases the operator sends the same request with the same change token again, to any node, which
 * finds the token in the store or in the audit trail and reports the success.
 */
export function * applySettings (request: ApplyRequest, context: ChangeContext): ChangeProcedure<ApplyReply> {
  const settings = checkSettings(request.text, context)
  if (!settings.ok) return settings
  const found = yield * readCurrent(context, request.expectedVersion)
  if (!found.ok) return found
  const current = found.value
  if ((current?.version ?? null) !== request.expectedVersion) return yield * resolveConflict(request, request.text, current, context)
  const violation = findAuthorityViolation(settings.value, current, context)
  if (violation !== null) return failed(violation)
  const body = createTeamObject(request, context)
  const key = TEAM_PREFIX + context.team
  const written = yield * perform(write(key, body, request.expectedVersion))
  if (!written.ok) return yield * resolveWriteFailure(request, request.text, written.error.kind, fromStoreError(written.error), context)
  const version = written.value.version
  yield * perform(publish({ key, version, body: written.value.body, deleted: false }))
  yield * recordChange(AuditKind.SettingsApplied, request, version, current?.object.text ?? null, request.text, context)
  return success({ team: context.team, version, repeated: false, supersededBy: null })
}

/** Deletes a team's settings, on the same condition and with the same handling of lost responses as `applySettings`. */
export function * deleteSettings (request: DeleteRequest, context: ChangeContext): ChangeProcedure<ApplyReply> {
  const found = yield * readCurrent(context, request.expectedVersion)
  if (!found.ok) return found
  const current = found.value
  if (current?.version !== request.expectedVersion) return yield * resolveConflict(request, null, current, context)
  const key = TEAM_PREFIX + context.team
  const removed = yield * perform(remove(key, request.expectedVersion))
  if (!removed.ok) return yield * resolveWriteFailure(request, null, removed.error.kind, fromStoreError(removed.error), context)
  const version = removed.value.version
  yield * perform(publish({ key, version, body: null, deleted: true }))
  yield * recordChange(AuditKind.SettingsDeleted, request, version, current.object.text, null, context)
  return success({ team: context.team, version, repeated: false, supersededBy: null })
}

/** Parses the text and checks that its team is the one that the request names. */
export function checkSettings (text: string, context: Pick<ChangeContext, 'team'>): Result<TeamSettings, AdminError> {
  const settings = parseTeamSettings(text, `${context.team}.ini`)
  if (!settings.ok) return invalidSettings(settings.error)
  if (settings.value.team === context.team) return settings
  return failed({ kind: AdminErrorKind.InvalidRequest, message: `[team] name: found "${settings.value.team}"; accepted: "${context.team}", the team under which the settings are applied` })
}

/**
 * Reads the team's settings from the store; null when there are none. Versions only increase, so a version below one
 * that this node holds or that the request expects is a stale read. It is rejected: it would cause a valid change to
 * be refused as a conflict, and the audit trail to record the wrong previous text.
 */
function * readCurrent (context: ChangeContext, expectedVersion: number | null): ChangeProcedure<StoredSettings | null> {
  const meshVersion = context.teams.find((entry) => entry.team === context.team)?.version ?? 0
  const stored = yield * perform(read(TEAM_PREFIX + context.team))
  if (!stored.ok && stored.error.kind !== StoreErrorKind.NotFound) return failed(fromStoreError(stored.error))
  if (!stored.ok) return success(null)
  const object = readTeamObject(stored.value.body)
  if (object === undefined) return failed({ kind: AdminErrorKind.Internal, message: `the value of ${TEAM_PREFIX}${context.team} in the store is not a team's settings` })
  const { version } = stored.value
  const minVersion = Math.max(meshVersion, expectedVersion ?? 0)
  if (version < minVersion) return failed(storeUnavailable(`it returned version ${version}, below ${minVersion}: the read is stale, or version ${minVersion} does not exist`))
  return success({ version, object })
}

/** Rejects token hashes that another team lists, and a raised priority unless a fleet operator applies it; null when allowed. */
function findAuthorityViolation (settings: TeamSettings, current: StoredSettings | null, context: ChangeContext): AdminError | null {
  const isTokenTaken = context.teams.some((entry) => entry.team !== context.team && sharesToken(entry, settings))
  if (isTokenTaken) return forbidden('a token hash in this text is already listed by another team')
  if (context.scope.kind === AdminScopeKind.Fleet) return null
  const before = current === null ? null : parseTeamSettings(current.object.text, context.team)
  const maxPriority = before !== null && before.ok ? before.value.priority : 0
  return settings.priority > maxPriority ? forbidden(`[team] priority: found ${settings.priority}; accepted: at most ${maxPriority}, since only fleet operators may raise a team's priority`) : null
}

function sharesToken (entry: TeamEntry, settings: TeamSettings): boolean {
  if (entry.settings === null) return false
  const otherTokenHashes = new Set([...entry.settings.callerTokenHashes, ...entry.settings.operatorTokenHashes ?? []])
  return [...settings.callerTokenHashes, ...settings.operatorTokenHashes ?? []].some((hash) => otherTokenHashes.has(hash))
}

function forbidden (message: string): AdminError {
  return { kind: AdminErrorKind.Forbidden, message }
}

function createTeamObject (request: ApplyRequest, context: ChangeContext): TeamObject {
  return {
    writeToken: request.changeToken,
    changeToken: request.changeToken,
    team: context.team,
    text: request.text,
    appliedBy: actorName(context.scope, request.operator),
    appliedAtWallMs: context.wallMs
  }
}

function * recordChange (kind: AuditKind, request: ApplyRequest | DeleteRequest, version: number, before: string | null, after: string | null, context: ChangeContext): Procedure<AdminEffect, void> {
  yield * perform(record(request.changeToken, version, {
    kind,
    atWallMs: context.wallMs,
    actor: actorName(context.scope, request.operator),
    subject: TEAM_PREFIX + context.team,
    before,
    after,
    reason: request.reason,
    rejected: []
  }))
}

/** Handles a failed write. After a conflict, reads the store again so that the error shows the current settings. */
function * resolveWriteFailure (request: ApplyRequest | DeleteRequest, refusedText: string | null, kind: StoreErrorKind, error: AdminError, context: ChangeContext): ChangeProcedure<ApplyReply> {
  if (kind !== StoreErrorKind.Conflict && kind !== StoreErrorKind.NotFound) return failed(error)
  const found = yield * readCurrent(context, request.expectedVersion)
  return found.ok ? yield * resolveConflict(request, refusedText, found.value, context) : found
}

/** Distinguishes a concurrent change by another operator from an earlier attempt at this same change whose response was lost. */
function * resolveConflict (request: ApplyRequest | DeleteRequest, refusedText: string | null, current: StoredSettings | null, context: ChangeContext): ChangeProcedure<ApplyReply> {
  if (current !== null && current.object.changeToken === request.changeToken) {
    return success({ team: context.team, version: current.version, repeated: true, supersededBy: null })
  }
  const earlier = yield * findAppliedVersion(request.changeToken, context)
  if (earlier !== null) return success({ team: context.team, version: earlier, repeated: true, supersededBy: current?.version ?? null })
  return failed({
    kind: AdminErrorKind.Conflict,
    message: describeConflict(request.expectedVersion, current),
    current: current === null ? null : { version: current.version, text: current.object.text, appliedBy: current.object.appliedBy, appliedAtWallMs: current.object.appliedAtWallMs },
    refusedText
  })
}

function describeConflict (expectedVersion: number | null, current: StoredSettings | null): string {
  const based = expectedVersion === null ? 'no settings' : `version ${expectedVersion}`
  const now = current === null ? 'there are none now' : `the current version is ${current.version}, applied by ${current.object.appliedBy}`
  return `the change is based on ${based}, but ${now}; nothing was written`
}

/** The version that an earlier attempt at this request created, if the audit trail of today or yesterday has its record. */
function * findAppliedVersion (changeToken: string, context: ChangeContext): Procedure<AdminEffect, number | null> {
  for (const wallMs of [context.wallMs, context.wallMs - DAY_MS]) {
    const stored = yield * perform(read(operatorAuditKey(wallMs, changeToken)))
    if (stored.ok) return (stored.value.body as OperatorAuditBatch).version
  }
  return null
}
