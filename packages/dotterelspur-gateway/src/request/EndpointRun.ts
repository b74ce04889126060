import type { Dispatcher } from 'undici'
import { EventCursor, EXCHANGE_RULES, ExchangeEnd, RequestKind, type DispatchTarget, type RequestFailures, type RunArrival } from 'dotterelspur'
import { forwardedHeaders, isEventStream } from '../connection/headers.js'
import { LogKind } from '../process/DecisionLog.js'
import type { DispatchExchange } from '../process/DispatchParts.js'
import type { ResponseHeaders } from '../process/GatewayPorts.js'
import type { Silence } from '../process/StallDetector.js'
import type { AdmittedRequest } from './AdmittedRequest.js'
import { EndpointCall, type BufferedResponse, type ResponseStart, type StreamReport } from './EndpointCall.js'
import type { GatewayRequestParts } from './GatewayRequest.js'

const FIRST_REDIRECT = 300
const GATEWAY_TIMEOUT = 504
/** A timeout that an endpoint reports after this share of the time that it was given is the request's, and not its failure. */
const LATE_SHARE = 0.5
/**
 * Bytes of an incomplete event that show that the endpoint works; a large event comes in pieces of this size or larger. An endpoint that
 * sends a few bytes of one event again and again counts as silent, so that its stream continues elsewhere.
 */
const MIN_PROGRESS_BYTES = 4_096

export interface EndpointRunListener {
  /** Null while the request may be sent. */
  reasonNotToSend (): ExchangeEnd | null
  /** Called immediately before the request is sent. */
  onSend (): void
  /** Forwards complete events; returns false while the caller reads more slowly than they arrive. */
  onEvents (run: EndpointRun, events: Buffer): boolean
  /** The endpoint has been silent for so long that the request may be sent to another one. The run goes on. */
  onSilent (run: EndpointRun): void
  /** Called exactly once. */
  onEnd (run: EndpointRun, end: ExchangeEnd, buffered: BufferedResponse | null): void
}

/** Where a run starts, and how long it may take. */
export interface EndpointRunOptions {
  readonly target: DispatchTarget
  /** Whether the request may be sent to another endpoint while this one is silent. */
  readonly mayRetry: boolean
  /** The last event that the caller has; the run continues after it. */
  readonly lastEventId: string | null
  readonly leftMs: number
  readonly arrival: RunArrival
  readonly failures: RequestFailures
}

/** One exchange of a request with one endpoint, and what it has received of the response. */
export class EndpointRun {
  private readonly cursor: EventCursor
  private readonly exchange: DispatchExchange
  private readonly call: EndpointCall
  private readonly dispatch: () => void
  private readonly createdAtMs: number
  private receivedAtMs: number
  private sentAtMs: number | null = null
  private streamStart: ResponseStart | null = null
  private eventCount = 0
  /** Bytes of an incomplete event since the last progress. */
  private unnotedBytes = 0
  private unproven = false
  /** Complete events that have not been forwarded, because another run may continue the response sooner. */
  private held: Buffer[] = []
  private silent = false
  private endedInsideEvent = false
  /** Resolves once it has been determined whether the endpoint has terminated, if it was lost. */
  private lossRecorded: Promise<void> = Promise.resolve()

