import { StreamState } from '../../connection/EngineApi.js'
import { perform, type Procedure } from '../../process/Procedure.js'
import { OutcomeReason, type Outcome } from '../Outcome.js'
import { EMPTY_PROGRESS } from './AnswerProgress.js'
import { AttemptEndKind, type AttemptEnd } from './AttemptEnd.js'
import { followStreams } from './followStreams.js'
import type { GroupView } from './dispatchChecks.js'
import {
  LifecycleEffectKind, RequestSafety,
  type CheckPoisonEffect, type LookupEffect, type ModelEffects, type ModelResult, type RestartAnswerEffect, type ResumeEffect, type SelectGroupEffect, type SpendRetryEffect, type WaitEffect
} from './LifecycleEffects.js'
import { cancelOthers, closeAttempt, createRun, finish, interruptedOutcome, notRunOrUnknown, openAttempt, sendAttempt, type ModelPlan, type ModelRun, type OpenAttempt } from './ModelRun.js'
import { answered, failedByEndpoint, unknownOutcome } from './outcomes.js'

type StepResult = ModelResult | null

/** Maximum number of selections found stale right before the send. They are cheap, since nothing was sent. */
const MAX_STALE_SELECTIONS = 8

/**
 * Runs one model request from the first selection of a group to its outcome.
 *
 * After an unsuccessful attempt, unless the endpoint reports a client error, an idempotent request is continued at
 * another group from the start of the last chunk handed to the caller. A non-idempotent request is sent to another group
 * only after a refusal, which proves that it did not run. After a lost connection it is never sent again; its stream is
 * looked up at the endpoint and followed instead. A silent attempt stays open until it ends, another one continues the answer, or
 * the request is interrupted.
 */
export function * runModelRequest (plan: ModelPlan): Procedure<ModelEffects, ModelResult> {
  const run = createRun(plan)
  for (;;) {
    const ended = run.open.length === 0 ? yield * startAttempt(run) : yield * followAttempts(run)
    if (ended !== null) return ended
  }
}

function * startAttempt (run: ModelRun): Procedure<ModelEffects, StepResult> {
  const selection = yield * perform<SelectGroupEffect>({ kind: LifecycleEffectKind.SelectGroup, excluded: run.excluded, version: run.progress.version })
  if (!selection.ok) return yield * afterFailedSelection(run, selection.error)
  const sent = yield * sendAttempt(run, selection.value)
  if (sent) return null
  run.staleSelections += 1
  if (run.staleSelections < MAX_STALE_SELECTIONS) return null
  return finish(run, notRunOrUnknown(run, OutcomeReason.NoReplica, 'no group remained complete until the request could be sent'))
}

function * followAttempts (run: ModelRun): Procedure<ModelEffects, StepResult> {
  const { open, end } = yield * followStreams(run)
  return yield * afterAttempt(run, open, end)
}

type EndHandlers = { readonly [Kind in AttemptEndKind]: (run: ModelRun, open: OpenAttempt, end: Extract<AttemptEnd, { kind: Kind }>) => Procedure<ModelEffects, StepResult> }

