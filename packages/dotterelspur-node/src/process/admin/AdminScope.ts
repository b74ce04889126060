import { success, failed, type Result, type TeamId } from 'dotterelspur'
import { AdminErrorKind, readBearerToken, tokenMatches, type AdminError } from 'dotterelspur-settings'
import type { TeamDocuments } from './TeamDocuments.js'

export enum AdminScopeKind {
  /** Sees and changes everything. */
  Fleet = 'fleet',
  /** Sees and changes one team's part. */
  Team = 'team'
}

/** For whom a token speaks. */
export type AdminScope =
  | { readonly kind: AdminScopeKind.Fleet }
  | { readonly kind: AdminScopeKind.Team, readonly team: TeamId }

/** Who may use a route. */
export enum AdminAccess {
  /** Anyone who reaches the listener. */
  Open = 'open',
  /** Any operator; the answer shows a team's operator no more than its own part. */
  Operator = 'operator',
  /** The fleet's operators, and those of the team that the path names. */
  OwnTeam = 'own-team',
  Fleet = 'fleet'
}

const FLEET: AdminScope = { kind: AdminScopeKind.Fleet }

/**
 * Finds for whom the bearer token speaks. Every known hash is compared, each in constant time, so that the time
 * of a refusal tells nothing of how close a guess came.
 */
export function authenticate (authorization: string | undefined, fleetTokenHash: string, teams: TeamDocuments): Result<AdminScope, AdminError> {
  const token = readBearerToken(authorization)
  if (token === undefined) return failed(unauthorized('an Authorization header with a bearer token is needed'))
  const isFleet = tokenMatches(token, [fleetTokenHash])
  const owners = teams.entries().filter((entry) => tokenMatches(token, entry.settings?.operatorTokenHashes ?? []))
  if (isFleet) return success(FLEET)
  // A hash that two teams list speaks for neither: it can't be known whose it is.
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

/** Whether the scope may use a route whose path names `team`. The refusal doesn't tell whether the team exists. */
export function authorize (access: AdminAccess, scope: AdminScope, team: string | undefined): Result<null, AdminError> {
  if (ACCESS_RULES[access](scope, team)) return success(null)
  return failed({ kind: AdminErrorKind.Forbidden, message: 'this token speaks for one team, and this is not its part' })
}

/** Whether something that belongs to `team` is shown. */
export function canView (scope: AdminScope, team: TeamId | null): boolean {
  return scope.kind === AdminScopeKind.Fleet || scope.team === team
}

/** The name that the audit trail keeps: a team's operator can't pass for one of the fleet's. */
export function actorName (scope: AdminScope, operator: string): string {
  return scope.kind === AdminScopeKind.Fleet ? `operator:${operator}` : `operator:${scope.team}/${operator}`
}
