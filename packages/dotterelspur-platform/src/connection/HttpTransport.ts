import { Agent, request as sendRequest } from 'undici'
import type { Dispatcher } from 'undici'
import { readText, RenewablePool, type Clock } from 'dotterelspur'
import { MAXIMUM_RESPONSE_BYTES } from '../constants.js'
import type { CallBudget } from '../process/CallBudget.js'
import { ResponseStatus, ReplyKind, isServerError } from '../request/PlatformCall.js'
import type { PlatformReply, PlatformRequest } from '../request/PlatformCall.js'
import { parseRetryAfterMs } from '../request/ObjectResponse.js'

export interface HttpTransportOptions {
  /** Base URL of the platform's service. */
  readonly url: string
  readonly clock: Clock
  readonly budget: CallBudget
  readonly timeoutMs: number
  /** The node's own IP address, used as the source address of connections. */
  readonly localAddress?: string
  /** Sent as a bearer token when set. */
  readonly token?: string
  readonly maximumConnections?: number
}

const DEFAULT_MAXIMUM_CONNECTIONS = 16
const KEEP_ALIVE_MS = 10_000

/** Codes of errors that undici and the system raise before any byte of the request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Sends calls to the platform over HTTP, with a timeout for each, and counts them. It does not retry. */
export class HttpTransport {
  private readonly agents: RenewablePool<Agent>
  private contactListener: () => void = () => {}

  constructor (private readonly options: HttpTransportOptions) {
    this.agents = new RenewablePool(options.clock, () => new Agent({
      connections: options.maximumConnections ?? DEFAULT_MAXIMUM_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      maxResponseSize: MAXIMUM_RESPONSE_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      localAddress: options.localAddress,
      connect: { timeout: options.timeoutMs }
    }))
  }

  /** Sets the listener that is called after each response or watch line from the platform. */
  onContact (listener: () => void): void {
    this.contactListener = listener
  }

  notifyContact (): void {
    this.contactListener()
  }

  async send (request: PlatformRequest): Promise<PlatformReply> {
    const { budget } = this.options
    const retryAfterMs = budget.acquire(request.callKind)
    if (retryAfterMs > 0) return { kind: ReplyKind.Withheld, retryAfterMs }
    const reply = await this.exchange(request)
    if (reply.kind === ReplyKind.NoResponse) budget.recordUnanswered()
    if (reply.kind !== ReplyKind.Response) return reply
    if (reply.status === ResponseStatus.TooManyCalls) budget.recordRefusal(request.callKind, parseRetryAfterMs(reply.body))
    this.contactListener()
    return reply
  }

  /** The connections that new calls use. */
  get connections (): Agent {
    return this.agents.current
  }

  /** Makes new calls use new connections, since a call or a stream on `silent` got no answer: its idle connections may be silent too. */
  renewConnections (silent: Agent): void {
    this.agents.renew(silent)
  }

  /** Opens a streamed response. The caller must read it to its end or abort it. */
  async openStream (path: string, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    return await sendRequest(`${this.options.url}${path}`, { dispatcher: this.connections, signal, headers: this.headers() })
  }

  async close (): Promise<void> {
    await this.agents.destroy()
  }

  private async exchange (request: PlatformRequest): Promise<PlatformReply> {
    const abort = new AbortController()
    const { connections } = this
    const cancel = this.options.clock.registerTimer(this.options.timeoutMs, () => {
      abort.abort()
      this.renewConnections(connections)
    })
    try {
      const response = await sendRequest(`${this.options.url}${request.path}`, {
        dispatcher: connections,
        method: request.method,
        signal: abort.signal,
        headers: { ...this.headers(), ...createHeaders(request) },
        body: request.body === undefined ? null : JSON.stringify(request.body)
      })
      const text = await readText(response.body)
      return parseResponse(response.statusCode, text)
    } catch (error) {
      return createErrorReply(error)
    } finally {
      cancel()
    }
  }

  private headers (): Record<string, string> {
    return this.options.token === undefined ? {} : { authorization: `Bearer ${this.options.token}` }
  }
}

function createHeaders (request: PlatformRequest): Record<string, string> {
  const headers: Record<string, string> = request.body === undefined ? {} : { 'content-type': 'application/json' }
  if (request.knownVersion !== undefined) headers['if-none-match'] = `"${request.knownVersion}"`
  if (request.condition?.kind === 'absent') headers['if-none-match'] = '*'
  if (request.condition?.kind === 'version') headers['if-match'] = `"${request.condition.version}"`
  return headers
}

function parseResponse (status: number, text: string): PlatformReply {
  try {
    return { kind: ReplyKind.Response, status, body: text === '' ? null : JSON.parse(text) }
  } catch {
    // A proxy or a failing server may respond with HTML; the status is still meaningful.
    if (isServerError(status)) return { kind: ReplyKind.Response, status, body: null }
    return { kind: ReplyKind.Malformed, reason: `status ${status} without JSON` }
  }
}

function createErrorReply (error: unknown): PlatformReply {
  const { code, name, message } = error as { code?: string, name?: string, message?: string }
  const reason = `${code ?? name ?? 'error'}: ${message ?? ''}`
  if (code !== undefined && NOT_SENT_CODES.has(code)) return { kind: ReplyKind.NotSent, reason }
  if (code === 'UND_ERR_RES_EXCEEDED_MAX_SIZE') return { kind: ReplyKind.Malformed, reason }
  return { kind: ReplyKind.NoResponse, reason }
}
