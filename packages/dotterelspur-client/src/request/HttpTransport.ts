import { Agent, request } from 'undici'
import { ByteCollector, OutcomeKind, OutcomeReason, failed, success, type Result } from 'dotterelspur'
import { z } from 'zod'
import { CallFailureKind, type CallFailure } from './CallFailure.js'
import { SseEventKind, SseReader } from './SseReader.js'

export interface HttpCall {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | null
}

export interface JsonAnswer {
  readonly status: number
  readonly body: unknown
}

export interface TransportOptions {
  readonly token: string
  readonly connectTimeoutMs: number
  /** Longest silence of an answer. */
  readonly idleTimeoutMs: number
}

const errorSchema = z.object({
  error: z.object({
    message: z.string(),
    type: z.nativeEnum(OutcomeReason),
    outcome: z.nativeEnum(OutcomeKind),
    retryAfterMs: z.number().nullable()
  }),
  entries: z.array(z.string()).default([])
})

const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])
const FIRST_ERROR_STATUS = 400
/** An address that is no entry's could send without end. */
const MAX_ANSWER_BYTES = 64 * 1_048_576

/** One HTTP exchange with one address, with every way to fail as a typed failure. */
export class HttpTransport {
  private readonly agent: Agent

  constructor (private readonly options: TransportOptions) {
    const { connectTimeoutMs, idleTimeoutMs } = options
    this.agent = new Agent({ connect: { timeout: connectTimeoutMs }, headersTimeout: idleTimeoutMs, bodyTimeout: idleTimeoutMs })
  }

  async json (call: HttpCall): Promise<Result<JsonAnswer, CallFailure>> {
    try {
      const response = await this.send(call)
      const text = await readText(response.body)
      return response.statusCode < FIRST_ERROR_STATUS || response.headers['dotterelspur-outcome'] === OutcomeKind.Answered
        ? success({ status: response.statusCode, body: parseJson(text) })
        : failed(readRefusal(response.statusCode, text))
    } catch (error) {
      return failed(toFailure(error))
    }
  }

  /** The data of an event stream's events. Returns nothing at the end mark, a failure at anything else. */
  async * stream (call: HttpCall): AsyncGenerator<string, CallFailure | undefined> {
    try {
      const response = await this.send(call)
      if (response.statusCode >= FIRST_ERROR_STATUS) return readRefusal(response.statusCode, await readText(response.body))
      const reader = new SseReader()
      for await (const bytes of response.body) {
        for (const event of reader.push(bytes as Uint8Array)) {
          if (event.kind === SseEventKind.Done) return undefined
          if (event.kind === SseEventKind.Error) return readRefusal(response.statusCode, event.data)
          yield event.data
        }
      }
      return { kind: CallFailureKind.Broken, message: 'the stream ended without its end mark' }
    } catch (error) {
      return toFailure(error)
    }
  }

  close (): Promise<void> {
    return this.agent.close()
  }

  private send ({ address, method, path, headers, body }: HttpCall) {
    return request(`${address}${path}`, {
      dispatcher: this.agent,
      method: method as 'GET',
      headers: { authorization: `Bearer ${this.options.token}`, ...headers },
      body
    })
  }
}

/** Rejects, and closes the connection, beyond the limit. */
async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  const bytes = new ByteCollector()
  for await (const chunk of body) {
    bytes.push(chunk)
    if (bytes.sizeBytes > MAX_ANSWER_BYTES) throw new Error(`an answer of more than ${MAX_ANSWER_BYTES} bytes`)
  }
  return bytes.take().toString('utf8')
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

function readRefusal (status: number, text: string): CallFailure {
  const parsed = errorSchema.safeParse(parseJson(text))
  if (!parsed.success) return { kind: CallFailureKind.Malformed, message: `status ${status} without the system's error body` }
  const { error, entries } = parsed.data
  return { kind: CallFailureKind.Refused, status, outcome: error.outcome, reason: error.type, message: error.message, retryAfterMs: error.retryAfterMs, entries }
}

function toFailure (error: unknown): CallFailure {
  const { code = '', message = String(error) } = error as { code?: string, message?: string }
  return { kind: NOT_SENT_CODES.has(code) ? CallFailureKind.NotSent : CallFailureKind.Broken, message: `${code} ${message}`.trim() }
}
