import type { TeamPlan } from '../process/ClusterLayout.js'

/** A streamed answer as its caller received it. */
export interface ChatAnswer {
  readonly requestId: string
  readonly text: string
  /** Whether the stream ended with a finish reason and the end-of-stream marker. */
  readonly whole: boolean
  readonly status: number
  /** The system's error message; null if it sent none. */
  readonly error: string | null
}

export interface ServiceAnswer {
  readonly requestId: string
  readonly status: number
  readonly body: string
}

interface ChatChunk {
  readonly choices?: ReadonlyArray<{ readonly delta?: { readonly content?: string }, readonly finish_reason?: string | null }>
  readonly error?: { readonly message: string }
}

interface Directory {
  readonly entries: ReadonlyArray<{ readonly address: string }>
}

const END_OF_STREAM = '[DONE]'
const DATA_PREFIX = 'data: '

/** A caller of one team: an ordinary HTTP client that asks the directory once and then uses the returned addresses in turn. */
export class Caller {
  private entries: readonly string[] = []
  private turn = 0

  constructor (readonly team: TeamPlan, private readonly firstEntry: string) {}

  /** Requests the addresses to use from the directory. */
  async askDirectory (): Promise<readonly string[]> {
    const response = await fetch(`${this.firstEntry}/v1/entries`, { headers: this.headers() })
    if (!response.ok) throw new Error(`the directory answered ${response.status}: ${await response.text()}`)
    const directory = await response.json() as Directory
    this.entries = directory.entries.map((entry) => entry.address)
    return this.entries
  }

  async chat (prompt: string, maxTokens: number): Promise<ChatAnswer> {
    const response = await this.send('/v1/chat/completions', {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model: this.team.models[0], stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: prompt }] })
    })
    const requestId = response.headers.get('x-request-id') ?? ''
    const text = await response.text().catch((error: Error) => `${DATA_PREFIX}{"error":{"message":"${error.message}"}}`)
    if (!response.ok) return { requestId, text: '', whole: false, status: response.status, error: text }
    return { requestId, status: response.status, ...readEvents(text) }
  }

  /** Sends a POST that must run at most once. */
  async callOnce (path: string, idempotencyKey: string, body: string): Promise<ServiceAnswer> {
    const response = await this.send(path, { method: 'POST', headers: { 'content-type': 'application/json', 'idempotency-key': idempotencyKey }, body })
    return { requestId: response.headers.get('x-request-id') ?? '', status: response.status, body: await response.text() }
  }

  private send (path: string, options: { readonly method: string, readonly headers: Record<string, string>, readonly body: string }): Promise<Response> {
    const entry = this.entries[this.turn++ % this.entries.length] ?? this.firstEntry
    return fetch(`${entry}${path}`, { ...options, headers: { ...options.headers, ...this.headers() } })
  }

  private headers (): Record<string, string> {
    return { authorization: `Bearer ${this.team.token}` }
  }
}

/** Parses a stream of server-sent events; it is whole only with a finish reason and the end-of-stream marker. */
function readEvents (stream: string): Pick<ChatAnswer, 'text' | 'whole' | 'error'> {
  let text = ''
  let finished = false
  let closed = false
  let error: string | null = null
  for (const line of stream.split('\n')) {
    if (!line.startsWith(DATA_PREFIX)) continue
    const data = line.slice(DATA_PREFIX.length)
    if (data === END_OF_STREAM) {
      closed = true
      continue
    }
    const chunk = JSON.parse(data) as ChatChunk
    error = chunk.error?.message ?? error
    text += chunk.choices?.[0]?.delta?.content ?? ''
    finished ||= typeof chunk.choices?.[0]?.finish_reason === 'string'
  }
  return { text, whole: finished && closed && error === null, error }
}
