import { AUDIT_PREFIX, ExplainCauseKind, ExplainSubject, TEAM_PREFIX, failed, success, type AuditBatch, type AuditRecord, type ExplainCause, type Explanation, type Result } from 'dotterelspur'
import { auditQuerySchema, explainQuerySchema, type AdminError, type AuditReply, type ExplainQuery, type ExplanationReply } from 'dotterelspur-settings'
import { auditDay } from './AdminEffects.js'
import { fromStoreError, notFound } from './AdminError.js'
import { parseInput, type AdminContext, type AdminRequest, type AdminRoute } from './AdminRoute.js'
import { AdminAccess, AdminScopeKind, authorize, canView, type AdminScope } from './AdminScope.js'
import { teamOfGroup } from './fleetViews.js'

/** Routes for the audit trail, and for explanations of the state of groups, VMs and intents. */
export const AUDIT_ROUTES: readonly AdminRoute[] = [
  { method: 'GET', url: '/admin/audit', access: AdminAccess.Operator, handler: readAudit },
  { method: 'GET', url: '/admin/explain', access: AdminAccess.Operator, handler: explain }
]

async function readAudit (request: AdminRequest, context: AdminContext): Promise<Result<AuditReply, AdminError>> {
  const query = parseInput(auditQuerySchema, request.query)
  if (!query.ok) return query
  const { scope } = request
  const team = scope.kind === AdminScopeKind.Team ? scope.team : query.value.team
  if (query.value.team !== undefined && !canView(scope, query.value.team)) return forbidden(request)
  const day = query.value.day ?? auditDay(context.backend.clock.wallMs())
  const listing = await context.backend.store.list<AuditBatch>(`${AUDIT_PREFIX}${day}/`)
  if (!listing.ok) return failed(fromStoreError(listing.error))
  const records = listing.value.objects
    .flatMap((object) => object.body.records)
    .filter((record) => team === undefined || concernsTeam(record, team, context))
    .sort((left, right) => left.atWallMs - right.atWallMs)
  const newest = records.slice(-query.value.limit)
  return success({ day, truncated: newest.length < records.length, records: newest.map((record) => ({ ...record, rejected: [...record.rejected] })) })
}

/** Whether a record is about the team's settings or about a group that currently belongs to the team. */
function concernsTeam (record: AuditRecord, team: string, { backend }: AdminContext): boolean {
  if (record.subject === TEAM_PREFIX + team) return true
  return teamOfGroup(backend.mesh, record.subject) === team
}

function forbidden (request: AdminRequest): Result<never, AdminError> {
  const refusal = authorize(AdminAccess.Fleet, request.scope, undefined)
  return refusal.ok ? notFound('nothing to show') : refusal
}

type Explainers = { readonly [Subject in ExplainSubject]: (query: Extract<ExplainQuery, { subject: Subject }>, request: AdminRequest, context: AdminContext) => Promise<Result<ExplanationReply, AdminError>> }

const EXPLAINERS: Explainers = {
  [ExplainSubject.Group]: async (query, request, { backend }) => {
    if (!canView(request.scope, teamOfGroup(backend.mesh, query.name))) return forbidden(request)
    return createExplanationReply(request.scope, await backend.explain.explainGroup(query.name), `group ${query.name} is not known`)
  },
  [ExplainSubject.Vm]: async (query, request, { backend }) => {
    if (request.scope.kind !== AdminScopeKind.Fleet) return forbidden(request)
    return createExplanationReply(request.scope, await backend.explain.explainVm(query.name), `VM ${query.name} is not known`)
  },
  [ExplainSubject.Intent]: async (query, request, { backend }) => {
    if (!canView(request.scope, query.team)) return forbidden(request)
    return createExplanationReply(request.scope, await backend.explain.explainIntent(query.team, query.model), `the settings of team ${query.team} have no model ${query.model}`)
  }
}

function createExplanationReply (scope: AdminScope, explanation: Explanation | undefined, absent: string): Result<ExplanationReply, AdminError> {
  if (explanation === undefined) return notFound(absent)
  return success({ ...explanation, causes: explanation.causes.map((cause) => redactCause(scope, cause)) })
}

/** Removes the name and the resources of a competing team from a cause, unless a fleet operator reads it. */
function redactCause (scope: AdminScope, cause: ExplainCause): ExplanationReply['causes'][number] {
  if (scope.kind === AdminScopeKind.Fleet || cause.kind !== ExplainCauseKind.CompetingTeam) return { ...cause, rejected: [...cause.rejected] }
  return { ...cause, subject: null, message: 'another team has precedence, by its priority', rejected: [] }
}

async function explain (request: AdminRequest, context: AdminContext): Promise<Result<ExplanationReply, AdminError>> {
  const query = parseInput(explainQuerySchema, request.query)
  if (!query.ok) return query
  const explainer = EXPLAINERS[query.value.subject] as (query: ExplainQuery, request: AdminRequest, context: AdminContext) => Promise<Result<ExplanationReply, AdminError>>
  return await explainer(query.value, request, context)
}
