import { EndpointErrorKind, StreamEventKind, StreamState, type EndpointError, type FinishReason, type GenerateChunk } from '../../connection/EngineApi.js'
import type { RequestId } from '../../process/ids.js'
import { perform, type Procedure } from '../../process/Procedure.js'
import { OutcomeReason, type Outcome } from '../Outcome.js'
import { EMPTY_PROGRESS, JoinKind, extendProgress, joinChunk, type AnswerProgress } from './AnswerProgress.js'
import { ChunkVerdictKind, judgeChunk, type ChunkCursor, type ChunkVerdict } from './ChunkCursor.js'
import type { GroupView } from './GroupTable.js'
import {
  InterruptKind, LifecycleEffectKind, RequestSafety, isInterrupt,
  type CloseStreamEffect, type DeliverEffect, type JudgeRequestEffect, type LookupEffect, type ModelEffects, type ModelResult, type NextEventEffect,
  type ResumeEffect, type SelectGroupEffect, type SendEffect, type SpendRetryEffect, type StartAgainEffect, type WaitEffect
} from './LifecycleEffects.js'
import { answered, failedByEndpoint, notRun, unknownOutcome } from './outcomes.js'

export interface ModelPlan {
  readonly requestId: RequestId
  readonly safety: RequestSafety
  /** Sends over the life of the request. */
  readonly maxAttempts: number
  /** Looks at the endpoint after an ambiguous send of a non-idempotent request. */
  readonly maxLookups: number
  /** Between two looks, and between two choices while no group can go on with the answer. */
  readonly pauseMs: number
  /** Choices that found no group, after an attempt, before the request is given up. */
  readonly maxBarrenChoices: number
}

enum AttemptEndKind {
  Whole = 'whole',
  /** The endpoint ran nothing and will not. */
  Refused = 'refused',
  /** It may have run; it may run still. */
  Lost = 'lost',
  /** The endpoint ran it and says that it failed. */
  Failed = 'failed',
  /** The caller or the deadline ended it. */
  Stopped = 'stopped',
  /** The engine's text differs from what the caller has. */
  Differs = 'differs'
}

type AttemptEnd =
  | { readonly kind: AttemptEndKind.Whole, readonly finishReason: FinishReason, readonly promptTokens: number }
  | { readonly kind: AttemptEndKind.Refused, readonly reason: string, readonly busy: boolean, readonly retryAfterMs: number | null }
  | { readonly kind: AttemptEndKind.Lost, readonly reason: string }
  | { readonly kind: AttemptEndKind.Failed, readonly reason: string, readonly status: number }
  | { readonly kind: AttemptEndKind.Stopped, readonly interrupt: InterruptKind }
  | { readonly kind: AttemptEndKind.Differs }

interface ModelRun {
  readonly plan: ModelPlan
  progress: AnswerProgress
  attempt: number
  barrenChoices: number
  excluded: string[]
  /** Some attempt may have reached an endpoint, so not-run can no longer be said. */
  mayHaveRun: boolean
}

type Next = ModelResult | null

/** Most choices that turned out stale right before the send; each was cheap and sent nothing. */
const MAX_STALE_CHOICES = 8

/**
 * One model request from its first choice to its outcome.
 *
 * Idempotent: an attempt that ends badly goes on elsewhere, from the offset that the caller has. Non-idempotent:
 * it goes elsewhere only after a refusal that proves that nothing ran; after anything else it looks at the
 * endpoint for its stream and follows that, and never sends again.
 */