  constructor (private readonly parts: GatewayRequestParts, private readonly admitted: AdmittedRequest, private readonly options: EndpointRunOptions, private readonly listener: EndpointRunListener) {
    const { clock, dispatch, poison, wire } = parts
    const { target, mayRetry, lastEventId } = options
    this.cursor = new EventCursor(lastEventId)
    this.createdAtMs = clock.nowMs()
    this.receivedAtMs = this.createdAtMs
    this.exchange = dispatch.beginExchange(target, admitted, mayRetry, (silence) => { this.noteSilent(silence) })
    const execution = poison.guard.trackExchange(admitted.content)
    const channel = dispatch.links.acquire(target)
    this.call = new EndpointCall({
      requestId: admitted.requestId,
      method: admitted.request.method as Dispatcher.HttpMethod,
      wire,
      channel,
      memory: dispatch.links.memory,
      reasonNotToSend: () => listener.reasonNotToSend(),
      onSend: () => {
        this.sentAtMs = clock.nowMs()
        listener.onSend()
      },
      sink: admitted.route.kind === RequestKind.Streaming ? { start: (start) => { this.streamStart = start }, data: (chunk) => this.handleData(chunk, execution.noteProgress), incompleteBytes: () => this.cursor.incompleteBytes } : null,
      onHead: (head) => { this.noteProgress(head) },
      onEnd: (end, buffered, head) => {
        this.exchange.stop()
        this.settleArrival(end)
        const wasRelayed = channel.relay !== null
        dispatch.links.release(target, channel)
        if (end === ExchangeEnd.Rejected && head !== null && head.lostMember !== null) dispatch.noteFailure(target, end)
        execution.end()
        dispatch.endExchange(target)
        this.handleEnd(this.reclassifyEnd(end, buffered), buffered, wasRelayed)
      }
    })
    this.dispatch = () => { channel.dispatch(this.requestOptions(), this.call) }
  }

  get target (): DispatchTarget {
    return this.options.target
  }

  /** Whether the request has been sent, since its connection was established. */
  get isSent (): boolean {
    return this.sentAtMs !== null
  }

  /** Whether the endpoint has been silent for too long; progress of its response ends this. */
  get isSilent (): boolean {
    return this.silent
  }

  /** Whether the endpoint has been silent, and has not shown since that it works: it may only be slow. */
  get isUnproven (): boolean {
    return this.unproven
  }

  get hasHeldEvents (): boolean {
    return this.held.length > 0
  }

  /** The id of the last complete event that it has received, or after which it started. */
  get lastEventId (): string | null {
    return this.cursor.lastEventId
  }

  /** The head of the response, once the endpoint has started a stream. */
  get head (): ResponseStart | null {
    return this.streamStart
  }

  get stream (): StreamReport | null {
    return this.streamStart === null ? null : { framing: this.streamStart.framing, endedInsideEvent: this.endedInsideEvent }
  }

  /** Sends the request. Its end may be reported before this returns. */
  start (): void {
    this.dispatch()
  }

  async untilLossRecorded (): Promise<void> {
    await this.lossRecorded
  }

  /** Keeps complete events until it is clear which run continues the response. */
  hold (events: Buffer): void {
    this.held.push(events)
  }

  /** The held events, followed by `bytes`, to be forwarded: the run continues the response. */
  takeHeld (bytes: Buffer): Buffer {
    this.unproven = false
    if (this.held.length === 0) return bytes
    const all = Buffer.concat([...this.held, bytes])
    this.held = []
    return all
  }

  /** The bytes that have not been forwarded, once the response has ended. */
  takeRemainder (): Buffer {
    return this.takeHeld(this.cursor.takeRemainder())
  }

  abort (end: ExchangeEnd): void {
    this.call.abort(end)
  }

  /** The caller reads on. */
  resume (): void {
    this.exchange.noteCallerPaused(false)
    this.call.resume()
  }

  private noteProgress (head: ResponseHeaders | null): void {
    this.noteReceived()
    this.exchange.noteProgress(head)
  }

  private noteReceived (): void {
    const nowMs = this.parts.clock.nowMs()
    if (this.silent) {
      this.parts.log.write(LogKind.ExchangeResumed, { request: this.admitted.requestId, endpoint: this.target.endpoint, silentMs: Math.round(nowMs - this.receivedAtMs), events: this.eventCount })
    }
    this.silent = false
    this.receivedAtMs = nowMs
    this.options.arrival.noteResponse(nowMs)
  }

  private settleArrival (end: ExchangeEnd): void {
    const { arrival } = this.options
    const nowMs = this.parts.clock.nowMs()
    if (this.sentAtMs === null) arrival.noteNotSent()
    else if (EXCHANGE_RULES[end].mayArriveLater) arrival.noteAbort(this.sentAtMs, nowMs)
    else arrival.noteEnd(nowMs)
  }

