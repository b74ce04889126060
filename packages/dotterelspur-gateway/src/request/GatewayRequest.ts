import {
  DispatchEffectKind, DispatchEndKind, EXCHANGE_RULES, ExchangeEnd, RequestArrivals, RequestFailures, RequestKind, runDispatch, runProcedure,
  type Clock, type DispatchEnd, type DispatchTarget, type ExchangeEffect, type ExchangeReport, type PlaceEffect, type PlacementRefusal, type RetryTicket, type Route, type Teardown
} from 'dotterelspur'
import type { SocketPolls } from '../connection/SocketPolls.js'
import type { Dispatch } from '../process/Dispatch.js'
import type { DecisionLog } from '../process/DecisionLog.js'
import type { WireFormat } from '../process/GatewayPorts.js'
import type { PoisonTracker } from '../process/PoisonTracker.js'
import type { RequestWaits } from '../process/RequestWaits.js'
import type { StopAdmission } from '../process/StopAdmission.js'
import type { AdmittedRequest, RequestProgress, RequestReport } from './AdmittedRequest.js'
import type { CallerResponse, GatewayErrorKind } from './CallerResponse.js'
import type { BufferedResponse } from './EndpointCall.js'
import { EndpointRun, type EndpointRunListener } from './EndpointRun.js'
import { OpenRuns } from './OpenRuns.js'
import { PlacementWait } from './PlacementWait.js'
import { RESPONDERS, retryAfterMsOf } from './responders.js'

/** Time beyond the deadline for the endpoint's own timeout response, which says more about the request than the gateway's would. */
const DEADLINE_GRACE_MS = 100
/** With less time left than this, no endpoint can do useful work, so the request is not sent. */
const MIN_USEFUL_MS = 20
const FIRST_REDIRECT = 300
const NO_BYTES = Buffer.alloc(0)

export interface GatewayRequestParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly wire: WireFormat
  readonly dispatch: Dispatch
  readonly poison: PoisonTracker
  readonly waits: RequestWaits
  readonly polls: SocketPolls
  readonly stopAdmission: StopAdmission
}

/** Dispatches one admitted request and sends its response. */
export class GatewayRequest implements EndpointRunListener {
  private readonly runs = new OpenRuns()
  private readonly arrivals = new RequestArrivals()
  private readonly failures: RequestFailures
  /** The run that has continued the response last. */
  private currentRun: EndpointRun | null = null
  /** The last event that the caller has. */
  private lastEventId: string | null
  private lastFailure: BufferedResponse | null = null
  private firstByteAtMs: number | null = null
  /** Resolves once it has been determined whether the endpoints that were lost have terminated. */
  private lossesRecorded: Promise<unknown> = Promise.resolve()
  private stoppedWith: ExchangeEnd | null = null
  private readonly targets: string[] = []
  private readonly sentMs: number[] = []
  private callerLeftMs: number | null = null
  private readonly deadlineAtMs: number
  private paused = false
  /** A retry that has been taken from the budget, and that no run uses yet. */
  private retry: RetryTicket | null = null
  private readonly wait: PlacementWait

