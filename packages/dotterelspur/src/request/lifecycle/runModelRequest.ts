import { EndpointErrorKind, StreamEventKind, StreamState, type EndpointError, type FinishReason, type GenerateChunk } from '../../connection/EngineApi.js'
import type { RequestId } from '../../process/ids.js'
import { perform, type Procedure } from '../../process/Procedure.js'
import { OutcomeReason, type Outcome } from '../Outcome.js'
import { EMPTY_PROGRESS, JoinKind, extendProgress, joinChunk, type AnswerProgress } from './AnswerProgress.js'
import { ChunkVerdictKind, checkChunk, type ChunkCursor, type ChunkVerdict } from './ChunkCursor.js'
import type { GroupView } from './dispatchChecks.js'
import {
  InterruptKind, LifecycleEffectKind, RequestSafety, isInterrupt,
  type CloseStreamEffect, type DeliverEffect, type CheckPoisonEffect, type LookupEffect, type ModelEffects, type ModelResult, type NextEventEffect,
  type ResumeEffect, type SelectGroupEffect, type SendEffect, type SpendRetryEffect, type RestartAnswerEffect, type WaitEffect
} from './LifecycleEffects.js'
import { answered, failedByEndpoint, notRun, unknownOutcome } from './outcomes.js'

export interface ModelPlan {
  readonly requestId: RequestId
  readonly safety: RequestSafety
  /** Maximum number of sends per request. */
  readonly maxAttempts: number
  /** Maximum number of stream lookups at the endpoint after an ambiguous send of a non-idempotent request. */
  readonly maxLookups: number
  /** Delay between two lookups, and between two selections while no group can continue the answer. */
  readonly retryDelayMs: number
  /** Selections without a group, after the first attempt, before the request is given up. */
  readonly maxFailedSelections: number
}

enum AttemptResultKind {
  Completed = 'whole',
  /** The endpoint did not run the request and will not. */
  Refused = 'refused',
  /** The request may have run, or may still be running. */
  Lost = 'lost',
  /** The endpoint reported that the request failed. */
  Failed = 'failed',
  /** Ended by the caller's disconnect or by the deadline. */
  Interrupted = 'stopped',
  /** The engine's text differs from the text that the caller has. */
  Diverged = 'differs'
}

type AttemptResult =
  | { readonly kind: AttemptResultKind.Completed, readonly finishReason: FinishReason, readonly promptTokens: number }
  | { readonly kind: AttemptResultKind.Refused, readonly reason: string, readonly busy: boolean, readonly retryAfterMs: number | null }
  | { readonly kind: AttemptResultKind.Lost, readonly reason: string }
  | { readonly kind: AttemptResultKind.Failed, readonly reason: string, readonly status: number }
  | { readonly kind: AttemptResultKind.Interrupted, readonly interrupt: InterruptKind }
  | { readonly kind: AttemptResultKind.Diverged }

interface ModelRun {
  readonly plan: ModelPlan
  progress: AnswerProgress
  attempt: number
  failedSelections: number
  excluded: string[]
  /** An attempt may have run at an endpoint, so not-run is no longer a valid outcome. */
  mayHaveRun: boolean
}

type StepResult = ModelResult | null

/** Maximum number of selections found stale right before the send. They are cheap, since nothing was sent. */
const MAX_STALE_SELECTIONS = 8

/**
 * Runs one model request from the first selection of a group to its outcome.
 *
 * After an unsuccessful attempt, unless the endpoint reports a client error, an idempotent request is continued at
 * another group from the start of the last chunk handed to the caller. A non-idempotent request is sent to another group
 * only after a refusal, which proves that it did not run. After a lost connection it is never sent again; its stream is
 * looked up at the endpoint and followed instead.
 */
