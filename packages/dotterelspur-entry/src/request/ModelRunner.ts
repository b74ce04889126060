import {
  AttemptResult, EndpointErrorKind, InterruptKind, LifecycleEffectKind, OutcomeKind, OutcomeReason, RequestSafety, RouteRefusalKind, StreamEventKind, TargetKind,
  failed, groupTargetId, notRun, runModelRequest, runProcedure, success,
  type ChunkKind, type EffectHandlers, type EndpointError, type GenerateRequest, type GroupTarget, type GroupView, type ModelEffects, type ModelResult, type NextEvent, type Outcome, type RequestContent, type Result,
  type RouteAttempt, type RouteRefusal, type SendEffect
} from 'dotterelspur'
import type { ExchangeTracker } from 'dotterelspur-poison'
import type { EntryContext } from '../process/EntryContext.js'
import { teamScoped } from '../process/FleetView.js'
import { AttemptStream, waitOrInterrupt, type RequestInterrupt } from './AttemptStream.js'
import { contentOf } from './contentOf.js'
import { estimateTokens, routingPrefixes } from './prefixHashes.js'
import type { RunChannel } from './RunChannel.js'
import { RunEventKind, type ModelRunRequest } from './RunRequest.js'

const STALL_CHECK_MS = 250

/** Executes the effects of one model request's procedure against the endpoints. */
export class ModelRunner {
  private stream: AttemptStream | null = null
  private group: GroupView | null = null
  private target: GroupTarget | null = null
  private route: RouteAttempt | null = null
  private decidedAtMs = 0
  private attemptTokens = 0
  private attemptResult = AttemptResult.Cancelled
  private delivered = false
  private readonly prefixes: readonly number[]
  private readonly content: RequestContent
  /** Resolves once the check has completed whether the endpoint of the last lost connection has terminated. */
  private lossCheck: Promise<void> = Promise.resolve()
  private exchange: ExchangeTracker | null = null
  firstTokenAtMs: number | null = null
  overloaded = false

  constructor (
    private readonly context: EntryContext,
    private readonly request: ModelRunRequest,
    private readonly channel: RunChannel,
    private readonly interrupt: RequestInterrupt
  ) {
    this.prefixes = routingPrefixes(request.prompt)
    this.content = contentOf(request)
  }

  async run (): Promise<ModelResult> {
    const { limits, timing } = this.context
    const cancelStallCheck = this.watchForStalls()
    try {
      return await runProcedure(runModelRequest({
        requestId: this.request.requestId,
        safety: this.request.safety,
        maxAttempts: limits.maxAttempts,
        maxLookups: Math.ceil(timing.regroupWaitMs / (timing.retryPauseMs * 10)),
        retryDelayMs: timing.retryPauseMs,
        maxFailedSelections: Math.ceil(timing.regroupWaitMs / timing.retryPauseMs)
      }), this.handlers)
    } finally {
      cancelStallCheck()
      this.endAttempt()
    }
  }

  private readonly handlers: EffectHandlers<ModelEffects> = {
    [LifecycleEffectKind.SelectGroup]: ({ excluded, version }) => this.select(excluded, version),
    [LifecycleEffectKind.Send]: (effect) => this.send(effect),
    [LifecycleEffectKind.Resume]: ({ group, attempt, offset }) => {
      this.open((signal) => this.context.engines.resume(group.leaderAddress, this.request.requestId, attempt, offset, signal))
    },
    [LifecycleEffectKind.NextEvent]: () => this.next(),
    [LifecycleEffectKind.CloseStream]: ({ cancel }) => { this.closeStream(cancel) },
    [LifecycleEffectKind.Lookup]: ({ group }) => this.context.engines.lookup(group.leaderAddress, this.request.requestId, this.context.timing.lookupTimeoutMs),
    [LifecycleEffectKind.CheckPoison]: async () => {
      await this.lossCheck
      return this.context.poison.guard.mayRetry(this.content)
    },
    [LifecycleEffectKind.SpendRetry]: () => this.spendRetry(),
    [LifecycleEffectKind.Wait]: ({ durationMs }) => waitOrInterrupt(this.context.clock, durationMs, this.interrupt),
    [LifecycleEffectKind.Deliver]: ({ offset, text, tokens }) => {
      this.delivered = true
      return this.channel.push({ kind: RunEventKind.Text, offset, tokens, text })
    },
    [LifecycleEffectKind.RestartAnswer]: () => this.restartAnswer()
  }

