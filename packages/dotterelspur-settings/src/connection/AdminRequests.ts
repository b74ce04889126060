import { z } from 'zod'
import { ExplainSubject } from 'dotterelspur'
import { MAX_SETTINGS_BYTES } from '../process/SettingsText.js'

/**
 * JSON requests that `dotterelctl` sends to a node's operators' listener. The node validates the requests that it
 * receives by these schemas.
 */

/** Maximum size of a request body: enough for a settings text of maximum size in which JSON escapes every character. */
export const MAX_ADMIN_BODY_BYTES = 2 * MAX_SETTINGS_BYTES + 16_384
const MAX_NAME_LENGTH = 64
const MAX_REASON_LENGTH = 500
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._@-]*$/
const CHANGE_TOKEN_PATTERN = /^[A-Za-z0-9_-]{16,64}$/
// eslint-disable-next-line no-control-regex
const PLAIN_PATTERN = /^[^\u0000-\u001f\u007f-\u009f]*$/

/** The operator and the reason of a change, which are recorded in the audit trail, and its change token. */
const changeMetadata = {
  operator: z.string().max(MAX_NAME_LENGTH).regex(NAME_PATTERN),
  reason: z.string().max(MAX_REASON_LENGTH).regex(PLAIN_PATTERN).default(''),
  /** Unique to this change, so that a retry is recognized after the first response was lost. */
  changeToken: z.string().regex(CHANGE_TOKEN_PATTERN)
}

const settingsText = z.string().max(MAX_SETTINGS_BYTES)
const versionNumber = z.number().int().positive()

export const applyRequestSchema = z.strictObject({
  ...changeMetadata,
  text: settingsText,
  /** The version on which the text is based; null when the team has no settings yet. */
  expectedVersion: versionNumber.nullable()
})
export type ApplyRequest = z.output<typeof applyRequestSchema>

export const deleteRequestSchema = z.strictObject({ ...changeMetadata, expectedVersion: versionNumber })
export type DeleteRequest = z.output<typeof deleteRequestSchema>

export const textRequestSchema = z.strictObject({ text: settingsText })
export type TextRequest = z.output<typeof textRequestSchema>

export const drainRequestSchema = z.strictObject(changeMetadata)
export type DrainRequest = z.output<typeof drainRequestSchema>

/** The kinds of target that can be drained. */
export enum DrainTargetKind {
  Vm = 'vm',
  Group = 'group',
  Node = 'node'
}

const MAX_QUERY_TIMEOUT_MS = 30_000
const MAX_AUDIT_RECORDS = 1_000
const DEFAULT_AUDIT_RECORDS = 200
const DEFAULT_IN_FORCE_TIMEOUT_MS = 1_000

export const inForceQuerySchema = z.strictObject({
  version: z.coerce.number().int().positive().optional(),
  timeoutMs: z.coerce.number().int().min(10).max(MAX_QUERY_TIMEOUT_MS).default(DEFAULT_IN_FORCE_TIMEOUT_MS)
})

export const auditQuerySchema = z.strictObject({
  day: z.string().regex(/^\d{4}-\d{2}-\d{2}$/).optional(),
  team: z.string().max(MAX_NAME_LENGTH).optional(),
  /** Maximum number of records, the newest ones. */
  limit: z.coerce.number().int().min(1).max(MAX_AUDIT_RECORDS).default(DEFAULT_AUDIT_RECORDS)
})

export const explainQuerySchema = z.discriminatedUnion('subject', [
  z.strictObject({ subject: z.literal(ExplainSubject.Group), name: z.string().max(200) }),
  z.strictObject({ subject: z.literal(ExplainSubject.Vm), name: z.string().max(200) }),
  z.strictObject({ subject: z.literal(ExplainSubject.Intent), team: z.string().max(200), model: z.string().max(200) })
])
export type ExplainQuery = z.output<typeof explainQuerySchema>