export function * runModelRequest (plan: ModelPlan): Procedure<ModelEffects, ModelResult> {
  const run: ModelRun = { plan, progress: EMPTY_PROGRESS, attempt: 0, failedSelections: 0, excluded: [], mayHaveRun: false }
  let staleSelections = 0
  for (;;) {
    const selection = yield * perform<SelectGroupEffect>({ kind: LifecycleEffectKind.SelectGroup, excluded: run.excluded, version: run.progress.version })
    if (!selection.ok) {
      const ended = yield * afterFailedSelection(run, selection.error)
      if (ended !== null) return ended
      continue
    }
    const group = selection.value
    const sent = yield * send(run, group)
    if (!sent) {
      staleSelections += 1
      if (staleSelections >= MAX_STALE_SELECTIONS) return finish(run, notRunOrUnknown(run, OutcomeReason.NoReplica, 'no group remained complete until the request could be sent'))
      continue
    }
    const result = yield * followStream(run, group)
    const ended = yield * afterAttempt(run, group, result)
    if (ended !== null) return ended
  }
}

function * send (run: ModelRun, group: GroupView): Procedure<ModelEffects, boolean> {
  const { baseOffset, baseText } = run.progress
  const sent = yield * perform<SendEffect>({ kind: LifecycleEffectKind.Send, group, attempt: run.attempt + 1, resumeOffset: baseOffset, resumeText: baseText })
  if (sent) run.attempt += 1
  return sent
}

function * followStream (run: ModelRun, group: GroupView): Procedure<ModelEffects, AttemptResult> {
  let cursor: ChunkCursor = { requestId: run.plan.requestId, attempt: run.attempt, offset: run.progress.baseOffset }
  let expected = run.progress.lastChunkText
  for (;;) {
    const event = yield * perform<NextEventEffect>({ kind: LifecycleEffectKind.NextEvent })
    if (event === null) return lost('the stream ended without an end chunk')
    if (isInterrupt(event)) return event.kind === InterruptKind.Stalled ? lost('the stream stalled') : { kind: AttemptResultKind.Interrupted, interrupt: event.kind }
    if (event.kind === StreamEventKind.Error) return resultOfError(event.error)
    const verdict = checkChunk(cursor, event.chunk)
    cursor = verdict.cursor
    if (verdict.kind === ChunkVerdictKind.Drop) continue
    if (verdict.kind !== ChunkVerdictKind.Accept) return resultOfVerdict(run, verdict, event.chunk)
    const join = joinChunk(expected, run.progress.offset, cursor.offset, verdict.text)
    if (join.kind === JoinKind.Diverged) return { kind: AttemptResultKind.Diverged }
    expected = join.kind === JoinKind.Overlap ? join.expected : ''
    if (join.kind === JoinKind.Overlap) continue
    const { offset } = run.progress
    run.progress = extendProgress(run.progress, group.version, join.text, join.tokens)
    yield * perform<DeliverEffect>({ kind: LifecycleEffectKind.Deliver, offset, text: join.text, tokens: join.tokens })
  }
}

function resultOfVerdict (run: ModelRun, verdict: ChunkVerdict, chunk: GenerateChunk): AttemptResult {
  if (verdict.kind === ChunkVerdictKind.Completed) {
    if (verdict.cursor.offset < run.progress.offset) return lost(`end at offset ${verdict.cursor.offset}, but the caller has ${run.progress.offset} tokens`)
    return { kind: AttemptResultKind.Completed, finishReason: verdict.finishReason, promptTokens: verdict.promptTokens }
  }
  if (verdict.kind === ChunkVerdictKind.Cancelled) return { kind: AttemptResultKind.Failed, reason: 'the engine cancelled the request', status: 0 }
  return lost(verdict.kind === ChunkVerdictKind.Broken ? verdict.reason : `unexpected chunk of attempt ${chunk.attempt}`)
}

function lost (reason: string): AttemptResult {
  return { kind: AttemptResultKind.Lost, reason }
}

function refused (error: { readonly reason: string, readonly retryAfterMs?: number }, busy: boolean): AttemptResult {
  return { kind: AttemptResultKind.Refused, reason: error.reason, busy, retryAfterMs: error.retryAfterMs ?? null }
}