  private select (excluded: readonly string[], version: string | null): Result<GroupView, Outcome> {
    const { clock, router, random, fleet, teams } = this.context
    const { team, model, adapter, priority, safety, prompt } = this.request
    const intent = teams.get(team)?.models.find((entry) => entry.model === model)
    if (intent === undefined) return failed(notRun(OutcomeReason.ModelNotFound, `team ${team} has no model ${model}`, null))
    this.decidedAtMs = clock.nowMs()
    const decision = router.decide({
      kind: TargetKind.Group,
      model: teamScoped(team, model),
      version: version ?? intent.version,
      versionPinned: version !== null,
      adapter,
      prefixHashes: this.prefixes,
      promptTokens: estimateTokens(prompt),
      excluded: new Set(excluded.flatMap((group) => this.targetIdsOf(group))),
      priority,
      idempotent: safety === RequestSafety.Idempotent
    }, this.decidedAtMs, random)
    if (!decision.ok) return failed(refusalOutcome(decision.error))
    this.target = decision.value.target
    const view = fleet.group(decision.value.target.group)
    return view === undefined ? failed(notRun(OutcomeReason.NoReplica, 'the chosen group was removed before the request was sent')) : success(view)
  }

  private targetIdsOf (group: string): string[] {
    const view = this.context.fleet.group(group)
    return view === undefined ? [] : [groupTargetId(view.group, view.formation)]
  }

  /**
   * Rechecks the chosen group and sends the request in the same turn of the event loop. The process may have been
   * paused since the group was chosen, and the group may have been dissolved. The engine refuses a request for another
   * formation, but a group can be incomplete at the same formation: without the recheck the request would run while
   * some members of the group are down.
   */
  private send ({ group, attempt, resumeOffset, resumeText }: SendEffect): boolean {
    const { clock, pauses, fleet, observer, router, engines } = this.context
    const nowMs = clock.nowMs()
    if (pauses.isStaleDecision(this.decidedAtMs, nowMs) || !fleet.isDispatchable(group)) {
      observer.staleDecision()
      fleet.refresh()
      return false
    }
    const generate: GenerateRequest = {
      requestId: this.request.requestId,
      attempt,
      group: group.group,
      formation: group.formation,
      model: group.model,
      version: group.version,
      adapter: this.request.adapter,
      prompt: this.request.prompt,
      maxTokens: this.request.maxTokens,
      priority: this.request.priority,
      seed: this.request.seed,
      resumeOffset,
      resumeText,
      idempotencyKey: this.request.idempotencyKey
    }
    this.group = group
    this.route = router.begin(this.target!, nowMs)
    this.attemptTokens = 0
    this.exchange = this.context.poison.guard.trackExchange(this.content)
    this.attemptResult = AttemptResult.Cancelled
    this.open((signal) => engines.generate(group.leaderAddress, generate, signal))
    return true
  }

  private open (start: ConstructorParameters<typeof AttemptStream>[0]): void {
    this.stream?.close()
    this.stream = new AttemptStream(start, this.interrupt, this.context.clock)
  }

  private next (): NextEvent | Promise<NextEvent> {
    const event = this.stream!.next()
    if (event instanceof Promise) return event.then((arrived) => this.noteEvent(arrived))
    return this.noteEvent(event)
  }

  private noteEvent (event: NextEvent): NextEvent {
    if (event === null) this.attemptResult = AttemptResult.Broken
    else if (!('kind' in event)) return event
    else if (event.kind === StreamEventKind.Chunk) this.noteChunk(event.chunk)
    else if (event.kind === StreamEventKind.Error) this.noteError(event.error)
    else this.attemptResult = event.kind === InterruptKind.Stalled ? AttemptResult.Broken : AttemptResult.Cancelled
    if (this.attemptResult === AttemptResult.Refused) this.overloaded = true
    if (isConnectionLost(event)) this.noteLoss()
    if (this.attemptResult === AttemptResult.Completed) this.context.poison.guard.noteAnswer(this.content)
    return event
  }

  private noteError (error: EndpointError): void {
    this.attemptResult = RESULT_BY_ERROR[error.kind]
    if (error.kind === EndpointErrorKind.Refused && this.route !== null) this.context.router.recordBackoff(this.route, error.retryAfterMs, this.context.clock.nowMs())
  }

