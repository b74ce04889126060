import type { IncomingMessage } from 'node:http'
import type { Dispatcher } from 'undici'
import {
  DispatchEffectKind, DispatchEndKind, EventCursor, EXCHANGE_RULES, ExchangeEnd, RequestKind, runDispatch, runProcedure,
  type Clock, type DispatchEnd, type DispatchTarget, type ExchangeEffect, type ExchangeReport, type PlaceEffect, type PlacementRefusal, type RequestContent, type Route, type ServiceId, type Teardown, type WorkspaceId
} from 'dotterelspur'
import { forwardedHeaders } from '../connection/headers.js'
import type { Dispatch, DispatchExchange } from '../process/Dispatch.js'
import type { CallerHeaders, WireFormat } from '../process/GatewayPorts.js'
import type { PoisonTracker } from '../process/PoisonTracker.js'
import { OwnAnswerKind, type CallerAnswer } from './CallerAnswer.js'
import { EndpointCall, type AnswerStart, type HeldAnswer } from './EndpointCall.js'

/** The endpoint itself answers at the deadline that it was told; its word says more than ours. */
const DEADLINE_GRACE_MS = 100
/** Below this no endpoint can do anything useful, and a send would not be an offer. */
const LEAST_USEFUL_MS = 20
const FIRST_REDIRECT = 300

export interface GatewayRequestParts {
  readonly clock: Clock
  readonly wire: WireFormat
  readonly dispatch: Dispatch
  readonly poison: PoisonTracker
}

/** What was decided about a request before it is sent anywhere. */
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
  /** What its caller has spent of its time elsewhere, as far as its deadline shows. */
  readonly spentBeforeMs: number
}

/** How a request ended, for the log and the counters. */
export interface RequestReport {
  readonly end: DispatchEnd
  readonly answeredWith: OwnAnswerKind | null
  readonly firstByteMs: number | null
  readonly targets: readonly string[]
}

/** One admitted request: runs its dispatch and writes its one answer. */
export class GatewayRequest {
  private call: EndpointCall | null = null
  private readonly cursor: EventCursor
  private lastFailure: HeldAnswer | null = null
  private firstByteAtMs: number | null = null
  /** Pieces of the answer that came from the present endpoint, of one or more whole events each. */
  private events = 0
  private noteProgress = (): void => {}
  /** Resolves once it is known whether the last endpoint that was lost has ended. */
  private lossNoted: Promise<void> = Promise.resolve()
  private over: ExchangeEnd | null = null
  private readonly targets: string[] = []
  private readonly deadlineAtMs: number
  private paused = false
  private running: DispatchExchange | null = null
  private streamStart: AnswerStart | null = null