const RESULT_OF_ERROR: { readonly [Kind in EndpointErrorKind]: (error: Extract<EndpointError, { kind: Kind }>) => AttemptResult } = {
  [EndpointErrorKind.NotRun]: (error) => refused(error, false),
  [EndpointErrorKind.WrongFormation]: (error) => refused(error, false),
  [EndpointErrorKind.Fenced]: (error) => refused({ reason: `fenced by ${error.highestFencing}` }, false),
  [EndpointErrorKind.Refused]: (error) => refused(error, true),
  [EndpointErrorKind.Ambiguous]: (error) => lost(error.reason),
  [EndpointErrorKind.Broken]: (error) => lost(error.reason),
  [EndpointErrorKind.Malformed]: (error) => lost(error.reason),
  [EndpointErrorKind.Failed]: (error) => ({ kind: AttemptResultKind.Failed, reason: error.reason, status: error.status })
}

function resultOfError (error: EndpointError): AttemptResult {
  return (RESULT_OF_ERROR[error.kind] as (error: EndpointError) => AttemptResult)(error)
}

type ResultHandlers = { readonly [Kind in AttemptResultKind]: (run: ModelRun, group: GroupView, result: Extract<AttemptResult, { kind: Kind }>) => Procedure<ModelEffects, StepResult> }

const RESULT_HANDLERS: ResultHandlers = {
  [AttemptResultKind.Completed]: function * (run, _group, result) {
    yield * closeStream(false)
    return finish(run, answered(), result.finishReason, result.promptTokens)
  },
  [AttemptResultKind.Refused]: function * (run, group, result) {
    yield * closeStream(false)
    const reason = result.busy ? OutcomeReason.Overloaded : OutcomeReason.NoReplica
    return yield * retryElsewhere(run, group, notRunOrUnknown(run, reason, result.reason, result.retryAfterMs))
  },
  [AttemptResultKind.Lost]: function * (run, group, result) {
    run.mayHaveRun = true
    yield * closeStream(run.plan.safety === RequestSafety.Idempotent)
    if (run.plan.safety === RequestSafety.NonIdempotent) return yield * recoverStream(run, group, result.reason)
    return yield * retryElsewhere(run, group, unknownOutcome(OutcomeReason.StreamBroken, result.reason))
  },
  [AttemptResultKind.Failed]: function * (run, group, result) {
    run.mayHaveRun = true
    yield * closeStream(false)
    const outcome = failedByEndpoint(OutcomeReason.EndpointFailed, result.reason)
    if (run.plan.safety === RequestSafety.NonIdempotent || isClientError(result.status)) return finish(run, outcome)
    return yield * retryElsewhere(run, group, outcome)
  },
  [AttemptResultKind.Interrupted]: function * (run, _group, result) {
    run.mayHaveRun = true
    yield * closeStream(run.plan.safety === RequestSafety.Idempotent)
    return finish(run, interruptedOutcome(run, result.interrupt))
  },
  [AttemptResultKind.Diverged]: function * (run, group) {
    run.mayHaveRun = true
    yield * closeStream(true)
    const restarted = yield * restartAnswer(run)
    const outcome = unknownOutcome(OutcomeReason.StreamBroken, 'the answer could not be continued: the engine produced different text')
    return restarted ? yield * retryElsewhere(run, group, outcome) : finish(run, outcome)
  }
}

function * afterAttempt (run: ModelRun, group: GroupView, result: AttemptResult): Procedure<ModelEffects, StepResult> {
  const handler = RESULT_HANDLERS[result.kind] as (run: ModelRun, group: GroupView, result: AttemptResult) => Procedure<ModelEffects, StepResult>
  return yield * handler(run, group, result)
}

function * closeStream (cancel: boolean): Procedure<ModelEffects, void> {
  yield * perform<CloseStreamEffect>({ kind: LifecycleEffectKind.CloseStream, cancel })
}

/** Discards the answer so far if the caller has received none of it. The next attempt may then use any version. */
function * restartAnswer (run: ModelRun): Procedure<ModelEffects, boolean> {
  if (run.progress.offset === 0) return true
  const allowed = yield * perform<RestartAnswerEffect>({ kind: LifecycleEffectKind.RestartAnswer })
  if (allowed) run.progress = EMPTY_PROGRESS
  return allowed
}

