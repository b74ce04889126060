import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { ExchangeEnd } from 'dotterelspur'
import type { ResponseHeaders, WireFormat } from '../process/GatewayPorts.js'

const MISDIRECTED = 421
const FIRST_SUCCESS = 200
const FIRST_REDIRECT = 300
const FIRST_SERVER_ERROR = 500

/** What an endpoint answered, without its body. */
export interface AnswerStart {
  readonly status: number
  readonly headers: IncomingHttpHeaders
}

/** A whole answer, kept to be handed on in one piece. */
export interface HeldAnswer extends AnswerStart {
  readonly body: Buffer
}

/** Who takes a successful answer as it comes. */
export interface AnswerSink {
  start (start: AnswerStart): void
  /** Returns false when no more should come until `resume` is called on the call. */
  data (chunk: Buffer): boolean
}

/** How the connection under an exchange ends. */
export interface ChannelEnds {
  noteUnframedAnswer (): void
  endedCleanly (): Promise<boolean>
}

export interface EndpointCallOptions {
  readonly requestId: string
  readonly wire: WireFormat
  readonly channel: ChannelEnds
  /** Null where the whole answer is to be held. */
  readonly sink: AnswerSink | null
  /** Bytes or a head came: the endpoint lives. */
  readonly onProgress: (head: ResponseHeaders | null) => void
  readonly onEnd: (end: ExchangeEnd, held: HeldAnswer | null, head: ResponseHeaders | null) => void
}

/** Codes of undici's errors for bytes that are no answer in the protocol. */
const GARBLED_CODES: ReadonlySet<string> = new Set(['UND_ERR_HEADERS_OVERFLOW', 'UND_ERR_RES_EXCEEDED_MAX_SIZE'])
const PARSER_ERROR = 'HTTPParserError'

/** One request on one channel to one endpoint. Ends exactly once. */
export class EndpointCall implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | null = null
  private sent = false
  private ended = false
  private abortedWith: ExchangeEnd | null = null
  private start: AnswerStart | null = null
  private head: ResponseHeaders | null = null
  private readonly chunks: Buffer[] = []
  private streaming = false
  private unframed = false

  constructor (private readonly options: EndpointCallOptions) {}

  /** Gives the exchange up; the channel is closed, so that the endpoint stops working on it. */
  abort (end: ExchangeEnd): void {
    if (this.ended || this.abortedWith !== null) return
    this.abortedWith = end
    this.controller?.abort(new Error(end))
    // Not sent yet: nothing has to be closed, and nothing will be sent.
    if (this.controller === null) this.finish(end, null)
  }

  resume (): void {
    this.controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.ended) return controller.abort(new Error('given up before it was sent'))
    this.sent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (this.ended || status < FIRST_SUCCESS) return
    this.start = { status, headers }
    this.head = this.options.wire.readResponseHeaders(status, headers)
    if (this.head.requestId !== this.options.requestId) return this.abort(ExchangeEnd.Foreign)
    this.options.onProgress(this.head)
    this.unframed = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
    if (this.unframed) this.options.channel.noteUnframedAnswer()
    const isSuccess = status < FIRST_REDIRECT
    this.streaming = isSuccess && !this.head.notExecuted && this.options.sink !== null
    if (this.streaming) this.options.sink!.start(this.start)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.ended || this.abortedWith !== null) return
    if (!this.streaming) {
      this.chunks.push(chunk)
      return
    }
    this.options.onProgress(null)
    if (!this.options.sink!.data(chunk)) controller.pause()
  }

  onResponseEnd (): void {
    if (this.start === null || this.head === null) return this.finish(ExchangeEnd.Garbled, null)
    const end = endOf(this.start.status, this.head)
    const held: HeldAnswer = { ...this.start, body: Buffer.concat(this.chunks) }
    if (!this.unframed) return this.finish(end, held)
    this.options.channel.endedCleanly().then(
      (clean) => { this.finish(clean ? end : ExchangeEnd.BrokenOff, clean ? held : null) },
      () => { this.finish(ExchangeEnd.BrokenOff, null) }
    )
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.abortedWith !== null) return this.finish(this.abortedWith, null)
    if (!this.sent) return this.finish(ExchangeEnd.NotConnected, null)
    this.finish(isGarbled(error) ? ExchangeEnd.Garbled : ExchangeEnd.BrokenOff, null)
  }

  private finish (end: ExchangeEnd, held: HeldAnswer | null): void {
    if (this.ended) return
    this.ended = true
    this.options.onEnd(end, held, this.head)
  }
}

/** What a whole answer means. */
function endOf (status: number, head: ResponseHeaders): ExchangeEnd {
  if (status === MISDIRECTED) return ExchangeEnd.Misdirected
  if (head.notExecuted) return ExchangeEnd.Rejected
  return status >= FIRST_SERVER_ERROR ? ExchangeEnd.Failed : ExchangeEnd.Answered
}

function isGarbled (error: Error): boolean {
  const { code, name } = error as NodeJS.ErrnoException
  return name === PARSER_ERROR || (code !== undefined && GARBLED_CODES.has(code))
}
