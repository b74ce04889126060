import type { IncomingMessage } from 'node:http'
import type { Dispatcher } from 'undici'
import {
  DispatchEffectKind, DispatchEndKind, EventCursor, EXCHANGE_RULES, ExchangeEnd, RequestKind, runDispatch, runProcedure,
  type Clock, type DispatchEnd, type DispatchTarget, type ExchangeEffect, type ExchangeReport, type PlaceEffect, type PlacementRefusal, type RequestContent, type Route, type ServiceId, type Teardown, type WorkspaceId
} from 'dotterelspur'
import { forwardedHeaders, isEventStream } from '../connection/headers.js'
import type { SocketPolls } from '../connection/SocketPolls.js'
import type { Dispatch } from '../process/Dispatch.js'
import type { DispatchExchange } from '../process/DispatchParts.js'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import type { CallerHeaders, WireFormat } from '../process/GatewayPorts.js'
import type { PoisonTracker } from '../process/PoisonTracker.js'
import type { Silence } from '../process/StallDetector.js'
import type { RequestWaits } from '../process/RequestWaits.js'
import type { CallerResponse, GatewayErrorKind } from './CallerResponse.js'
import { EndpointCall, type ResponseStart, type BufferedResponse, type StreamReport } from './EndpointCall.js'
import { PlacementWait } from './PlacementWait.js'
import { RESPONDERS, retryAfterMsOf } from './responders.js'

/** Time beyond the deadline for the endpoint's own timeout response, which says more about the request than the gateway's would. */
const DEADLINE_GRACE_MS = 100
/** With less time left than this, no endpoint can do useful work, so the request is not sent. */
const MIN_USEFUL_MS = 20
const FIRST_REDIRECT = 300

export interface GatewayRequestParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly wire: WireFormat
  readonly dispatch: Dispatch
  readonly poison: PoisonTracker
  readonly waits: RequestWaits
  readonly polls: SocketPolls
}

/** A request that has been authenticated, routed and admitted, before it is sent to an endpoint. */
export interface AdmittedRequest {
  readonly request: IncomingMessage
  readonly content: RequestContent
  readonly head: CallerHeaders
  readonly requestId: string
  readonly route: Route
  readonly service: ServiceId
  readonly workspace: WorkspaceId | null
  readonly priority: number
  readonly arrivedAtMs: number
  /** Time that the caller spent on earlier attempts, inferred from its deadline. */
  readonly spentBeforeMs: number
}

/** The outcome of a request, for the log and the metrics. */
export interface RequestReport {
  readonly end: DispatchEnd
  readonly answeredWith: GatewayErrorKind | null
  readonly firstByteMs: number | null
  /** When the caller was told to retry; null where it was not. */
  readonly retryAfterMs: number | null
  /** How long it waited at this node; null where it did not. */
  readonly waitedMs: number | null
  readonly targets: readonly string[]
  /** When the request was sent to each endpoint, since its arrival; a target without a connection has none. */
  readonly sentMs: readonly number[]
  /** When this node learned that the caller had closed its connection, since the arrival; null if it has not. */
  readonly callerLeftMs: number | null
  /** The last stream that an endpoint began; null where none did. */
  readonly stream: StreamReport | null
}

/** Dispatches one admitted request and sends its response. */
export class GatewayRequest {
  private currentCall: EndpointCall | null = null
  private readonly cursor: EventCursor
  private lastFailure: BufferedResponse | null = null
  private firstByteAtMs: number | null = null
  /** Chunks of complete events that the current endpoint has sent, each of one or more events. */
  private eventCount = 0
  private noteProgress = (): void => {}
  /** Resolves once it has been determined whether the endpoint that was lost last has terminated. */
  private lossRecorded: Promise<void> = Promise.resolve()
  private stoppedWith: ExchangeEnd | null = null
  private readonly targets: string[] = []
  private readonly sentMs: number[] = []
  private callerLeftMs: number | null = null
  private readonly deadlineAtMs: number
  private paused = false
  private currentExchange: DispatchExchange | null = null
  private streamStart: ResponseStart | null = null
  private endedInsideEvent = false
  /** Another node relayed the connection of the last exchange. */
  private wasRelayed = false
  private readonly wait: PlacementWait

