import {
  ChunkKind, LifecycleEffectKind, OutcomeKind, OutcomeReason, RequestSafety, RouteRefusalKind, StreamEventKind, TargetKind,
  failed, groupTargetId, notRun, runModelRequest, runProcedure, success,
  type AttemptEvent, type EffectHandlers, type GenerateRequest, type GroupTarget, type GroupView, type ModelEffects, type ModelResult, type NextEvent, type Outcome, type RequestContent, type Result,
  type ResumeEffect, type RouteRefusal, type SendEffect
} from 'dotterelspur'
import type { EntryContext } from '../process/EntryContext.js'
import { teamScoped } from '../process/FleetView.js'
import { waitOrInterrupt, type RequestInterrupt } from './AttemptStream.js'
import { contentOf } from './contentOf.js'
import { ModelAttempt, isConnectionLost } from './ModelAttempt.js'
import { OpenStreams } from './OpenStreams.js'
import { estimateTokens, routingPrefixes } from './prefixHashes.js'
import type { RunChannel } from './RunChannel.js'
import { RunEventKind, type ModelRunRequest } from './RunRequest.js'

const STALL_CHECK_MS = 250

/** Executes the effects of one model request's procedure against the endpoints. */
export class ModelRunner {
  private readonly streams: OpenStreams
  /** The attempts whose streams are open, by number. */
  private readonly attempts = new Map<number, ModelAttempt>()
  private target: GroupTarget | null = null
  private decidedAtMs = 0
  private delivered = false
  private readonly prefixes: readonly number[]
  private readonly content: RequestContent
  /** Resolves once the check has completed whether the endpoint of the last lost connection has terminated. */
  private lossCheck: Promise<void> = Promise.resolve()
  firstTokenAtMs: number | null = null
  overloaded = false

  constructor (
    private readonly context: EntryContext,
    private readonly request: ModelRunRequest,
    private readonly channel: RunChannel,
    private readonly interrupt: RequestInterrupt
  ) {
    this.streams = new OpenStreams(interrupt, context.clock)
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
      this.streams.closeAll()
      for (const attempt of this.attempts.values()) attempt.end()
    }
  }

  private readonly handlers: EffectHandlers<ModelEffects> = {
    [LifecycleEffectKind.SelectGroup]: ({ excluded, version }) => this.select(excluded, version),
    [LifecycleEffectKind.Send]: (effect) => this.send(effect),
    [LifecycleEffectKind.Resume]: (effect) => { this.resume(effect) },
    [LifecycleEffectKind.NextEvent]: () => this.next(),
    [LifecycleEffectKind.CloseStream]: ({ attempt, cancel }) => { this.closeStream(attempt, cancel) },
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
    this.attempts.set(attempt, new ModelAttempt(this.context, this.content, group, router.begin(this.target!, nowMs)))
    this.streams.open(attempt, (signal) => engines.generate(group.leaderAddress, generate, signal))
    return true
  }

  private resume ({ group, attempt, offset }: ResumeEffect): void {
    if (!this.attempts.has(attempt)) this.attempts.set(attempt, new ModelAttempt(this.context, this.content, group, null))
    this.streams.open(attempt, (signal) => this.context.engines.resume(group.leaderAddress, this.request.requestId, attempt, offset, signal))
  }

  private next (): AttemptEvent | Promise<AttemptEvent> {
    const event = this.streams.next()
    if (event instanceof Promise) return event.then((arrived) => this.noteEvent(arrived))
    return this.noteEvent(event)
  }

  private noteEvent (arrived: AttemptEvent): AttemptEvent {
    const { event } = arrived
    const attempt = this.attempts.get(arrived.attempt)
    attempt?.noteEvent(event)
    if (attempt?.isRefused === true) this.overloaded = true
    if (attempt !== undefined && isConnectionLost(event)) this.lossCheck = attempt.noteLoss()
    if (isTokens(event)) this.firstTokenAtMs ??= this.context.clock.nowMs()
    return arrived
  }

  private closeStream (number: number, cancel: boolean): void {
    const { engines, timing } = this.context
    const attempt = this.attempts.get(number)!
    this.attempts.delete(number)
    this.streams.close(number)
    attempt.end()
    const { leaderAddress } = attempt.group
    if (cancel && !attempt.isCompleted && !this.runsAt(leaderAddress)) engines.cancel(leaderAddress, this.request.requestId, timing.lookupTimeoutMs)
  }

  /** Whether an open attempt runs at an engine, whose cancel would end it: a VM can lead another group by now. */
  private runsAt (address: string): boolean {
    return [...this.attempts.values()].some(({ group }) => group.leaderAddress === address)
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

  /** Reports streams that have been silent for `streamIdleMs`, or for `lostGroupStallMs` while their groups are not dispatchable. */
  private watchForStalls (): () => void {
    const { clock, timing, fleet } = this.context
    let cancel = (): void => {}
    const check = (): void => {
      cancel = clock.registerTimer(STALL_CHECK_MS, check)
      this.streams.reportSilent((attempt, silentMs) => {
        if (silentMs >= timing.streamIdleMs) return true
        return silentMs >= timing.lostGroupStallMs && !fleet.isDispatchable(this.attempts.get(attempt)!.group)
      })
    }
    check()
    return () => { cancel() }
  }
}

function isTokens (event: NextEvent): boolean {
  return event !== null && 'kind' in event && event.kind === StreamEventKind.Chunk && event.chunk.kind === ChunkKind.Tokens
}

const OVERLOAD_REFUSALS: ReadonlySet<RouteRefusalKind> = new Set([RouteRefusalKind.AllTried, RouteRefusalKind.AllBackingOff])

/** Converts a routing refusal to the outcome of a request that was never sent. */
export function refusalOutcome (refusal: RouteRefusal): Outcome {
  const reason = OVERLOAD_REFUSALS.has(refusal.kind) ? OutcomeReason.Overloaded : OutcomeReason.NoReplica
  return { kind: OutcomeKind.NotRun, reason, message: refusal.message, retryAfterMs: refusal.retryAfterMs }
}
