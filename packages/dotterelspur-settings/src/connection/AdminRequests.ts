import { z } from 'zod'
import { ExplainSubject } from 'dotterelspur'
import { MAX_SETTINGS_BYTES } from '../process/SettingsText.js'

/**
 * What `dotterelctl` asks of the operators' listener of a node, as JSON. The node checks what it receives
 * against these schemas.
 */

/** Largest body of a request: the text with every character escaped would still fit. */
export const MAX_ADMIN_BODY_BYTES = 2 * MAX_SETTINGS_BYTES + 16_384
const MAX_NAME_LENGTH = 64
const MAX_REASON_LENGTH = 500
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._@-]*$/
const CHANGE_TOKEN_PATTERN = /^[A-Za-z0-9_-]{16,64}$/
// eslint-disable-next-line no-control-regex
const PLAIN_PATTERN = /^[^\u0000-\u001f\u007f-\u009f]*$/

/** Who asks for a change and why: kept in the audit trail. */
const changeMetadata = {
  operator: z.string().max(MAX_NAME_LENGTH).regex(NAME_PATTERN),
  reason: z.string().max(MAX_REASON_LENGTH).regex(PLAIN_PATTERN).default(''),
  /** No other change has it: a change whose answer was lost is recognised by it. */
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

/** What can be drained. */
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
  /** The newest so many. */
  limit: z.coerce.number().int().min(1).max(MAX_AUDIT_RECORDS).default(DEFAULT_AUDIT_RECORDS)
})

export const explainQuerySchema = z.discriminatedUnion('subject', [
  z.strictObject({ subject: z.literal(ExplainSubject.Group), name: z.string().max(200) }),
  z.strictObject({ subject: z.literal(ExplainSubject.Vm), name: z.string().max(200) }),
  z.strictObject({ subject: z.literal(ExplainSubject.Intent), team: z.string().max(200), model: z.string().max(200) })
])
export type ExplainQuery = z.output<typeof explainQuerySchema>