const END_HANDLERS: EndHandlers = {
  [AttemptEndKind.Completed]: function * (run, open, end) {
    yield * closeAttempt(run, open, false)
    yield * cancelOthers(run, open)
    return finish(run, answered(), end.finishReason, end.promptTokens)
  },
  [AttemptEndKind.Refused]: function * (run, open, end) {
    yield * closeAttempt(run, open, false)
    const reason = end.busy ? OutcomeReason.Overloaded : OutcomeReason.NoReplica
    return yield * retryElsewhere(run, open, notRunOrUnknown(run, reason, end.reason, end.retryAfterMs))
  },
  [AttemptEndKind.Lost]: function * (run, open, end) {
    run.mayHaveRun = true
    yield * closeAttempt(run, open, run.plan.safety === RequestSafety.Idempotent)
    if (run.plan.safety === RequestSafety.NonIdempotent) return yield * recoverStream(run, open.group, end.reason)
    return yield * retryElsewhere(run, open, unknownOutcome(OutcomeReason.StreamBroken, end.reason))
  },
  [AttemptEndKind.Failed]: function * (run, open, end) {
    run.mayHaveRun = true
    yield * closeAttempt(run, open, false)
    const outcome = failedByEndpoint(OutcomeReason.EndpointFailed, end.reason)
    const isFinal = run.plan.safety === RequestSafety.NonIdempotent || isClientError(end.status)
    if (isFinal && run.open.length === 0) return finish(run, outcome)
    return yield * retryElsewhere(run, open, outcome)
  },
  [AttemptEndKind.Interrupted]: function * (run, _open, end) {
    run.mayHaveRun = true
    for (const open of run.open) yield * closeAttempt(run, open, run.plan.safety === RequestSafety.Idempotent)
    return finish(run, interruptedOutcome(run, end.interrupt))
  },
  [AttemptEndKind.Diverged]: function * (run, open) {
    run.mayHaveRun = true
    yield * closeAttempt(run, open, true)
    const outcome = unknownOutcome(OutcomeReason.StreamBroken, 'the answer could not be continued: the engine produced different text')
    if (run.open.length > 0 || (yield * restartAnswer(run))) return yield * retryElsewhere(run, open, outcome)
    return finish(run, outcome)
  }
}

function * afterAttempt (run: ModelRun, open: OpenAttempt, end: AttemptEnd): Procedure<ModelEffects, StepResult> {
  const handler = END_HANDLERS[end.kind] as (run: ModelRun, open: OpenAttempt, end: AttemptEnd) => Procedure<ModelEffects, StepResult>
  return yield * handler(run, open, end)
}

/** Discards the answer so far if the caller has received none of it. The next attempt may then use any version. */
function * restartAnswer (run: ModelRun): Procedure<ModelEffects, boolean> {
  if (run.progress.offset === 0) return true
  const allowed = yield * perform<RestartAnswerEffect>({ kind: LifecycleEffectKind.RestartAnswer })
  if (allowed) run.progress = EMPTY_PROGRESS
  return allowed
}

/** Prepares the next attempt, or ends the request with `fallback`; while other attempts are open, the request goes on with them. */
function * retryElsewhere (run: ModelRun, { group }: OpenAttempt, fallback: Outcome): Procedure<ModelEffects, StepResult> {
  run.excluded.push(group.group)
  if (run.open.length > 0) return null
  if (run.attempt >= run.plan.maxAttempts) return finish(run, fallback)
  const isAllowedByPoisonCheck = yield * perform<CheckPoisonEffect>({ kind: LifecycleEffectKind.CheckPoison })
  if (!isAllowedByPoisonCheck) return finish(run, fallback)
  run.hasUnusedRetry ||= yield * perform<SpendRetryEffect>({ kind: LifecycleEffectKind.SpendRetry })
  if (run.hasUnusedRetry) return null
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
      run.open.push(openAttempt(run, group))
      const { open, end } = yield * followStreams(run)
      if (FINAL_ENDS.has(end.kind)) return yield * afterAttempt(run, open, end)
      yield * closeAttempt(run, open, false)
    }
    const interrupt = yield * perform<WaitEffect>({ kind: LifecycleEffectKind.Wait, durationMs: run.plan.retryDelayMs })
    if (interrupt !== null) return finish(run, interruptedOutcome(run, interrupt.kind))
  }
  return finish(run, unknownOutcome(OutcomeReason.StreamBroken, cause))
}

/** Ends of a resumed stream after which it is not looked up again. */
const FINAL_ENDS: ReadonlySet<AttemptEndKind> = new Set([AttemptEndKind.Completed, AttemptEndKind.Failed, AttemptEndKind.Interrupted])

function isClientError (status: number): boolean {
  return status >= 400 && status < 500
}