function * retryElsewhere (run: ModelRun, group: GroupView, fallback: Outcome): Procedure<ModelEffects, StepResult> {
  run.excluded.push(group.group)
  if (run.attempt >= run.plan.maxAttempts) return finish(run, fallback)
  const isAllowedByPoisonCheck = yield * perform<CheckPoisonEffect>({ kind: LifecycleEffectKind.CheckPoison })
  if (!isAllowedByPoisonCheck) return finish(run, fallback)
  const hasRetryBudget = yield * perform<SpendRetryEffect>({ kind: LifecycleEffectKind.SpendRetry })
  if (hasRetryBudget) return null
  return finish(run, { ...fallback, reason: OutcomeReason.RetryBudgetExhausted, message: `${fallback.message}; the retry budget is exhausted` })
}

/**
 * Handles a selection without a group. A request that was never sent is refused at once. After an attempt, the request
 * waits and selects again with no group excluded; after half of `maxFailedSelections` the selection may also use
 * other versions, if the caller has received nothing.
 */
function * afterFailedSelection (run: ModelRun, refusal: Outcome): Procedure<ModelEffects, StepResult> {
  if (run.attempt === 0) return finish(run, refusal)
  run.failedSelections += 1
  if (run.failedSelections > run.plan.maxFailedSelections) return finish(run, notRunOrUnknown(run, refusal.reason, refusal.message, refusal.retryAfterMs))
  run.excluded = []
  if (run.failedSelections > run.plan.maxFailedSelections / 2) yield * restartAnswer(run)
  const interrupt = yield * perform<WaitEffect>({ kind: LifecycleEffectKind.Wait, durationMs: run.plan.retryDelayMs })
  return interrupt === null ? null : finish(run, interruptedOutcome(run, interrupt.kind))
}

/**
 * Looks up and follows the stream of a non-idempotent request after its connection was lost. The request is not sent
 * again.
 */
function * recoverStream (run: ModelRun, group: GroupView, cause: string): Procedure<ModelEffects, StepResult> {
  for (let lookups = 0; lookups < run.plan.maxLookups; lookups += 1) {
    const status = yield * perform<LookupEffect>({ kind: LifecycleEffectKind.Lookup, group })
    const state = status.ok ? status.value.state : StreamState.Absent
    if (state === StreamState.Cancelled) return finish(run, failedByEndpoint(OutcomeReason.StreamBroken, 'the engine cancelled the request before it completed'))
    if (state === StreamState.Running || state === StreamState.Whole) {
      yield * perform<ResumeEffect>({ kind: LifecycleEffectKind.Resume, group, attempt: run.attempt, offset: run.progress.baseOffset })
      const result = yield * followStream(run, group)
      if (result.kind === AttemptResultKind.Completed || result.kind === AttemptResultKind.Failed || result.kind === AttemptResultKind.Interrupted) return yield * afterAttempt(run, group, result)
      yield * closeStream(false)
    }
    const interrupt = yield * perform<WaitEffect>({ kind: LifecycleEffectKind.Wait, durationMs: run.plan.retryDelayMs })
    if (interrupt !== null) return finish(run, interruptedOutcome(run, interrupt.kind))
  }
  return finish(run, unknownOutcome(OutcomeReason.StreamBroken, cause))
}

const INTERRUPT_REASON: { readonly [Kind in InterruptKind]: OutcomeReason } = {
  [InterruptKind.CallerGone]: OutcomeReason.Cancelled,
  [InterruptKind.Deadline]: OutcomeReason.DeadlineExceeded,
  [InterruptKind.Stalled]: OutcomeReason.StreamBroken
}

function interruptedOutcome (run: ModelRun, interrupt: InterruptKind): Outcome {
  return notRunOrUnknown(run, INTERRUPT_REASON[interrupt], interrupt === InterruptKind.Deadline ? 'the deadline passed' : 'the caller disconnected', null)
}

function notRunOrUnknown (run: ModelRun, reason: OutcomeReason, message: string, retryAfterMs: number | null = null): Outcome {
  return run.mayHaveRun ? unknownOutcome(reason, message, retryAfterMs) : notRun(reason, message, retryAfterMs ?? undefined)
}

function isClientError (status: number): boolean {
  return status >= 400 && status < 500
}

function finish (run: ModelRun, outcome: Outcome, finishReason: FinishReason | null = null, promptTokens = 0): ModelResult {
  return { outcome, finishReason, promptTokens, completionTokens: run.progress.offset, attempts: run.attempt }
}
