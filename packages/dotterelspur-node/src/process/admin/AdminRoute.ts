import { failed, success, type Result } from 'dotterelspur'
import { AdminErrorKind, AnswerSource, type AdminError } from 'dotterelspur-settings'
import type { AdminBackend, AdminServerOptions } from './AdminBackend.js'
import type { AdminAccess, AdminScope } from './AdminScope.js'
import type { TeamDocuments } from './TeamDocuments.js'

/** The state shared by all handlers. */
export interface AdminContext {
  readonly backend: AdminBackend
  readonly options: AdminServerOptions
  readonly teams: TeamDocuments
}

/** One request, after its sender was authenticated. */
export interface AdminRequest {
  readonly scope: AdminScope
  readonly params: Readonly<Record<string, string>>
  readonly query: unknown
  readonly body: unknown
}

export type AdminHandler = (request: AdminRequest, context: AdminContext) => Promise<Result<unknown, AdminError>> | Result<unknown, AdminError>

export interface AdminRoute {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly url: string
  readonly access: AdminAccess
  readonly handler: AdminHandler
}

interface Issue {
  readonly path: readonly PropertyKey[]
  readonly message: string
}

interface Schema<Value> {
  safeParse (input: unknown): { success: true, data: Value } | { success: false, error: { issues: readonly Issue[] } }
}

const MAX_ISSUES = 10

/** Parses a query or a body by its schema. */
export function parseInput<Value> (schema: Schema<Value>, input: unknown): Result<Value, AdminError> {
  const result = schema.safeParse(input)
  if (result.success) return success(result.data)
  const issues = result.error.issues.slice(0, MAX_ISSUES).map((issue) => `${issue.path.map(String).join('.') || 'request'}: ${issue.message}`)
  return failed({ kind: AdminErrorKind.InvalidRequest, message: issues.join('; ') })
}

/** Converts a duration for JSON, which has no infinity: an infinite one becomes null. */
export function finiteOrNull (valueMs: number): number | null {
  return Number.isFinite(valueMs) ? Math.round(valueMs) : null
}

/** Reply fields for data from the nodes' copies: the source, and how long ago any node last had contact with the store. */
export function meshSourceFields (backend: AdminBackend): { source: AnswerSource, storeContactAgeMs: number | null } {
  return { source: AnswerSource.Mesh, storeContactAgeMs: finiteOrNull(backend.mesh.storeContactAgeMs()) }
}

export function storeSourceFields (backend: AdminBackend): { source: AnswerSource, storeContactAgeMs: number | null } {
  return { ...meshSourceFields(backend), source: AnswerSource.Store }
}
