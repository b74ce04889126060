import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { ByteCollector, ExchangeEnd } from 'dotterelspur'
import { isEventStream } from '../connection/headers.js'
import { ResponseLimit } from '../connection/responseLimits.js'
import type { ResponseMeter } from '../connection/ResponseMeter.js'
import type { ResponseHeaders, WireFormat } from '../process/GatewayPorts.js'
import type { ResponseBuffer, ResponseMemory } from './ResponseMemory.js'

const MISDIRECTED = 421
const FIRST_SUCCESS = 200
const FIRST_REDIRECT = 300
const FIRST_SERVER_ERROR = 500
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** How an endpoint marks the end of its response. */
export enum ResponseFraming {
  /** By its stated length, or because its method or status has no body. */
  Length = 'length',
  /** By the last chunk. */
  Chunks = 'chunks',
  /** By closing the connection. */
  Close = 'close'
}

/** How a stream of an endpoint ended, for the log. */
export interface StreamReport {
  readonly framing: ResponseFraming
  /** Its last bytes were no complete event. */
  readonly endedInsideEvent: boolean
}

/** Status, headers and framing of an endpoint's response. */
export interface ResponseStart {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly framing: ResponseFraming
}

/** A complete response, buffered to be delivered as a whole. */
export interface BufferedResponse extends ResponseStart {
  readonly body: Buffer
}

/** Consumes a successful response as it arrives. */
export interface ResponseSink {
  start (start: ResponseStart): void
  /** Returns false to pause the response until `resume` is called on the call. */
  data (chunk: Buffer): boolean
  /** Bytes that it buffers until they are a complete event. */
  incompleteBytes (): number
}

/** The connection of an exchange. Detects whether it was closed or reset at the end of a response without stated length. */
export interface ResponseChannel {
  readonly meter: Pick<ResponseMeter, 'watch' | 'noteHead' | 'noteData' | 'release'>
  noteUnframedResponse (): void
  closedCleanly (): Promise<boolean>
}

export interface EndpointCallOptions {
  readonly requestId: string
  readonly method: Dispatcher.HttpMethod
  readonly wire: WireFormat
  readonly channel: ResponseChannel
  /** What the process buffers of all responses. */
  readonly memory: ResponseMemory
  /** Asked once the connection is open; the request is not sent if there is a reason. */
  readonly reasonNotToSend?: () => ExchangeEnd | null
  /** Called immediately before the request is sent. */
  readonly onSend?: () => void
  /** Null if the complete response is to be buffered. */
  readonly sink: ResponseSink | null
  /** Called when the head of the response is complete. */
  readonly onHead: (head: ResponseHeaders) => void
  readonly onEnd: (end: ExchangeEnd, buffered: BufferedResponse | null, head: ResponseHeaders | null) => void
}

/** undici's error codes for bytes that are not a valid HTTP response. */
const GARBLED_CODES: ReadonlySet<string> = new Set(['UND_ERR_HEADERS_OVERFLOW', 'UND_ERR_RES_EXCEEDED_MAX_SIZE'])
const PARSER_ERROR = 'HTTPParserError'

/** One request on one channel to one endpoint. Calls `onEnd` exactly once. */
export class EndpointCall implements Dispatcher.DispatchHandler, ResponseBuffer {
  private controller: Dispatcher.DispatchController | null = null
  private sent = false
  private ended = false
  private abortedWith: ExchangeEnd | null = null
  private start: ResponseStart | null = null
  private head: ResponseHeaders | null = null
  private readonly body = new ByteCollector()
  private streaming = false
  private exceededLimit: ResponseLimit | null = null

  constructor (private readonly options: EndpointCallOptions) {}

  /** The limit that ended the exchange; null if none did. */
  get exceeded (): ResponseLimit | null {
    return this.exceededLimit
  }

  /** Ends the exchange: an endpoint that works sends less than the limit. */
  endAt (limit: ResponseLimit): void {
    if (this.ended || this.abortedWith !== null) return
    this.exceededLimit = limit
    this.body.clear()
    this.options.memory.noteSize(this, 0)
    this.abort(ExchangeEnd.Garbled)
  }

  /** Aborts the exchange and closes its connection, so that the endpoint stops working on it. */
  abort (end: ExchangeEnd): void {
    if (this.ended || this.abortedWith !== null) return
    this.abortedWith = end
    this.controller?.abort(new Error(end))
    // The request has not been sent: there is no connection to close, and `onRequestStart` prevents the sending.
    if (this.controller === null) this.finish(end, null)
  }