export function * runModelRequest (plan: ModelPlan): Procedure<ModelEffects, ModelResult> {
  const run: ModelRun = { plan, progress: EMPTY_PROGRESS, attempt: 0, barrenChoices: 0, excluded: [], mayHaveRun: false }
  let staleChoices = 0
  for (;;) {
    const choice = yield * perform<SelectGroupEffect>({ kind: LifecycleEffectKind.SelectGroup, excluded: run.excluded, version: run.progress.version })
    if (!choice.ok) {
      const ended = yield * afterBarrenChoice(run, choice.error)
      if (ended !== null) return ended
      continue
    }
    const group = choice.value
    const sent = yield * send(run, group)
    if (!sent) {
      staleChoices += 1
      if (staleChoices >= MAX_STALE_CHOICES) return finish(run, giveUp(run, OutcomeReason.NoReplica, 'no group stayed whole until the send'))
      continue
    }
    const end = yield * followStream(run, group)
    const ended = yield * afterAttempt(run, group, end)
    if (ended !== null) return ended
  }
}

function * send (run: ModelRun, group: GroupView): Procedure<ModelEffects, boolean> {
  const { settledOffset, settledText } = run.progress
  const sent = yield * perform<SendEffect>({ kind: LifecycleEffectKind.Send, group, attempt: run.attempt + 1, resumeOffset: settledOffset, resumeText: settledText })
  if (sent) run.attempt += 1
  return sent
}

function * followStream (run: ModelRun, group: GroupView): Procedure<ModelEffects, AttemptEnd> {
  let cursor: ChunkCursor = { requestId: run.plan.requestId, attempt: run.attempt, offset: run.progress.settledOffset }
  let expected = run.progress.lastText
  for (;;) {
    const event = yield * perform<NextEventEffect>({ kind: LifecycleEffectKind.NextEvent })
    if (event === null) return lost('the stream ended without its end mark')
    if (isInterrupt(event)) return event.kind === InterruptKind.Stalled ? lost('the stream stalled') : { kind: AttemptEndKind.Stopped, interrupt: event.kind }
    if (event.kind === StreamEventKind.Error) return endOfError(event.error)
    const verdict = judgeChunk(cursor, event.chunk)
    cursor = verdict.cursor
    if (verdict.kind === ChunkVerdictKind.Drop) continue
    if (verdict.kind !== ChunkVerdictKind.Take) return endOfVerdict(run, verdict, event.chunk)
    const join = joinChunk(expected, run.progress.offset, cursor.offset, verdict.text)
    if (join.kind === JoinKind.Differs) return { kind: AttemptEndKind.Differs }
    expected = join.kind === JoinKind.Overlap ? join.expected : ''
    if (join.kind === JoinKind.Overlap) continue
    const { offset } = run.progress
    run.progress = extendProgress(run.progress, group.version, join.text, join.tokens)
    yield * perform<DeliverEffect>({ kind: LifecycleEffectKind.Deliver, offset, text: join.text, tokens: join.tokens })
  }
}

function endOfVerdict (run: ModelRun, verdict: ChunkVerdict, chunk: GenerateChunk): AttemptEnd {
  if (verdict.kind === ChunkVerdictKind.Whole) {
    if (verdict.cursor.offset < run.progress.offset) return lost(`end at ${verdict.cursor.offset}, but the caller has ${run.progress.offset}`)
    return { kind: AttemptEndKind.Whole, finishReason: verdict.finishReason, promptTokens: verdict.promptTokens }
  }
  if (verdict.kind === ChunkVerdictKind.Cancelled) return { kind: AttemptEndKind.Failed, reason: 'the engine cancelled it', status: 0 }
  return lost(verdict.kind === ChunkVerdictKind.Broken ? verdict.reason : `unexpected chunk of attempt ${chunk.attempt}`)
}

function lost (reason: string): AttemptEnd {
  return { kind: AttemptEndKind.Lost, reason }
}

function refused (error: { readonly reason: string, readonly retryAfterMs?: number }, busy: boolean): AttemptEnd {
  return { kind: AttemptEndKind.Refused, reason: error.reason, busy, retryAfterMs: error.retryAfterMs ?? null }
}

