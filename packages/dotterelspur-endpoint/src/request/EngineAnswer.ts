import { EndpointErrorKind } from 'dotterelspur'
import type { EndpointError } from 'dotterelspur'
import { z } from 'zod'
import { ExchangePhase } from './Exchange.js'
import type { ExchangeFailure } from './Exchange.js'

const DEFAULT_RETRY_AFTER_MS = 1_000

/** The body of every answer in which an engine says no. */
const ENGINE_ERROR = z.object({
  error: z.object({
    kind: z.string(),
    reason: z.string().default(''),
    retryAfterMs: z.number().nonnegative().default(DEFAULT_RETRY_AFTER_MS),
    highestFencing: z.number().int().nonnegative().optional()
  })
})

type EngineErrorFields = z.infer<typeof ENGINE_ERROR>['error']
type ErrorReader = (fields: EngineErrorFields, status: number) => EndpointError | undefined

/** What an engine says in so many words; each refusal in this table is made before anything runs. */
const ERROR_READERS: Readonly<Record<string, ErrorReader>> = {
  'wrong-formation': ({ reason }) => ({ kind: EndpointErrorKind.WrongFormation, reason }),
  fenced: ({ highestFencing }) => highestFencing === undefined ? undefined : { kind: EndpointErrorKind.Fenced, highestFencing },
  refused: ({ reason, retryAfterMs }) => ({ kind: EndpointErrorKind.Refused, reason, retryAfterMs }),
  'not-run': ({ reason }) => ({ kind: EndpointErrorKind.NotRun, reason }),
  malformed: ({ reason }) => ({ kind: EndpointErrorKind.NotRun, reason: `the engine does not take the request: ${reason}` }),
  failed: ({ reason }, status) => ({ kind: EndpointErrorKind.Failed, reason, status })
}

/** Reads an answer other than 200. One that is not the engine's own word says nothing about whether it ran. */
export function readEngineError (status: number, body: Buffer): EndpointError {
  const fields = parseError(body)
  const error = fields === undefined ? undefined : ERROR_READERS[fields.kind]?.(fields, status)
  return error ?? { kind: EndpointErrorKind.Ambiguous, reason: `status ${status} without the engine's own error` }
}

function parseError (body: Buffer): EngineErrorFields | undefined {
  const parsed = ENGINE_ERROR.safeParse(parseJson(body))
  return parsed.success ? parsed.data.error : undefined
}

/** Undefined for what is no JSON. */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
}

/**
 * What a broken exchange proves. Only one that never left the queue was certainly not run; a caller that is told
 * "not run" wrongly would send a loan request or a claim line twice.
 */
export function readExchangeFailure (failure: ExchangeFailure): EndpointError {
  const kind = failure.phase === ExchangePhase.Queued ? EndpointErrorKind.NotRun : EndpointErrorKind.Ambiguous
  return { kind, reason: failure.reason }
}