  constructor (private readonly parts: GatewayRequestParts, private readonly admitted: AdmittedRequest, private readonly answer: CallerAnswer) {
    const { route, head, arrivedAtMs } = admitted
    this.cursor = new EventCursor(head.lastEventId)
    this.deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity)
  }

  /** The caller closed its connection: whatever is under way for it stops. */
  callerLeft (): void {
    this.stop(ExchangeEnd.CallerLeft)
  }

  async run (): Promise<RequestReport> {
    const cancelDeadline = this.startDeadline()
    this.answer.onDrain(() => { this.resume() })
    const { route } = this.admitted
    const end = await runProcedure(runDispatch({ repeatable: isRepeatable(route), maxAttempts: route.maxAttempts }), {
      [DispatchEffectKind.Place]: (effect) => this.place(effect),
      [DispatchEffectKind.Exchange]: async (effect) => await this.exchange(effect),
      [DispatchEffectKind.JudgeLoss]: async () => await this.mayGoOn(),
      [DispatchEffectKind.SpendRepeat]: () => this.over === null && this.parts.dispatch.trySpendRetry(this.admitted.service)
    })
    cancelDeadline()
    const answeredWith = this.conclude(end)
    const firstByteMs = this.firstByteAtMs === null ? null : this.firstByteAtMs - this.admitted.arrivedAtMs
    return { end, answeredWith, firstByteMs, targets: this.targets }
  }

  private async mayGoOn (): Promise<boolean> {
    await this.lossNoted
    return this.parts.poison.guard.maySendAgain(this.admitted.content)
  }

  private startDeadline (): Teardown {
    const { clock } = this.parts
    return clock.registerTimer(this.deadlineAtMs - clock.nowMs() + DEADLINE_GRACE_MS, () => { this.stop(ExchangeEnd.TimedOut) })
  }

  private stop (end: ExchangeEnd): void {
    this.over ??= end
    this.call?.abort(end)
  }

  private place ({ excluded }: PlaceEffect): DispatchTarget | PlacementRefusal {
    const { head, service, route, arrivedAtMs, spentBeforeMs } = this.admitted
    const spentMs = spentBeforeMs + this.parts.clock.nowMs() - arrivedAtMs
    return this.parts.dispatch.place({ service, route, head, excluded, leftMs: this.leftMs(), elapsedMs: spentMs })
  }

  private leftMs (): number {
    return this.deadlineAtMs - this.parts.clock.nowMs()
  }

  private async exchange ({ target, mayMove }: ExchangeEffect): Promise<ExchangeReport> {
    if (this.over !== null || this.leftMs() < LEAST_USEFUL_MS) return { end: this.over ?? ExchangeEnd.TimedOut, callerHasPart: this.answer.hasPart }
    this.targets.push(target.endpoint)
    this.cursor.dropRest()
    this.events = 0
    const { dispatch, clock } = this.parts
    const sentAtMs = clock.nowMs()
    const note = this.parts.poison.guard.begin(this.admitted.content)
    this.noteProgress = note.noteProgress
    const end = await new Promise<ExchangeEnd>((resolve) => { this.send(target, mayMove, resolve) })
    this.call = null
    note.end()
    dispatch.endExchange(target)
    if (EXCHANGE_RULES[end].mayEndEndpoint) this.lossNoted = this.noteLoss(target, clock.nowMs() - sentAtMs)
    if (EXCHANGE_RULES[end].blamesEndpoint) dispatch.noteFailure(target, end)
    return { end, callerHasPart: this.answer.hasPart }
  }

  private async noteLoss (target: DispatchTarget, tookMs: number): Promise<void> {
    const { poison, dispatch } = this.parts
    const { requestId, content } = this.admitted
    await poison.noteLoss({ requestId, content, target, events: this.events, tookMs, besides: dispatch.ownInFlight(target) })
  }

  private send (target: DispatchTarget, mayMove: boolean, resolve: (end: ExchangeEnd) => void): void {
    const { wire, dispatch } = this.parts
    const streams = this.admitted.route.kind === RequestKind.Streaming
    const running = dispatch.beginExchange(target, this.admitted, mayMove, () => { this.call?.abort(ExchangeEnd.Silent) })
    this.running = running
    const channel = dispatch.acquireChannel(target)
    const call = new EndpointCall({
      requestId: this.admitted.requestId,
      wire,
      channel,
      sink: streams ? { start: (start) => { this.streamStart = start }, data: (chunk) => this.takeData(chunk) } : null,
      onProgress: (head) => { running.noteProgress(head) },
      onEnd: (end, held, head) => {
        running.stop()
        dispatch.releaseChannel(target, channel)
        if (end === ExchangeEnd.Rejected && head !== null && head.lostMember !== null) dispatch.noteFailure(target, end)
        const judged = this.judgeEnd(end, held)
        this.takeEnd(judged, held)
        resolve(judged)
      }
    })
    this.call = call
    channel.dispatch(this.requestOptions(target), call)
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

  private takeData (chunk: Buffer): boolean {
    const whole = this.cursor.take(chunk)
    if (whole === null) return true
    this.events += 1
    if (this.events === 1) this.running?.noteFirstEvent()
    this.noteProgress()
    this.beginStream()
    this.paused = !this.answer.write(whole)
    if (this.paused) this.running?.noteCallerPaused(true)
    return !this.paused
  }

  /**
   * The head goes out with the first whole event: until then another endpoint's answer, or a refusal, can take its
   * place. A continued stream keeps the head that the caller has.
   */
  private beginStream (): void {
    this.noteFirstByte()
    if (this.streamStart !== null) this.answer.start(this.streamStart)
  }

  /** A stream that the caller has begun to get is not completed by an answer of another kind. */
  private judgeEnd (end: ExchangeEnd, held: HeldAnswer | null): ExchangeEnd {
    const isStream = held !== null && held.status < FIRST_REDIRECT
    return end === ExchangeEnd.Answered && this.answer.hasPart && !isStream ? ExchangeEnd.BrokenOff : end
  }

  private takeEnd (end: ExchangeEnd, held: HeldAnswer | null): void {
    if (held === null) return
    if (end === ExchangeEnd.Failed) this.lastFailure = held
    if (end !== ExchangeEnd.Answered) return
    this.parts.poison.guard.noteAnswer(this.admitted.content)
    if (this.streamStart !== null && held.status < FIRST_REDIRECT) {
      this.beginStream()
      return this.answer.end(this.cursor.takeRest())
    }
    this.noteFirstByte()
    this.answer.deliver(held)
  }

  private resume (): void {
    if (!this.paused) return
    this.paused = false
    this.running?.noteCallerPaused(false)
    this.call?.resume()
  }

  private noteFirstByte (): void {
    this.firstByteAtMs ??= this.parts.clock.nowMs()
  }

  private conclude (end: DispatchEnd): OwnAnswerKind | null {
    return CONCLUSIONS[end.kind](end, this.answer, this.lastFailure)
  }
}