  private noteLoss (): void {
    if (this.group === null) return
    const { group, formation, leaderAddress } = this.group
    this.lossCheck = this.context.poison.noteLoss({ content: this.content, endpoint: groupTargetId(group, formation), url: leaderAddress, tokens: this.attemptTokens })
  }

  private noteChunk (chunk: { readonly kind: ChunkKind, readonly tokens?: number }): void {
    if (chunk.tokens === undefined) {
      this.attemptResult = AttemptResult.Completed
      return
    }
    const nowMs = this.context.clock.nowMs()
    if (this.route !== null) this.context.router.recordFirstToken(this.route, nowMs)
    this.firstTokenAtMs ??= nowMs
    this.attemptTokens += chunk.tokens
    this.exchange?.noteProgress()
  }

  private closeStream (cancel: boolean): void {
    const { engines, timing } = this.context
    const { group, stream } = this
    const finished = this.attemptResult === AttemptResult.Completed
    this.stream = null
    stream?.close()
    this.endAttempt()
    if (cancel && !finished && group !== null) engines.cancel(group.leaderAddress, this.request.requestId, timing.lookupTimeoutMs)
  }

  private endAttempt (): void {
    this.exchange?.end()
    this.stream?.close()
    this.stream = null
    if (this.route === null) return
    this.context.router.end(this.route, this.attemptResult, this.context.clock.nowMs(), this.attemptTokens)
    this.route = null
  }

  private spendRetry (): boolean {
    const allowed = this.context.retries.tryRetry(this.request.team)
    if (allowed) this.context.observer.attemptRetried(this.request.team)
    return allowed
  }

  private restartAnswer (): boolean {
    if (this.request.streamed && this.delivered) return false
    this.channel.push({ kind: RunEventKind.Restart })
    this.delivered = false
    return true
  }

  /** Stalls the stream if it has been silent for `streamIdleMs`, or for `lostGroupStallMs` while its group is not dispatchable. */
  private watchForStalls (): () => void {
    const { clock, timing, fleet } = this.context
    let cancel = (): void => {}
    const check = (): void => {
      cancel = clock.registerTimer(STALL_CHECK_MS, check)
      if (this.stream === null || !this.stream.isWaiting) return
      const silentMs = clock.nowMs() - this.stream.lastEventAtMs
      const lost = silentMs >= timing.lostGroupStallMs && this.group !== null && !fleet.isDispatchable(this.group)
      if (lost || silentMs >= timing.streamIdleMs) this.stream.stall()
    }
    check()
    return () => { cancel() }
  }
}

const CONNECTION_LOSS_ERRORS: ReadonlySet<EndpointErrorKind> = new Set([EndpointErrorKind.Ambiguous, EndpointErrorKind.Broken])

/** Whether the connection was lost before the answer was complete. */
function isConnectionLost (event: NextEvent): boolean {
  return event === null || ('kind' in event && event.kind === StreamEventKind.Error && CONNECTION_LOSS_ERRORS.has(event.error.kind))
}

const RESULT_BY_ERROR: Readonly<Record<EndpointErrorKind, AttemptResult>> = {
  [EndpointErrorKind.NotRun]: AttemptResult.Broken,
  [EndpointErrorKind.WrongFormation]: AttemptResult.Refused,
  [EndpointErrorKind.Fenced]: AttemptResult.Refused,
  [EndpointErrorKind.Refused]: AttemptResult.Refused,
  [EndpointErrorKind.Ambiguous]: AttemptResult.Broken,
  [EndpointErrorKind.Broken]: AttemptResult.Broken,
  [EndpointErrorKind.Failed]: AttemptResult.Failed,
  [EndpointErrorKind.Malformed]: AttemptResult.Broken
}

const OVERLOAD_REFUSALS: ReadonlySet<RouteRefusalKind> = new Set([RouteRefusalKind.AllTried, RouteRefusalKind.AllBackingOff])

/** Converts a routing refusal to the outcome of a request that was never sent. */
export function refusalOutcome (refusal: RouteRefusal): Outcome {
  const reason = OVERLOAD_REFUSALS.has(refusal.kind) ? OutcomeReason.Overloaded : OutcomeReason.NoReplica
  return { kind: OutcomeKind.NotRun, reason, message: refusal.message, retryAfterMs: refusal.retryAfterMs }
}
