import type { Dispatcher } from 'undici'
import { readErrorReply } from './ErrorReply.js'
import type { ErrorReply } from './ErrorReply.js'
import { SseReader } from './SseReader.js'

/** What came back for one call, before it is compared with what was asked. */
export interface Reply {
  readonly text: string
  readonly requestId: string | null
  /** The explicit end was there. */
  readonly whole: boolean
  /** Pieces of a stream that carried text. */
  readonly tokens: number
  readonly firstTokenAtMs: number | null
  readonly error: ErrorReply | null
}

interface ChatObject {
  readonly id?: string
  readonly choices?: ReadonlyArray<{
    readonly delta?: { readonly content?: string }
    readonly message?: { readonly content?: string }
    readonly finish_reason?: string | null
  }>
}

const ID_PREFIX = 'chatcmpl-'
const DONE = '[DONE]'
const ERROR_EVENT = 'error'

function requestIdOf (object: ChatObject): string | null {
  return object.id === undefined ? null : object.id.slice(ID_PREFIX.length)
}

export async function readWholeAnswer (response: Dispatcher.ResponseData): Promise<Reply> {
  const text = await response.body.text()
  const object = JSON.parse(text) as ChatObject
  const choice = object.choices?.[0]
  return {
    text: choice?.message?.content ?? '',
    requestId: requestIdOf(object),
    whole: typeof choice?.finish_reason === 'string',
    tokens: 0,
    firstTokenAtMs: null,
    error: null
  }
}

/** Collects a streamed answer piece by piece. */
class StreamCollector {
  private text = ''
  private requestId: string | null = null
  private finished = false
  private done = false
  private tokens = 0
  private firstTokenAtMs: number | null = null
  private lastTokenAt = 0
  private error: ErrorReply | null = null

  constructor (private readonly onTokenGap: (gapMs: number) => void) {}

  take (name: string, data: string): void {
    if (name === ERROR_EVENT) {
      this.error = readErrorReply(0, data)
      return
    }
    if (data === DONE) {
      this.done = true
      return
    }
    const object = JSON.parse(data) as ChatObject
    this.requestId ??= requestIdOf(object)
    const choice = object.choices?.[0]
    if (typeof choice?.finish_reason === 'string') this.finished = true
    const content = choice?.delta?.content ?? ''
    if (content !== '') this.takeText(content)
  }

  reply (): Reply {
    const { text, requestId, tokens, firstTokenAtMs, error } = this
    return { text, requestId, tokens, firstTokenAtMs, error, whole: this.finished && this.done }
  }

  private takeText (content: string): void {
    const now = performance.now()
    if (this.firstTokenAtMs === null) this.firstTokenAtMs = Date.now()
    else this.onTokenGap(now - this.lastTokenAt)
    this.lastTokenAt = now
    this.tokens++
    this.text += content
  }
}

export async function readStreamedAnswer (response: Dispatcher.ResponseData, onTokenGap: (gapMs: number) => void): Promise<Reply> {
  const reader = new SseReader()
  const collector = new StreamCollector(onTokenGap)
  const decoder = new TextDecoder()
  for await (const chunk of response.body) {
    for (const { name, data } of reader.push(decoder.decode(chunk as Buffer, { stream: true }))) collector.take(name, data)
  }
  return collector.reply()
}