const END_OF_ERROR: { readonly [Kind in EndpointErrorKind]: (error: Extract<EndpointError, { kind: Kind }>) => AttemptEnd } = {
  [EndpointErrorKind.NotRun]: (error) => refused(error, false),
  [EndpointErrorKind.WrongFormation]: (error) => refused(error, false),
  [EndpointErrorKind.Fenced]: (error) => refused({ reason: `fenced by ${error.highestFencing}` }, false),
  [EndpointErrorKind.Refused]: (error) => refused(error, true),
  [EndpointErrorKind.Ambiguous]: (error) => lost(error.reason),
  [EndpointErrorKind.Broken]: (error) => lost(error.reason),
  [EndpointErrorKind.Malformed]: (error) => lost(error.reason),
  [EndpointErrorKind.Failed]: (error) => ({ kind: AttemptEndKind.Failed, reason: error.reason, status: error.status })
}

function endOfError (error: EndpointError): AttemptEnd {
  return (END_OF_ERROR[error.kind] as (error: EndpointError) => AttemptEnd)(error)
}

type EndHandlers = { readonly [Kind in AttemptEndKind]: (run: ModelRun, group: GroupView, end: Extract<AttemptEnd, { kind: Kind }>) => Procedure<ModelEffects, Next> }

const END_HANDLERS: EndHandlers = {
  [AttemptEndKind.Whole]: function * (run, _group, end) {
    yield * close(false)
    return finish(run, answered(), end.finishReason, end.promptTokens)
  },
  [AttemptEndKind.Refused]: function * (run, group, end) {
    yield * close(false)
    const reason = end.busy ? OutcomeReason.Overloaded : OutcomeReason.NoReplica
    return yield * tryElsewhere(run, group, giveUp(run, reason, end.reason, end.retryAfterMs))
  },
  [AttemptEndKind.Lost]: function * (run, group, end) {
    run.mayHaveRun = true
    yield * close(run.plan.safety === RequestSafety.Idempotent)
    if (run.plan.safety === RequestSafety.NonIdempotent) return yield * recover(run, group, end.reason)
    return yield * tryElsewhere(run, group, unknownOutcome(OutcomeReason.StreamBroken, end.reason))
  },
  [AttemptEndKind.Failed]: function * (run, group, end) {
    run.mayHaveRun = true
    yield * close(false)
    const outcome = failedByEndpoint(OutcomeReason.EndpointFailed, end.reason)
    if (run.plan.safety === RequestSafety.NonIdempotent || isCallersFault(end.status)) return finish(run, outcome)
    return yield * tryElsewhere(run, group, outcome)
  },
  [AttemptEndKind.Stopped]: function * (run, _group, end) {
    run.mayHaveRun = true
    yield * close(run.plan.safety === RequestSafety.Idempotent)
    return finish(run, stopped(run, end.interrupt))
  },
  [AttemptEndKind.Differs]: function * (run, group) {
    run.mayHaveRun = true
    yield * close(true)
    const restarted = yield * startAgain(run)
    const outcome = unknownOutcome(OutcomeReason.StreamBroken, 'the answer could not be continued: the engines disagree about it')
    return restarted ? yield * tryElsewhere(run, group, outcome) : finish(run, outcome)
  }
}

function * afterAttempt (run: ModelRun, group: GroupView, end: AttemptEnd): Procedure<ModelEffects, Next> {
  const handler = END_HANDLERS[end.kind] as (run: ModelRun, group: GroupView, end: AttemptEnd) => Procedure<ModelEffects, Next>
  return yield * handler(run, group, end)
}

function * close (cancel: boolean): Procedure<ModelEffects, void> {
  yield * perform<CloseStreamEffect>({ kind: LifecycleEffectKind.CloseStream, cancel })
}

/** Drops what was collected, where the caller has seen none of it; then any version will do. */
function * startAgain (run: ModelRun): Procedure<ModelEffects, boolean> {
  if (run.progress.offset === 0) return true
  const allowed = yield * perform<StartAgainEffect>({ kind: LifecycleEffectKind.StartAgain })
  if (allowed) run.progress = EMPTY_PROGRESS
  return allowed
}

