import { NodeState, StoreErrorKind, TEAM_PREFIX, failed, runProcedure, success, type Result } from 'dotterelspur'
import { applyRequestSchema, deleteRequestSchema, diffSettings, inForceQuerySchema, readTeamObject, textRequestSchema, type AdminError, type DiffReply, type InForceReply, type TeamDocument, type TeamList, type ValidateReply } from 'dotterelspur-settings'
import { createAdminHandlers, type AdminEffect } from './AdminEffects.js'
import { fromStoreError, invalidSettings, notFound } from './AdminError.js'
import { meshSourceFields, storeSourceFields, parseInput, type AdminContext, type AdminRequest, type AdminRoute } from './AdminRoute.js'
import { AdminAccess, canView } from './AdminScope.js'
import { applySettings, checkSettings, deleteSettings, type ChangeContext } from './changeSettings.js'

/** Routes to list, read, validate, compare, apply and delete teams' settings, and to find the nodes where they are in force. */
export const SETTINGS_ROUTES: readonly AdminRoute[] = [
  { method: 'GET', url: '/admin/teams', access: AdminAccess.Operator, handler: listTeams },
  { method: 'GET', url: '/admin/teams/:team/settings', access: AdminAccess.OwnTeam, handler: getSettings },
  { method: 'PUT', url: '/admin/teams/:team/settings', access: AdminAccess.OwnTeam, handler: putSettings },
  { method: 'DELETE', url: '/admin/teams/:team/settings', access: AdminAccess.OwnTeam, handler: removeSettings },
  { method: 'POST', url: '/admin/teams/:team/settings/validate', access: AdminAccess.OwnTeam, handler: validateSettings },
  { method: 'POST', url: '/admin/teams/:team/settings/diff', access: AdminAccess.OwnTeam, handler: compareSettings },
  { method: 'GET', url: '/admin/teams/:team/in-force', access: AdminAccess.OwnTeam, handler: readInForce }
]

function teamOf (request: AdminRequest): string {
  return request.params['team']!
}

function listTeams (request: AdminRequest, { backend, teams }: AdminContext): Result<TeamList, AdminError> {
  const listed = teams.entries()
    .filter((entry) => canView(request.scope, entry.team))
    .map(({ team, version, object, settings }) => ({ team, version, appliedBy: object.appliedBy, appliedAtWallMs: object.appliedAtWallMs, valid: settings !== null }))
  return success({ ...meshSourceFields(backend), teams: listed })
}

/** The settings in the store; this node's copy while the store is out or returns an older version. */
async function findSettings (team: string, { backend, teams }: AdminContext): Promise<Result<TeamDocument, AdminError>> {
  const stored = await backend.store.get<unknown>(TEAM_PREFIX + team)
  const localCopy = teams.find(team)
  if (stored.ok && stored.value.version >= (localCopy?.version ?? 0)) {
    const object = readTeamObject(stored.value.body)
    if (object !== undefined) return success({ ...storeSourceFields(backend), ...describe(team, stored.value.version, object) })
  }
  if (!stored.ok && stored.error.kind === StoreErrorKind.NotFound) return notFound(`team ${team} has no settings`)
  if (localCopy !== undefined) return success({ ...meshSourceFields(backend), ...describe(team, localCopy.version, localCopy.object) })
  return stored.ok ? notFound(`team ${team} has no readable settings`) : failed(fromStoreError(stored.error))
}

function describe (team: string, version: number, { text, appliedBy, appliedAtWallMs }: { text: string, appliedBy: string, appliedAtWallMs: number }) {
  return { team, version, text, appliedBy, appliedAtWallMs }
}

function getSettings (request: AdminRequest, context: AdminContext): Promise<Result<TeamDocument, AdminError>> {
  return findSettings(teamOf(request), context)
}

function changeContext (request: AdminRequest, { backend, teams }: AdminContext): ChangeContext {
  return { team: teamOf(request), scope: request.scope, wallMs: backend.clock.wallMs(), teams: teams.entries() }
}

async function putSettings (request: AdminRequest, context: AdminContext): Promise<Result<unknown, AdminError>> {
  const input = parseInput(applyRequestSchema, request.body)
  if (!input.ok) return input
  return runProcedure<AdminEffect, Result<unknown, AdminError>>(applySettings(input.value, changeContext(request, context)), createAdminHandlers(context.backend))
}

async function removeSettings (request: AdminRequest, context: AdminContext): Promise<Result<unknown, AdminError>> {
  const input = parseInput(deleteRequestSchema, request.body)
  if (!input.ok) return input
  return runProcedure<AdminEffect, Result<unknown, AdminError>>(deleteSettings(input.value, changeContext(request, context)), createAdminHandlers(context.backend))
}

function validateSettings (request: AdminRequest): Result<ValidateReply, AdminError> {
  const input = parseInput(textRequestSchema, request.body)
  if (!input.ok) return input
  const settings = checkSettings(input.value.text, { team: teamOf(request) })
  if (!settings.ok) return settings
  return success({ team: settings.value.team, models: settings.value.models.length, services: settings.value.services.length })
}

async function compareSettings (request: AdminRequest, context: AdminContext): Promise<Result<DiffReply, AdminError>> {
  const input = parseInput(textRequestSchema, request.body)
  if (!input.ok) return input
  const team = teamOf(request)
  const settings = checkSettings(input.value.text, { team })
  if (!settings.ok) return settings
  const current = await findSettings(team, context)
  if (!current.ok && current.error.kind !== 'not-found') return current
  const changes = diffSettings(current.ok ? current.value.text : '', input.value.text, `${team}.ini`)
  if (!changes.ok) return invalidSettings(changes.error)
  const source = current.ok ? { source: current.value.source, storeContactAgeMs: current.value.storeContactAgeMs } : storeSourceFields(context.backend)
  return success({ ...source, team, version: current.ok ? current.value.version : null, changes: [...changes.value] })
}

async function readInForce (request: AdminRequest, { backend }: AdminContext): Promise<Result<InForceReply, AdminError>> {
  const query = parseInput(inForceQuerySchema, request.query)
  if (!query.ok) return query
  const team = teamOf(request)
  const key = TEAM_PREFIX + team
  const version = query.value.version ?? backend.mesh.document(key)?.version
  if (version === undefined) return notFound(`team ${team} has no settings`)
  const reports = new Map((await backend.mesh.inForce(key, query.value.timeoutMs)).map((report) => [report.node, report.version]))
  const members = backend.mesh.members()
  const liveMembers = members.filter((member) => !isAbsent(member.state))
  const missing = liveMembers.filter((member) => (reports.get(member.node) ?? 0) < version)
  return success({
    team,
    version,
    inForce: liveMembers.filter((member) => !missing.includes(member)).map((member) => member.node),
    missing: missing.map((member) => ({ node: member.node, state: member.state, version: reports.get(member.node) ?? null })),
    absent: members.filter((member) => isAbsent(member.state)).map((member) => member.node)
  })
}

function isAbsent (state: NodeState): boolean {
  return state === NodeState.Dead || state === NodeState.Left
}