  resume (): void {
    this.controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.ended) return controller.abort(new Error('request aborted before it was sent'))
    const reason = this.options.reasonNotToSend?.() ?? null
    if (reason !== null) return this.abort(reason)
    this.sent = true
    this.options.channel.meter.watch({
      onExceeded: (limit) => { this.endAt(limit) },
      onHeadSize: (sizeBytes) => { this.options.memory.noteSize(this, sizeBytes) }
    })
    this.options.onSend?.()
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (this.ended || status < FIRST_SUCCESS) return
    this.options.channel.meter.noteHead()
    this.options.memory.noteSize(this, 0)
    this.start = { status, headers, framing: framingOf(this.options.method, status, headers) }
    this.head = this.options.wire.readResponseHeaders(status, headers)
    if (this.head.requestId !== this.options.requestId) return this.abort(ExchangeEnd.Foreign)
    this.options.onHead(this.head)
    if (this.start.framing === ResponseFraming.Close) this.options.channel.noteUnframedResponse()
    const isSuccess = status < FIRST_REDIRECT
    this.streaming = isSuccess && !this.head.notExecuted && this.options.sink !== null
    if (this.streaming) this.options.sink!.start(this.start)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.ended || this.abortedWith !== null) return
    this.options.channel.meter.noteData(chunk.length)
    if (!this.streaming) {
      this.body.push(chunk)
      return this.noteBuffered(this.body.sizeBytes, ResponseLimit.Body)
    }
    const sink = this.options.sink!
    const mayContinue = sink.data(chunk)
    this.noteBuffered(sink.incompleteBytes(), isEventStream(this.start!.headers) ? ResponseLimit.Event : ResponseLimit.Body)
    if (!mayContinue) controller.pause()
  }

  onResponseEnd (): void {
    if (this.start === null || this.head === null) return this.finish(ExchangeEnd.Garbled, null)
    const end = classifyResponse(this.start.status, this.head)
    const buffered: BufferedResponse = { ...this.start, body: this.body.take() }
    if (this.start.framing !== ResponseFraming.Close) return this.finish(end, buffered)
    this.options.channel.closedCleanly().then(
      (clean) => { this.finish(clean ? end : ExchangeEnd.BrokenOff, clean ? buffered : null) },
      () => { this.finish(ExchangeEnd.BrokenOff, null) }
    )
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.abortedWith !== null) return this.finish(this.abortedWith, null)
    if (!this.sent) return this.finish(ExchangeEnd.NotConnected, null)
    this.finish(isGarbled(error) ? ExchangeEnd.Garbled : ExchangeEnd.BrokenOff, null)
  }

  private noteBuffered (sizeBytes: number, limit: ResponseLimit): void {
    if (sizeBytes > this.options.memory.limit(limit)) return this.endAt(limit)
    this.options.memory.noteSize(this, sizeBytes)
  }

  private finish (end: ExchangeEnd, buffered: BufferedResponse | null): void {
    if (this.ended) return
    this.ended = true
    this.body.clear()
    this.options.channel.meter.release()
    this.options.memory.noteSize(this, 0)
    this.options.onEnd(end, buffered, this.head)
  }
}

function framingOf (method: Dispatcher.HttpMethod, status: number, headers: IncomingHttpHeaders): ResponseFraming {
  if (method === 'HEAD' || BODYLESS_STATUSES.has(status)) return ResponseFraming.Length
  if (headers['transfer-encoding'] !== undefined) return ResponseFraming.Chunks
  return headers['content-length'] === undefined ? ResponseFraming.Close : ResponseFraming.Length
}

/** The outcome of an exchange that ended with a complete response. */
function classifyResponse (status: number, head: ResponseHeaders): ExchangeEnd {
  if (status === MISDIRECTED) return ExchangeEnd.Misdirected
  if (head.notExecuted) return ExchangeEnd.Rejected
  return status >= FIRST_SERVER_ERROR ? ExchangeEnd.Failed : ExchangeEnd.Answered
}

function isGarbled (error: Error): boolean {
  const { code, name } = error as NodeJS.ErrnoException
  return name === PARSER_ERROR || (code !== undefined && GARBLED_CODES.has(code))
}