function * tryElsewhere (run: ModelRun, group: GroupView, otherwise: Outcome): Procedure<ModelEffects, Next> {
  run.excluded.push(group.group)
  if (run.attempt >= run.plan.maxAttempts) return finish(run, otherwise)
  const trusted = yield * perform<JudgeRequestEffect>({ kind: LifecycleEffectKind.JudgeRequest })
  if (!trusted) return finish(run, otherwise)
  const allowed = yield * perform<SpendRetryEffect>({ kind: LifecycleEffectKind.SpendRetry })
  if (allowed) return null
  return finish(run, { ...otherwise, reason: OutcomeReason.RetryBudgetExhausted, message: `${otherwise.message}; the retry budget is spent` })
}

/**
 * No group could be chosen. A request that was never sent is refused at once. One that began waits for a while:
 * first the groups it had left are allowed again, then another version where the caller has seen nothing.
 */
function * afterBarrenChoice (run: ModelRun, refusal: Outcome): Procedure<ModelEffects, Next> {
  if (run.attempt === 0) return finish(run, refusal)
  run.barrenChoices += 1
  if (run.barrenChoices > run.plan.maxBarrenChoices) return finish(run, giveUp(run, refusal.reason, refusal.message, refusal.retryAfterMs))
  run.excluded = []
  if (run.barrenChoices > run.plan.maxBarrenChoices / 2) yield * startAgain(run)
  const interrupt = yield * perform<WaitEffect>({ kind: LifecycleEffectKind.Wait, durationMs: run.plan.pauseMs })
  return interrupt === null ? null : finish(run, stopped(run, interrupt.kind))
}

/** Follows the stream of a non-idempotent request whose connection was lost. The request is never sent again. */
function * recover (run: ModelRun, group: GroupView, cause: string): Procedure<ModelEffects, Next> {
  for (let look = 0; look < run.plan.maxLookups; look += 1) {
    const status = yield * perform<LookupEffect>({ kind: LifecycleEffectKind.Lookup, group })
    const state = status.ok ? status.value.state : StreamState.Absent
    if (state === StreamState.Cancelled) return finish(run, failedByEndpoint(OutcomeReason.StreamBroken, 'the engine stopped it before its end'))
    if (state === StreamState.Running || state === StreamState.Whole) {
      yield * perform<ResumeEffect>({ kind: LifecycleEffectKind.Resume, group, attempt: run.attempt, offset: run.progress.settledOffset })
      const end = yield * followStream(run, group)
      if (end.kind === AttemptEndKind.Whole || end.kind === AttemptEndKind.Failed || end.kind === AttemptEndKind.Stopped) return yield * afterAttempt(run, group, end)
      yield * close(false)
    }
    const interrupt = yield * perform<WaitEffect>({ kind: LifecycleEffectKind.Wait, durationMs: run.plan.pauseMs })
    if (interrupt !== null) return finish(run, stopped(run, interrupt.kind))
  }
  return finish(run, unknownOutcome(OutcomeReason.StreamBroken, cause))
}

const STOP_REASON: { readonly [Kind in InterruptKind]: OutcomeReason } = {
  [InterruptKind.CallerGone]: OutcomeReason.Cancelled,
  [InterruptKind.Deadline]: OutcomeReason.DeadlineExceeded,
  [InterruptKind.Stalled]: OutcomeReason.StreamBroken
}

function stopped (run: ModelRun, interrupt: InterruptKind): Outcome {
  return giveUp(run, STOP_REASON[interrupt], interrupt === InterruptKind.Deadline ? 'the deadline passed' : 'the caller went away', null)
}

function giveUp (run: ModelRun, reason: OutcomeReason, message: string, retryAfterMs: number | null = null): Outcome {
  return run.mayHaveRun ? unknownOutcome(reason, message, retryAfterMs) : notRun(reason, message, retryAfterMs ?? undefined)
}

function isCallersFault (status: number): boolean {
  return status >= 400 && status < 500
}

function finish (run: ModelRun, outcome: Outcome, finishReason: FinishReason | null = null, promptTokens = 0): ModelResult {
  return { outcome, finishReason, promptTokens, completionTokens: run.progress.offset, attempts: run.attempt }
}