  constructor (private readonly parts: GatewayRequestParts, private readonly admitted: AdmittedRequest, private readonly response: CallerResponse) {
    const { route, head, arrivedAtMs } = admitted
    this.lastEventId = head.lastEventId
    this.failures = new RequestFailures(parts.dispatch.fleetView.failures)
    this.deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity)
    this.wait = new PlacementWait(parts, admitted, this.deadlineAtMs)
  }

  /** The caller closed its connection: aborts the running exchanges. */
  onCallerDisconnect (): void {
    this.callerLeftMs ??= this.elapsedMs()
    this.stop(ExchangeEnd.CallerLeft)
  }

  /** The node ends now: its caller gets an error, unless a response has begun. */
  onNodeEnd (): void {
    if (!this.response.isStarted) this.stop(ExchangeEnd.Stopped)
  }

  get progress (): RequestProgress {
    const { admitted, response, paused, targets } = this
    return { admitted, isResponseStarted: response.isStarted, isPaused: paused, targets, stream: this.currentRun?.stream ?? null }
  }

  async run (): Promise<RequestReport> {
    const cancelDeadline = this.startDeadline()
    this.response.onDrain(() => { this.resume() })
    const { route } = this.admitted
    const dispatched = await runProcedure(runDispatch({ retryable: isRetryable(route), maxAttempts: route.maxAttempts }), {
      [DispatchEffectKind.Place]: async (effect) => this.targets.length > 0 ? await this.placeAgain(effect) : await this.wait.place(() => this.place(effect)),
      [DispatchEffectKind.Exchange]: async (effect) => await this.exchange(effect),
      [DispatchEffectKind.AwaitOpen]: async () => await this.nextReport(),
      [DispatchEffectKind.JudgeLoss]: async () => await this.mayRetryAfterLoss(),
      [DispatchEffectKind.SpendRetry]: () => this.takeRetry()
    }).finally(() => { this.releaseRetry() })
    cancelDeadline()
    this.failures.settle(this.parts.clock.nowMs())
    // The caller disconnected while its request waited: nobody receives the rejection.
    const end = this.stoppedWith === ExchangeEnd.CallerLeft && dispatched.kind === DispatchEndKind.NotRun ? { ...dispatched, kind: DispatchEndKind.CallerLeft, refusal: null } : dispatched
    const retryAfterMs = retryAfterMsOf(end, this.parts.stopAdmission)
    const answeredWith = this.respond(end, retryAfterMs)
    const firstByteMs = this.firstByteAtMs === null ? null : this.firstByteAtMs - this.admitted.arrivedAtMs
    return { end, answeredWith, firstByteMs, retryAfterMs: end.kind === DispatchEndKind.NotRun ? retryAfterMs : null, waitedMs: this.wait.waitedMs, targets: this.targets, sentMs: this.sentMs, callerLeftMs: this.callerLeftMs, stream: this.currentRun?.stream ?? null }
  }

  reasonNotToSend (): ExchangeEnd | null {
    return this.stoppedWith ?? (this.leftMs() < MIN_USEFUL_MS ? ExchangeEnd.TimedOut : null)
  }

  onSend (): void {
    this.sentMs.push(this.elapsedMs())
  }

  onEvents (run: EndpointRun, events: Buffer): boolean {
    if (!this.runs.has(run)) return true
    if (!this.runs.mustProve(run)) return this.forward(run, events)
    run.hold(events)
    return true
  }

  onSilent (run: EndpointRun): void {
    if (!this.runs.has(run)) return
    this.runs.noteSilent(run)
    this.forwardHeld()
  }

  onEnd (run: EndpointRun, end: ExchangeEnd, buffered: BufferedResponse | null): void {
    if (!this.runs.has(run)) return
    this.currentRun = run
    if (EXCHANGE_RULES[end].mayHaveCrashedEndpoint) this.lossesRecorded = Promise.all([this.lossesRecorded, run.untilLossRecorded()])
    const finalEnd = this.reclassifyEnd(run, end, buffered)
    if (buffered !== null) this.handleResponse(run, finalEnd, buffered)
    this.runs.noteEnd(run, finalEnd)
    this.forwardHeld()
  }

  /** Returns false while the caller reads more slowly than events arrive. */
  private forward (run: EndpointRun, events: Buffer): boolean {
    this.runs.keepOnly(run)
    this.currentRun = run
    this.lastEventId = run.lastEventId
    this.startStream(run)
    this.paused = !this.response.write(run.takeHeld(events))
    return !this.paused
  }

  private forwardHeld (): void {
    const { released } = this.runs
    if (released !== undefined) this.forward(released, NO_BYTES)
  }

  private async mayRetryAfterLoss (): Promise<boolean> {
    await this.lossesRecorded
    return this.parts.poison.guard.mayRetry(this.admitted.content)
  }

  private startDeadline (): Teardown {
    const { clock } = this.parts
    return clock.registerTimer(this.deadlineAtMs - clock.nowMs() + DEADLINE_GRACE_MS, () => { this.stop(ExchangeEnd.TimedOut) })
  }

  private stop (end: ExchangeEnd): void {
    this.stoppedWith ??= end
    this.wait.cancel()
    this.runs.abort(end)
  }

  private takeRetry (): boolean {
    if (this.stoppedWith === null && this.canCompleteRetry()) this.retry = this.parts.dispatch.trySpendRetry(this.admitted.service)
    return this.retry !== null
  }

  /** At a stopping node, a caller that has no part of a response yet can repeat its request elsewhere sooner than a retry here would be cut. */
  private canCompleteRetry (): boolean {
    return this.response.isStarted || !this.runs.isEmpty || this.parts.stopAdmission.admitsRetry(this.admitted.route, this.leftMs())
  }

  /** Nothing is sent for the retry that was taken. */
  private releaseRetry (): void {
    this.retry?.release()
    this.retry = null
  }

  private async placeAgain (effect: PlaceEffect): Promise<DispatchTarget | PlacementRefusal> {
    await this.parts.polls.afterPoll()
    const placed = this.place(effect)
    if (!('endpoint' in placed)) this.releaseRetry()
    return placed
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

  /** Runs the request at another endpoint, unless a silent one has gone on meanwhile. */
  private async exchange ({ target, mayRetry }: ExchangeEffect): Promise<ExchangeReport> {
    const reason = this.reasonNotToSend()
    if (reason !== null && this.runs.isEmpty) return { end: reason, hasPartialResponse: this.response.isStarted, hasOpenExchange: false, isUnsent: false, superseded: [] }
    const isNeeded = reason === null && this.runs.needsAnother
    if (isNeeded) this.startRun(target, mayRetry)
    else this.releaseRetry()
    return { ...await this.nextReport(), isUnsent: !isNeeded }
  }

  private startRun (target: DispatchTarget, mayRetry: boolean): void {
    this.targets.push(target.endpoint)
    const run = new EndpointRun(this.parts, this.admitted, { target, mayRetry, lastEventId: this.lastEventId, leftMs: this.leftMs(), arrival: this.arrivals.begin(this.retry), failures: this.failures }, this)
    this.retry = null
    this.runs.add(run)
    run.start()
  }

  private async nextReport (): Promise<ExchangeReport> {
    const report = await this.runs.nextReport()
    return { ...report, hasPartialResponse: this.response.isStarted, isUnsent: false }
  }

  /**
   * Sends the response head with the first complete event: until then, another endpoint's response or an error can take its place. A
   * resumed stream keeps the head that the caller has already received.
   */
  private startStream (run: EndpointRun): void {
    this.noteFirstByte()
    if (run.head !== null) this.response.start(run.head)
  }

  /** A stream that the caller has partly received can't be completed by a response that isn't a stream. */
  private reclassifyEnd (run: EndpointRun, end: ExchangeEnd, buffered: BufferedResponse | null): ExchangeEnd {
    if (end !== ExchangeEnd.Answered || buffered === null || isStream(run, buffered)) return end
    return this.response.isStarted ? ExchangeEnd.BrokenOff : end
  }

  private handleResponse (run: EndpointRun, end: ExchangeEnd, buffered: BufferedResponse): void {
    if (end === ExchangeEnd.Failed) this.lastFailure = buffered
    if (end !== ExchangeEnd.Answered) return
    this.parts.poison.guard.noteAnswer(this.admitted.content, buffered.status < FIRST_REDIRECT)
    if (isStream(run, buffered)) {
      this.startStream(run)
      return this.response.end(run.takeRemainder())
    }
    this.noteFirstByte()
    this.response.deliver(buffered)
  }

  private resume (): void {
    if (!this.paused) return
    this.paused = false
    this.runs.resume()
  }

  private noteFirstByte (): void {
    this.firstByteAtMs ??= this.parts.clock.nowMs()
  }

  private respond (end: DispatchEnd, retryAfterMs: number): GatewayErrorKind | null {
    return RESPONDERS[end.kind](end, this.response, this.lastFailure, retryAfterMs)
  }
}

function isStream (run: EndpointRun, { status }: BufferedResponse): boolean {
  return run.head !== null && status < FIRST_REDIRECT
}

function isRetryable (route: Route): boolean {
  return route.kind === RequestKind.Idempotent || (route.kind === RequestKind.Streaming && route.resumable)
}