  constructor (private readonly parts: GatewayRequestParts, private readonly admitted: AdmittedRequest, private readonly response: CallerResponse) {
    const { route, head, arrivedAtMs } = admitted
    this.cursor = new EventCursor(head.lastEventId)
    this.deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity)
    this.wait = new PlacementWait(parts, admitted, this.deadlineAtMs)
  }

  /** The caller closed its connection: aborts the running exchange. */
  onCallerDisconnect (): void {
    this.callerLeftMs ??= this.elapsedMs()
    this.stop(ExchangeEnd.CallerLeft)
  }

  async run (): Promise<RequestReport> {
    const cancelDeadline = this.startDeadline()
    this.response.onDrain(() => { this.resume() })
    const { route } = this.admitted
    const dispatched = await runProcedure(runDispatch({ retryable: isRetryable(route), maxAttempts: route.maxAttempts }), {
      [DispatchEffectKind.Place]: async (effect) => effect.excluded.length > 0 ? await this.placeAgain(effect) : await this.wait.place(() => this.place(effect)),
      [DispatchEffectKind.Exchange]: async (effect) => await this.exchange(effect),
      [DispatchEffectKind.JudgeLoss]: async () => await this.mayRetryAfterLoss(),
      [DispatchEffectKind.SpendRetry]: () => this.stoppedWith === null && this.parts.dispatch.trySpendRetry(this.admitted.service)
    })
    cancelDeadline()
    // The caller disconnected while its request waited: nobody receives the rejection.
    const end = this.stoppedWith === ExchangeEnd.CallerLeft && dispatched.kind === DispatchEndKind.NotRun ? { ...dispatched, kind: DispatchEndKind.CallerLeft, refusal: null } : dispatched
    const answeredWith = this.respond(end)
    const firstByteMs = this.firstByteAtMs === null ? null : this.firstByteAtMs - this.admitted.arrivedAtMs
    return { end, answeredWith, firstByteMs, retryAfterMs: end.kind === DispatchEndKind.NotRun ? retryAfterMsOf(end) : null, waitedMs: this.wait.waitedMs, targets: this.targets, sentMs: this.sentMs, callerLeftMs: this.callerLeftMs, stream: this.describeStream() }
  }

  private describeStream (): StreamReport | null {
    return this.streamStart === null ? null : { framing: this.streamStart.framing, endedInsideEvent: this.endedInsideEvent }
  }

  private async mayRetryAfterLoss (): Promise<boolean> {
    await this.lossRecorded
    return this.parts.poison.guard.mayRetry(this.admitted.content)
  }

  private startDeadline (): Teardown {
    const { clock } = this.parts
    return clock.registerTimer(this.deadlineAtMs - clock.nowMs() + DEADLINE_GRACE_MS, () => { this.stop(ExchangeEnd.TimedOut) })
  }

  private stop (end: ExchangeEnd): void {
    this.stoppedWith ??= end
    this.wait.cancel()
    this.currentCall?.abort(end)
  }

  private async placeAgain (effect: PlaceEffect): Promise<DispatchTarget | PlacementRefusal> {
    await this.parts.polls.afterPoll()
    return this.place(effect)
  }

  private place ({ excluded }: PlaceEffect): DispatchTarget | PlacementRefusal {
    const { head, service, route, workspace, priority, arrivedAtMs, spentBeforeMs } = this.admitted
    const spentMs = spentBeforeMs + this.parts.clock.nowMs() - arrivedAtMs
    return this.parts.dispatch.place({ service, route, head, requestClass: { rank: priority, workspace }, excluded, leftMs: this.leftMs(), elapsedMs: spentMs })
  }

  private elapsedMs (): number {
    return this.parts.clock.nowMs() - this.admitted.arrivedAtMs
  }

  private leftMs (): number {
    return this.deadlineAtMs - this.parts.clock.nowMs()
  }

  private async exchange ({ target, mayRetry }: ExchangeEffect): Promise<ExchangeReport> {
    const over = this.reasonNotToSend()
    if (over !== null) return { end: over, hasPartialResponse: this.response.isStarted }
    this.targets.push(target.endpoint)
    this.cursor.dropPartialEvent()
    this.eventCount = 0
    const { dispatch, clock } = this.parts
    const sentAtMs = clock.nowMs()
    const execution = this.parts.poison.guard.trackExchange(this.admitted.content)
    this.noteProgress = execution.noteProgress
    const end = await new Promise<ExchangeEnd>((resolve) => { this.send(target, mayRetry, resolve) })
    this.currentCall = null
    execution.end()
    dispatch.endExchange(target)
    if (EXCHANGE_RULES[end].mayHaveCrashedEndpoint) this.lossRecorded = this.noteLoss(target, clock.nowMs() - sentAtMs)
    if (EXCHANGE_RULES[end].penalizesEndpoint) dispatch.noteFailure(target, end)
    return { end, hasPartialResponse: this.response.isStarted }
  }

  /** Null while the request may be sent. */
  private reasonNotToSend (): ExchangeEnd | null {
    return this.stoppedWith ?? (this.leftMs() < MIN_USEFUL_MS ? ExchangeEnd.TimedOut : null)
  }

  private async noteLoss (target: DispatchTarget, tookMs: number): Promise<void> {
    const { poison, dispatch } = this.parts
    const { requestId, content } = this.admitted
    await poison.noteLoss({ requestId, content, target, events: this.eventCount, tookMs, besides: dispatch.ownInFlight(target), wasRelayed: this.wasRelayed, stream: this.describeStream() })
  }

  private send (target: DispatchTarget, mayRetry: boolean, resolve: (end: ExchangeEnd) => void): void {
    const { wire, dispatch } = this.parts
    const streams = this.admitted.route.kind === RequestKind.Streaming
    const running = dispatch.beginExchange(target, this.admitted, mayRetry, (silence) => {
      this.logSilence(target, silence)
      this.currentCall?.abort(ExchangeEnd.Silent)
    })
    this.currentExchange = running
    const channel = dispatch.links.acquire(target)
    const call = new EndpointCall({
      requestId: this.admitted.requestId,
      method: this.admitted.request.method as Dispatcher.HttpMethod,
      wire,
      channel,
      reasonNotToSend: () => this.reasonNotToSend(),
      onSend: () => { this.sentMs.push(this.elapsedMs()) },
      sink: streams ? { start: (start) => { this.streamStart = start }, data: (chunk) => this.handleData(chunk) } : null,
      onProgress: (head) => { running.noteProgress(head) },
      onEnd: (end, buffered, head) => {
        running.stop()
        this.wasRelayed = channel.relay !== null
        dispatch.links.release(target, channel)
        if (end === ExchangeEnd.Rejected && head !== null && head.lostMember !== null) dispatch.noteFailure(target, end)
        this.endedInsideEvent = this.cursor.isInsideEvent
        const finalEnd = this.reclassifyEnd(end, buffered)
        this.handleEnd(finalEnd, buffered)
        resolve(finalEnd)
      }
    })
    this.currentCall = call
    channel.dispatch(this.requestOptions(target), call)
  }

  private logSilence ({ endpoint }: DispatchTarget, { evidence, silentMs }: Silence): void {
    this.parts.log.write(LogKind.ExchangeSilent, { request: this.admitted.requestId, endpoint, by: evidence, silentMs: Math.round(silentMs), events: this.eventCount })
  }

  private requestOptions (target: DispatchTarget): Dispatcher.DispatchOptions {
    const { request, content: { body }, workspace, priority, head } = this.admitted
    const headers = this.parts.wire.writeForwardedHeaders(forwardedHeaders(request.rawHeaders), {
      endpoint: target.endpoint,
      workspace,
      deadlineMs: Math.max(1, Math.round(this.leftMs())),
      priority,
      lastEventId: this.cursor.lastEventId ?? head.lastEventId
    })
    return { path: request.url!, method: request.method as Dispatcher.HttpMethod, headers, body: body.length > 0 || hasBodyMethod(request.method) ? body : null }
  }

  private handleData (chunk: Buffer): boolean {
    const completeEvents = this.cursor.push(chunk)
    if (completeEvents === null) return true
    this.eventCount += 1
    if (this.eventCount === 1) this.currentExchange?.noteFirstEvent()
    this.noteProgress()
    this.startStream()
    this.paused = !this.response.write(completeEvents)
    if (this.paused) this.currentExchange?.noteCallerPaused(true)
    return !this.paused
  }

  /**
   * Sends the response head with the first complete event: until then, another endpoint's response or an error can take its place. A
   * resumed stream keeps the head that the caller has already received.
   */
  private startStream (): void {
    this.noteFirstByte()
    if (this.streamStart !== null) this.response.start(this.streamStart)
  }

  /**
   * A stream that ends inside an event was broken off, whatever the framing of its response says. A stream that the caller has partly
   * received can't be completed by a response that isn't a stream.
   */
  private reclassifyEnd (end: ExchangeEnd, buffered: BufferedResponse | null): ExchangeEnd {
    if (end !== ExchangeEnd.Answered || buffered === null) return end
    const isStream = this.streamStart !== null && buffered.status < FIRST_REDIRECT
    if (isStream) return this.cursor.isInsideEvent && isEventStream(buffered.headers) ? ExchangeEnd.BrokenOff : end
    return this.response.isStarted ? ExchangeEnd.BrokenOff : end
  }

  private handleEnd (end: ExchangeEnd, buffered: BufferedResponse | null): void {
    if (buffered === null) return
    if (end === ExchangeEnd.Failed) this.lastFailure = buffered
    if (end !== ExchangeEnd.Answered) return
    this.parts.poison.guard.noteAnswer(this.admitted.content, buffered.status < FIRST_REDIRECT)
    if (this.streamStart !== null && buffered.status < FIRST_REDIRECT) {
      this.startStream()
      return this.response.end(this.cursor.takeRemainder())
    }
    this.noteFirstByte()
    this.response.deliver(buffered)
  }

  private resume (): void {
    if (!this.paused) return
    this.paused = false
    this.currentExchange?.noteCallerPaused(false)
    this.currentCall?.resume()
  }

  private noteFirstByte (): void {
    this.firstByteAtMs ??= this.parts.clock.nowMs()
  }

  private respond (end: DispatchEnd): GatewayErrorKind | null {
    return RESPONDERS[end.kind](end, this.response, this.lastFailure)
  }
}

function isRetryable (route: Route): boolean {
  return route.kind === RequestKind.Idempotent || (route.kind === RequestKind.Streaming && route.resumable)
}

function hasBodyMethod (method: string | undefined): boolean {
  return method === 'POST' || method === 'PUT' || method === 'PATCH'
}
