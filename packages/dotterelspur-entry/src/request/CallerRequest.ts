import { createHash } from 'node:crypto'
import {
  OutcomeReason, PriorityClass, RequestSafety, RetryRule, failed, notRun, success,
  type ModelIntent, type Outcome, type Result, type ServiceIntent, type TeamSettings
} from 'dotterelspur'
import { z } from 'zod'
import type { EntryLimits } from '../process/EntryOptions.js'

export const NON_IDEMPOTENT_HEADER = 'dotterelspur-non-idempotent'
export const SUBMISSION_HEADER = 'dotterelspur-submission'
export const DEADLINE_HEADER = 'dotterelspur-deadline-ms'
export const PRIORITY_HEADER = 'dotterelspur-priority'
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

const MAX_KEY_LENGTH = 255
const MAX_SUBMISSION = 1_000_000

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** The request options that a caller sets by headers. */
export interface CallHeaders {
  readonly nonIdempotent: boolean
  readonly idempotencyKey: string | null
  readonly submission: number | null
  readonly deadlineMs: number
  readonly priority: PriorityClass | null
}

function invalid (message: string): Result<never, Outcome> {
  return failed(notRun(OutcomeReason.InvalidRequest, message, null))
}

const keySchema = z.string().min(1).max(MAX_KEY_LENGTH).regex(/^[\x21-\x7e]+$/, 'must be visible ASCII without spaces').nullable()
const booleanSchema = z.enum(['true', 'false'])
const prioritySchema = z.nativeEnum(PriorityClass).nullable()

function headerSchema (limits: EntryLimits) {
  return z.object({
    [NON_IDEMPOTENT_HEADER]: booleanSchema.default('false'),
    [IDEMPOTENCY_KEY_HEADER]: keySchema.default(null),
    [SUBMISSION_HEADER]: z.coerce.number().int().min(1).max(MAX_SUBMISSION).nullable().default(null),
    [DEADLINE_HEADER]: z.coerce.number().int().min(1).max(limits.maxDeadlineMs).default(limits.defaultDeadlineMs),
    [PRIORITY_HEADER]: prioritySchema.default(null)
  })
}

/** Reads the headers that callers may set. */
export class HeaderReader {
  private readonly schema: ReturnType<typeof headerSchema>

  constructor (private readonly limits: EntryLimits) {
    this.schema = headerSchema(limits)
  }

  /** How long the caller waits; the default where its headers are not valid. */
  deadlineMs (headers: Headers): number {
    const read = this.read(headers)
    return read.ok ? read.value.deadlineMs : this.limits.defaultDeadlineMs
  }

  read (headers: Headers): Result<CallHeaders, Outcome> {
    const parsed = this.schema.safeParse(headers)
    if (!parsed.success) return invalid(describeIssue(parsed.error, 'header'))
    const values = parsed.data
    return success({
      nonIdempotent: values[NON_IDEMPOTENT_HEADER] === 'true',
      idempotencyKey: values[IDEMPOTENCY_KEY_HEADER],
      submission: values[SUBMISSION_HEADER],
      deadlineMs: values[DEADLINE_HEADER],
      priority: values[PRIORITY_HEADER]
    })
  }
}

/** A chat or completion request in a common form. */
export interface ModelCall {
  /** The model name as the caller sent it. */
  readonly modelName: string
  readonly intent: ModelIntent
  readonly adapter: string | null
  readonly prompt: string
  readonly maxTokens: number
  readonly seed: number | null
  readonly stream: boolean
  readonly includeUsage: boolean
}

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal('text'), text: z.string() })).transform((parts) => parts.map((part) => part.text).join(''))
])

const commonFields = {
  model: z.string().min(1),
  max_tokens: z.number().int().min(1).nullish(),
  seed: z.number().int().nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  n: z.literal(1).nullish()
}

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(z.object({ role: z.string().min(1), content: contentSchema })).min(1),
  max_completion_tokens: z.number().int().min(1).nullish()
})

const completionSchema = z.object({
  ...commonFields,
  prompt: z.union([z.string(), z.tuple([z.string()]).transform(([only]) => only)])
})

/** Reads the body of POST /v1/chat/completions. */
export function readChat (body: unknown, team: TeamSettings): Result<ModelCall, Outcome> {
  const parsed = chatSchema.safeParse(body)
  if (!parsed.success) return invalid(describeIssue(parsed.error, 'body'))
  const { messages, max_completion_tokens: maxCompletionTokens, ...common } = parsed.data
  const prompt = messages.map((message) => `${message.role}: ${message.content}\n`).join('')
  return toModelCall({ ...common, max_tokens: maxCompletionTokens ?? common.max_tokens }, prompt, team)
}

/** Reads the body of POST /v1/completions. */
export function readCompletion (body: unknown, team: TeamSettings): Result<ModelCall, Outcome> {
  const parsed = completionSchema.safeParse(body)
  if (!parsed.success) return invalid(describeIssue(parsed.error, 'body'))
  return toModelCall(parsed.data, parsed.data.prompt, team)
}

type CommonFields = Pick<z.infer<typeof completionSchema>, 'model' | 'max_tokens' | 'seed' | 'stream' | 'stream_options'>

function toModelCall (common: CommonFields, prompt: string, team: TeamSettings): Result<ModelCall, Outcome> {
  const found = findModel(common.model, team)
  if (found === undefined) return failed(notRun(OutcomeReason.ModelNotFound, `team ${team.team} has no model ${common.model}`, null))
  const { intent, adapter } = found
  return success({
    modelName: common.model,
    intent,
    adapter,
    prompt,
    maxTokens: Math.min(common.max_tokens ?? intent.maxTokens, intent.maxTokens),
    seed: common.seed ?? null,
    stream: common.stream ?? false,
    includeUsage: common.stream_options?.include_usage ?? false
  })
}

/** Names under which a team's callers reach a model: `<model>`, or `<model>:<adapter>`. */
export function modelNames (intent: ModelIntent): string[] {
  return [intent.model, ...intent.adapters.map((adapter) => `${intent.model}:${adapter}`)]
}

function findModel (name: string, team: TeamSettings): { readonly intent: ModelIntent, readonly adapter: string | null } | undefined {
  for (const intent of team.models) {
    if (intent.model === name) return { intent, adapter: null }
    const adapter = intent.adapters.find((candidate) => `${intent.model}:${candidate}` === name)
    if (adapter !== undefined) return { intent, adapter }
  }
  return undefined
}

/** Whether a service call may be retried: the route with the longest matching path prefix decides; without one, it may not. */
export function serviceSafety (intent: ServiceIntent, method: string, path: string): RequestSafety {
  const matching = intent.routes
    .filter((route) => (route.methods.length === 0 || route.methods.includes(method)) && path.startsWith(route.pathPrefix))
    .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  return matching[0]?.retry === RetryRule.Idempotent ? RequestSafety.Idempotent : RequestSafety.NonIdempotent
}

/** Hash of a request's content, used to detect an id or key that is reused for another request. */
export function fingerprintOf (...parts: ReadonlyArray<string | Uint8Array>): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(part).update('\u0000')
  return hash.digest('base64url')
}

function describeIssue (error: z.ZodError, place: string): string {
  const issue = error.issues[0]!
  const path = issue.path.join('.')
  return `${place}${path === '' ? '' : ` ${path}`}: ${issue.message}`
}
