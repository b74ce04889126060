import { success, failed, type Result, type TeamId } from 'dotterelspur'
import { AdminErrorKind, readBearerToken, tokenMatches, type AdminError } from 'dotterelspur-settings'
import type { TeamDocuments } from './TeamDocuments.js'

export enum AdminScopeKind {
  /** May read and change everything. */
  Fleet = 'fleet',
  /** May read and change what belongs to one team. */
  Team = 'team'
}

/** The scope that a token grants. */
export type AdminScope =
  | { readonly kind: AdminScopeKind.Fleet }
  | { readonly kind: AdminScopeKind.Team, readonly team: TeamId }

/** Who may use a route. */
export enum AdminAccess {
  /** Anyone who reaches the listener. */
  Open = 'open',
  /** Any operator; a team's operators receive only what belongs to their team. */
  Operator = 'operator',
  /** The fleet's operators, and those of the team that the path names. */
  OwnTeam = 'own-team',
  Fleet = 'fleet'
}

const FLEET: AdminScope = { kind: AdminScopeKind.Fleet }

/**
 * Finds the scope that a bearer token grants. Every known hash is compared, each in constant time, so that the
 * response time of a rejection does not reveal how close a guessed token was.
 */
export function authenticate (authorization: string | undefined, fleetTokenHash: string, teams: TeamDocuments): Result<AdminScope, AdminError> {
  const token = readBearerToken(authorization)
  if (token === undefined) return failed(unauthorized('an Authorization header with a bearer token is required'))
  const isFleet = tokenMatches(token, [fleetTokenHash])
  const owners = teams.entries().filter((entry) => tokenMatches(token, entry.settings?.operatorTokenHashes ?? []))
  if (isFleet) return success(FLEET)
  // A hash listed by two teams is rejected, because the team that the token belongs to is ambiguous.
  if (owners.length !== 1) return failed(unauthorized('the token is not known'))
  return success({ kind: AdminScopeKind.Team, team: owners[0]!.team })
}

function unauthorized (message: string): AdminError {
  return { kind: AdminErrorKind.Unauthorized, message }
}

type AccessRule = (scope: AdminScope, team: string | undefined) => boolean

const ACCESS_RULES: Readonly<Record<AdminAccess, AccessRule>> = {
  [AdminAccess.Open]: () => true,
  [AdminAccess.Operator]: () => true,
  [AdminAccess.OwnTeam]: (scope, team) => scope.kind === AdminScopeKind.Fleet || scope.team === team,
  [AdminAccess.Fleet]: (scope) => scope.kind === AdminScopeKind.Fleet
}

/** Checks that the scope may use a route whose path names `team`. The error does not reveal whether the team exists. */
export function authorize (access: AdminAccess, scope: AdminScope, team: string | undefined): Result<null, AdminError> {
  if (ACCESS_RULES[access](scope, team)) return success(null)
  return failed({ kind: AdminErrorKind.Forbidden, message: 'this token is limited to one team, which may not access this resource' })
}

/** Whether the scope may read what belongs to `team`; null belongs to no team. */
export function canView (scope: AdminScope, team: TeamId | null): boolean {
  return scope.kind === AdminScopeKind.Fleet || scope.team === team
}

/** The actor recorded in the audit trail. The team in the name keeps a team's operator from posing as a fleet operator. */
export function actorName (scope: AdminScope, operator: string): string {
  return scope.kind === AdminScopeKind.Fleet ? `operator:${operator}` : `operator:${scope.team}/${operator}`
}
