import { randomBytes } from 'node:crypto'
import { RequestSafety, createRandom, failed, success, type Result } from 'dotterelspur'
import { z } from 'zod'
import { CallFailureKind, type CallFailure } from '../request/CallFailure.js'
import { CallRun, type CallContext } from '../request/CallRun.js'
import { ClientRetryBudget, DEFAULT_RETRY_OPTIONS } from '../request/decideRetry.js'
import { HttpTransport, type HttpCall } from '../request/HttpTransport.js'
import { DEFAULT_CONNECT_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS, type ClientOptions } from './ClientOptions.js'
import { DirectoryCache } from './DirectoryCache.js'
import { SystemClock, TimerHold } from 'dotterelspur-clock'

export interface ChatMessage {
  readonly role: string
  readonly content: string
}

export interface ChatRequest {
  readonly model: string
  readonly messages: readonly ChatMessage[]
  readonly maxTokens?: number
  readonly safety?: RequestSafety
  readonly deadlineMs?: number
}

export interface ServiceCall {
  readonly service: string
  readonly path: string
  readonly method: string
  readonly body?: unknown
  readonly safety: RequestSafety
}

export interface ServiceAnswer {
  readonly status: number
  readonly body: unknown
}

const SEED_RANGE = 2 ** 31
const JSON_HEADERS = { 'content-type': 'application/json' }

const deltaSchema = z.object({ choices: z.array(z.object({ delta: z.object({ content: z.string().default('') }) })) })

/**
 * A caller of the system: keeps the directory, chooses addresses, and repeats what can be repeated safely.
 *
 * Whole answers only: a stream that ends without its end mark is a failure, and an idempotent one is continued by
 * another call with the same seed, whose beginning must agree with what has been given out already.
 */
export class DotterelspurClient {
  private readonly context: CallContext

  constructor (options: ClientOptions) {
    const { clock = new SystemClock(TimerHold.LetsProcessEnd), random = createRandom(randomBytes(4).readInt32LE()) } = options
    const { connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS, idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS } = options
    const transport = new HttpTransport({ token: options.token, connectTimeoutMs, idleTimeoutMs })
    const caller = options.caller ?? randomBytes(8).toString('hex')
    const directory = new DirectoryCache(transport, clock, { seeds: options.addresses, failureDomain: options.failureDomain ?? null, caller })
    const retry = { ...DEFAULT_RETRY_OPTIONS, ...options.retry }
    this.context = { transport, directory, clock, random, retry, budget: new ClientRetryBudget(retry.budgetPercent) }
  }

  /** The whole text of an answer. `onText` is given it as it comes, each part once. */
  async chat (request: ChatRequest, onText: (text: string) => void = () => {}): Promise<Result<string, CallFailure>> {
    const seed = this.context.random.integer(SEED_RANGE)
    const given: GivenText = { text: '' }
    const run = new CallRun<string>(this.context, request.safety ?? RequestSafety.Idempotent, (entry, headers) =>
      this.streamOnce(chatCall(entry.address, headers, request, seed), given, onText))
    return run.run()
  }

  /** A call to a plain service; what the service answers is passed on, whatever its status. */
  async callService ({ service, path, method, body, safety }: ServiceCall): Promise<Result<ServiceAnswer, CallFailure>> {
    const run = new CallRun<ServiceAnswer>(this.context, safety, (entry, headers) => this.context.transport.json({
      address: entry.address,
      method,
      path: `/services/${service}${path}`,
      headers: body === undefined ? headers : { ...JSON_HEADERS, ...headers },
      body: body === undefined ? null : JSON.stringify(body)
    }))
    return run.run()
  }

  close (): Promise<void> {
    return this.context.transport.close()
  }

  private async streamOnce (call: HttpCall, given: GivenText, onText: (text: string) => void): Promise<Result<string, CallFailure>> {
    let text = ''
    const stream = this.context.transport.stream(call)
    for (let step = await stream.next(); ; step = await stream.next()) {
      if (step.done === true) return step.value === undefined ? success(text) : failed(step.value)
      const delta = readDelta(step.value)
      if (delta === undefined) return failed({ kind: CallFailureKind.Malformed, message: 'an event is not a chunk of an answer' })
      text += delta
      if (!agrees(text, given.text)) return failed({ kind: CallFailureKind.Malformed, message: 'the answer differs from its first part' })
      if (text.length <= given.text.length) continue
      onText(text.slice(given.text.length))
      given.text = text
    }
  }
}

/** What `onText` has been given, over all attempts. */
interface GivenText {
  text: string
}

function agrees (text: string, given: string): boolean {
  return text.length <= given.length ? given.startsWith(text) : text.startsWith(given)
}

function readDelta (data: string): string | undefined {
  try {
    return deltaSchema.parse(JSON.parse(data)).choices.map((choice) => choice.delta.content).join('')
  } catch {
    return undefined
  }
}

function chatCall (address: string, headers: Readonly<Record<string, string>>, request: ChatRequest, seed: number): HttpCall {
  const { model, messages, maxTokens, deadlineMs } = request
  const deadline: Readonly<Record<string, string>> = deadlineMs === undefined ? {} : { 'dotterelspur-deadline-ms': String(deadlineMs) }
  return {
    address,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { ...JSON_HEADERS, ...deadline, ...headers },
    body: JSON.stringify({ model, messages, max_tokens: maxTokens, seed, stream: true })
  }
}