type Conclusion = (end: DispatchEnd, answer: CallerAnswer, lastFailure: HeldAnswer | null) => OwnAnswerKind | null

function refuse (answer: CallerAnswer, kind: OwnAnswerKind, retryAfterMs: number | null): OwnAnswerKind {
  answer.refuse(kind, retryAfterMs)
  return kind
}

/** The caller's answer for each end of a dispatch. */
const CONCLUSIONS: Readonly<Record<DispatchEndKind, Conclusion>> = {
  [DispatchEndKind.Delivered]: () => null,
  [DispatchEndKind.CallerLeft]: () => null,
  [DispatchEndKind.CutOff]: (_end, answer) => {
    answer.cutOff()
    return null
  },
  [DispatchEndKind.DeliverFailure]: (_end, answer, lastFailure) => {
    if (lastFailure === null) return refuse(answer, OwnAnswerKind.EndpointLost, null)
    answer.deliver(lastFailure)
    return null
  },
  [DispatchEndKind.NotRun]: (end, answer) => refuse(answer, OwnAnswerKind.NotRun, end.refusal?.retryAfterMs ?? DEFAULT_RETRY_MS),
  [DispatchEndKind.Unknown]: (end, answer, lastFailure) => {
    if (lastFailure !== null) {
      answer.deliver(lastFailure)
      return null
    }
    const kind = end.lastExchange === ExchangeEnd.TimedOut ? OwnAnswerKind.TimedOut : OwnAnswerKind.EndpointLost
    return refuse(answer, kind, null)
  }
}

/** After an endpoint refused a request: a slot is free about this often. */
const DEFAULT_RETRY_MS = 400

function isRepeatable (route: Route): boolean {
  return route.kind === RequestKind.Idempotent || (route.kind === RequestKind.Streaming && route.resumable)
}

function hasBodyMethod (method: string | undefined): boolean {
  return method === 'POST' || method === 'PUT' || method === 'PATCH'
}
