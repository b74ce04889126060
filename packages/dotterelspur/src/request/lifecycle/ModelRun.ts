import type { FinishReason } from '../../connection/EngineApi.js'
import type { RequestId } from '../../process/ids.js'
import { perform, type Procedure } from '../../process/Procedure.js'
import { OutcomeReason, type Outcome } from '../Outcome.js'
import { EMPTY_PROGRESS, type AnswerProgress } from './AnswerProgress.js'
import type { ChunkCursor } from './ChunkCursor.js'
import type { GroupView } from './dispatchChecks.js'
import { InterruptKind, LifecycleEffectKind, type CloseStreamEffect, type ModelEffects, type ModelResult, type RequestSafety, type SendEffect } from './LifecycleEffects.js'
import { notRun, unknownOutcome } from './outcomes.js'

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

/** An attempt whose stream is open. */
export interface OpenAttempt {
  readonly attempt: number
  readonly group: GroupView
  cursor: ChunkCursor
  /** Text of the caller that the attempt must still reproduce before it continues the answer. */
  expected: string
  isSilent: boolean
}

export interface ModelRun {
  readonly plan: ModelPlan
  progress: AnswerProgress
  attempt: number
  staleSelections: number
  failedSelections: number
  excluded: string[]
  /** Several only while all but the latest are silent. */
  open: OpenAttempt[]
  /** A retry was taken from the budget, and nothing has been sent since. */
  hasUnusedRetry: boolean
  /** An attempt may have run at an endpoint, so not-run is no longer a valid outcome. */
  mayHaveRun: boolean
}

export function createRun (plan: ModelPlan): ModelRun {
  return { plan, progress: EMPTY_PROGRESS, attempt: 0, staleSelections: 0, failedSelections: 0, excluded: [], open: [], hasUnusedRetry: false, mayHaveRun: false }
}

/** Sends the next attempt; false if the selection was stale and nothing was sent. */
export function * sendAttempt (run: ModelRun, group: GroupView): Procedure<ModelEffects, boolean> {
  const { baseOffset, baseText } = run.progress
  const sent = yield * perform<SendEffect>({ kind: LifecycleEffectKind.Send, group, attempt: run.attempt + 1, resumeOffset: baseOffset, resumeText: baseText })
  if (!sent) return false
  run.attempt += 1
  run.hasUnusedRetry = false
  run.open.push(openAttempt(run, group))
  return true
}

/** The latest attempt, from the start of the last chunk that the caller has. */
export function openAttempt (run: ModelRun, group: GroupView): OpenAttempt {
  const { plan: { requestId }, attempt, progress: { baseOffset, lastChunkText } } = run
  return { attempt, group, cursor: { requestId, attempt, offset: baseOffset }, expected: lastChunkText, isSilent: false }
}

export function * closeAttempt (run: ModelRun, { attempt }: OpenAttempt, cancel: boolean): Procedure<ModelEffects, void> {
  run.open = run.open.filter((open) => open.attempt !== attempt)
  yield * perform<CloseStreamEffect>({ kind: LifecycleEffectKind.CloseStream, attempt, cancel })
}

/** Cancels the attempts beside the one that continues the answer. */
export function * cancelOthers (run: ModelRun, kept: OpenAttempt): Procedure<ModelEffects, void> {
  for (const other of run.open.filter((open) => open !== kept)) {
    run.mayHaveRun = true
    yield * closeAttempt(run, other, true)
  }
}

const INTERRUPT_REASON: { readonly [Kind in InterruptKind]: OutcomeReason } = {
  [InterruptKind.CallerGone]: OutcomeReason.Cancelled,
  [InterruptKind.Deadline]: OutcomeReason.DeadlineExceeded,
  [InterruptKind.Stalled]: OutcomeReason.StreamBroken,
  [InterruptKind.NodeStops]: OutcomeReason.StreamBroken
}

const INTERRUPT_MESSAGE: { readonly [Kind in InterruptKind]: string } = {
  [InterruptKind.CallerGone]: 'the caller disconnected',
  [InterruptKind.Deadline]: 'the deadline passed',
  [InterruptKind.Stalled]: 'the stream was silent for too long',
  [InterruptKind.NodeStops]: 'the node stopped while the request was in progress'
}

export function interruptedOutcome (run: ModelRun, interrupt: InterruptKind): Outcome {
  return notRunOrUnknown(run, INTERRUPT_REASON[interrupt], INTERRUPT_MESSAGE[interrupt])
}

export function notRunOrUnknown (run: ModelRun, reason: OutcomeReason, message: string, retryAfterMs: number | null = null): Outcome {
  return run.mayHaveRun ? unknownOutcome(reason, message, retryAfterMs) : notRun(reason, message, retryAfterMs ?? undefined)
}

export function finish (run: ModelRun, outcome: Outcome, finishReason: FinishReason | null = null, promptTokens = 0): ModelResult {
  return { outcome, finishReason, promptTokens, completionTokens: run.progress.offset, attempts: run.attempt }
}
