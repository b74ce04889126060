import { StreamEventKind, StreamState, type ReceivedEvent } from '../../connection/EngineApi.js'
import { invariant } from '../../process/invariant.js'
import { perform, type Procedure } from '../../process/Procedure.js'
import { JoinKind, extendProgress, joinChunk } from './AnswerProgress.js'
import { AttemptEndKind, cancelledByEngine, endOfError, endOfVerdict, lost, type AttemptEnd } from './AttemptEnd.js'
import { ChunkVerdictKind, checkChunk } from './ChunkCursor.js'
import {
  InterruptKind, LifecycleEffectKind, RequestSafety, isInterrupt,
  type CheckPoisonEffect, type DeliverEffect, type LookupEffect, type ModelEffects, type NextEventEffect, type ResumeEffect, type SelectGroupEffect, type SpendRetryEffect
} from './LifecycleEffects.js'
import { cancelOthers, openAttempt, sendAttempt, type ModelRun, type OpenAttempt } from './ModelRun.js'

export interface EndedAttempt {
  readonly open: OpenAttempt
  readonly end: AttemptEnd
}

/**
 * Follows the open streams until one of them ends, and delivers what continues the answer. Silence ends no stream: a request that
 * may run again is sent to another group beside it, and the first attempt that continues the answer is kept.
 */
export function * followStreams (run: ModelRun): Procedure<ModelEffects, EndedAttempt> {
  for (;;) {
    const { attempt, event } = yield * perform<NextEventEffect>({ kind: LifecycleEffectKind.NextEvent })
    if (isInterrupt(event) && event.kind !== InterruptKind.Stalled) return { open: run.open[0]!, end: { kind: AttemptEndKind.Interrupted, interrupt: event.kind } }
    const open = run.open.find((one) => one.attempt === attempt)
    invariant(open !== undefined, `an event of attempt ${attempt}, whose stream is closed`)
    const end = isInterrupt(event) ? yield * handleSilence(run, open) : yield * handleEvent(run, open, event)
    if (end !== null) return { open, end }
  }
}

function * handleEvent (run: ModelRun, open: OpenAttempt, event: ReceivedEvent | null): Procedure<ModelEffects, AttemptEnd | null> {
  if (event === null) return lost('the stream ended without an end chunk')
  if (event.kind === StreamEventKind.Error) return endOfError(event.error)
  open.isSilent = false
  const verdict = checkChunk(open.cursor, event.chunk)
  open.cursor = verdict.cursor
  if (verdict.kind === ChunkVerdictKind.Drop) return null
  if (verdict.kind !== ChunkVerdictKind.Accept) return endOfVerdict(run, verdict, event.chunk)
  const { offset } = run.progress
  const join = joinChunk(open.expected, offset, open.cursor.offset, verdict.text)
  if (join.kind === JoinKind.Diverged) return { kind: AttemptEndKind.Diverged }
  open.expected = join.kind === JoinKind.Overlap ? join.expected : ''
  if (join.kind === JoinKind.Overlap) return null
  yield * cancelOthers(run, open)
  run.progress = extendProgress(run.progress, open.group.version, join.text, join.tokens)
  yield * perform<DeliverEffect>({ kind: LifecycleEffectKind.Deliver, offset, text: join.text, tokens: join.tokens })
  return null
}

function * handleSilence (run: ModelRun, open: OpenAttempt): Procedure<ModelEffects, AttemptEnd | null> {
  open.isSilent = true
  if (run.plan.safety === RequestSafety.NonIdempotent) return yield * checkStream(run, open)
  if (run.open.every((one) => one.isSilent)) yield * sendBeside(run)
  return null
}

/**
 * Looks a silent stream up at its endpoint, which may have produced what the connection does not bring; it is then read on a new
 * connection. The request is not sent again.
 */
function * checkStream (run: ModelRun, open: OpenAttempt): Procedure<ModelEffects, AttemptEnd | null> {
  const status = yield * perform<LookupEffect>({ kind: LifecycleEffectKind.Lookup, group: open.group })
  if (!status.ok || status.value.state === StreamState.Absent) return null
  if (status.value.state === StreamState.Cancelled) return cancelledByEngine()
  const isBehind = status.value.state === StreamState.Whole || status.value.offset > open.cursor.offset
  if (!isBehind) return null
  yield * perform<ResumeEffect>({ kind: LifecycleEffectKind.Resume, group: open.group, attempt: open.attempt, offset: run.progress.baseOffset })
  const { cursor, expected } = openAttempt(run, open.group)
  open.cursor = cursor
  open.expected = expected
  open.isSilent = false
  return null
}

/** Sends a request whose open attempts are all silent to another group, if it may be sent and a group takes it. */
function * sendBeside (run: ModelRun): Procedure<ModelEffects, void> {
  if (run.attempt >= run.plan.maxAttempts) return
  const silentGroups = run.open.map((open) => open.group.group)
  const selection = yield * perform<SelectGroupEffect>({ kind: LifecycleEffectKind.SelectGroup, excluded: [...run.excluded, ...silentGroups], version: run.progress.version })
  if (!selection.ok) {
    run.excluded = []
    return
  }
  if (!(yield * mayRetry(run))) return
  const sent = yield * sendAttempt(run, selection.value)
  if (sent) run.excluded.push(...silentGroups)
}

function * mayRetry (run: ModelRun): Procedure<ModelEffects, boolean> {
  const isAllowedByPoisonCheck = yield * perform<CheckPoisonEffect>({ kind: LifecycleEffectKind.CheckPoison })
  if (!isAllowedByPoisonCheck) return false
  run.hasUnusedRetry ||= yield * perform<SpendRetryEffect>({ kind: LifecycleEffectKind.SpendRetry })
  return run.hasUnusedRetry
}