  private noteSilent ({ evidence, silentMs }: Silence): void {
    const { log, dispatch } = this.parts
    if (this.silent) return this.listener.onSilent(this)
    log.write(LogKind.ExchangeSilent, { request: this.admitted.requestId, endpoint: this.target.endpoint, by: evidence, silentMs: Math.round(silentMs), events: this.eventCount })
    this.silent = true
    this.unproven = true
    dispatch.noteFailure(this.target, ExchangeEnd.Silent)
    this.listener.onSilent(this)
  }

  private handleData (chunk: Buffer, noteProgress: () => void): boolean {
    const completeEvents = this.cursor.push(chunk)
    this.unnotedBytes += chunk.length
    if (completeEvents === null && this.unnotedBytes < MIN_PROGRESS_BYTES) return true
    this.unnotedBytes = 0
    this.noteProgress(null)
    if (completeEvents === null) return true
    this.eventCount += 1
    if (this.eventCount === 1) this.exchange.noteFirstEvent()
    noteProgress()
    const mayContinue = this.listener.onEvents(this, completeEvents)
    if (!mayContinue) this.exchange.noteCallerPaused(true)
    return mayContinue
  }

  /** A stream that ends inside an event was broken off, whatever the framing of its response says. */
  private reclassifyEnd (end: ExchangeEnd, buffered: BufferedResponse | null): ExchangeEnd {
    this.endedInsideEvent = this.cursor.isInsideEvent
    if (end !== ExchangeEnd.Answered || buffered === null || this.streamStart === null || buffered.status >= FIRST_REDIRECT) return end
    return this.endedInsideEvent && isEventStream(buffered.headers) ? ExchangeEnd.BrokenOff : end
  }

  private handleEnd (end: ExchangeEnd, buffered: BufferedResponse | null, wasRelayed: boolean): void {
    const { dispatch, poison, clock, log } = this.parts
    const { requestId, content } = this.admitted
    const { target, call: { exceeded } } = this
    if (exceeded !== null) log.write(LogKind.ResponseLimit, { request: requestId, endpoint: target.endpoint, limit: exceeded, limitBytes: dispatch.links.memory.limit(exceeded), events: this.eventCount })
    if (EXCHANGE_RULES[end].mayHaveCrashedEndpoint) {
      this.lossRecorded = poison.noteLoss({ requestId, content, target, events: this.eventCount, tookMs: clock.nowMs() - this.createdAtMs, besides: dispatch.ownInFlight(target), wasRelayed, stream: this.stream })
    }
    if (EXCHANGE_RULES[end].penalizesEndpoint) dispatch.noteFailure(target, end)
    this.noteOutcome(end, buffered)
    this.listener.onEnd(this, end, buffered)
    // The run is kept until its request ends.
    this.cursor.dropPartialEvent()
  }

  private noteOutcome (end: ExchangeEnd, buffered: BufferedResponse | null): void {
    const { target: { endpoint }, failures, leftMs } = this.options
    const nowMs = this.parts.clock.nowMs()
    if (end === ExchangeEnd.Answered) failures.noteAnswer(endpoint, nowMs)
    const isOutOfTime = buffered?.status === GATEWAY_TIMEOUT && nowMs - this.createdAtMs > leftMs * LATE_SHARE
    if (EXCHANGE_RULES[end].countsAsFailure && !isOutOfTime) failures.noteFailure(endpoint, this.sentAtMs ?? this.createdAtMs, nowMs)
  }

  private requestOptions (): Dispatcher.DispatchOptions {
    const { request, content: { body }, workspace, priority, head } = this.admitted
    const headers = this.parts.wire.writeForwardedHeaders(forwardedHeaders(request.rawHeaders), {
      endpoint: this.target.endpoint,
      workspace,
      deadlineMs: Math.max(1, Math.round(this.options.leftMs)),
      priority,
      lastEventId: this.options.lastEventId ?? head.lastEventId
    })
    return { path: request.url!, method: request.method as Dispatcher.HttpMethod, headers, body: body.length > 0 || hasBodyMethod(request.method) ? body : null }
  }
}

function hasBodyMethod (method: string | undefined): boolean {
  return method === 'POST' || method === 'PUT' || method === 'PATCH'
}
