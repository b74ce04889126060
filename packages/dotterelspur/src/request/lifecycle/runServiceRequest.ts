import { EndpointErrorKind, type EndpointError } from '../../connection/EngineApi.js'
import { perform, type Procedure } from '../../process/Procedure.js'
import { OutcomeReason, type Outcome } from '../Outcome.js'
import {
  InterruptKind, LifecycleEffectKind, RequestSafety,
  type CallServiceEffect, type Interrupt, type CheckPoisonEffect, type SelectWorkerEffect, type ServiceEffects, type ServiceResult, type ServiceWorker, type SpendRetryEffect
} from './LifecycleEffects.js'
import { answered, failedByEndpoint, notRun, unknownOutcome } from './outcomes.js'

export interface ServicePlan {
  readonly safety: RequestSafety
  readonly maxAttempts: number
}

interface ServiceRun {
  readonly plan: ServicePlan
  attempt: number
  mayHaveRun: boolean
  readonly excluded: string[]
}

/** Whether an error proves that the call did not run. */
const PROVES_NOT_RUN: { readonly [Kind in EndpointErrorKind]: boolean } = {
  [EndpointErrorKind.NotRun]: true,
  [EndpointErrorKind.WrongFormation]: true,
  [EndpointErrorKind.Fenced]: true,
  [EndpointErrorKind.Refused]: true,
  [EndpointErrorKind.Ambiguous]: false,
  [EndpointErrorKind.Broken]: false,
  [EndpointErrorKind.Failed]: false,
  [EndpointErrorKind.Malformed]: false
}

const MAX_STALE_SELECTIONS = 8

/**
 * Runs one call to a plain service. The service's response is passed on unchanged, whatever its status. An idempotent
 * call is retried at another worker after any error, a non-idempotent one only if the error proves that it did not run.
 */
export function * runServiceRequest (plan: ServicePlan): Procedure<ServiceEffects, ServiceResult> {
  const run: ServiceRun = { plan, attempt: 0, mayHaveRun: false, excluded: [] }
  for (let staleSelections = 0; staleSelections < MAX_STALE_SELECTIONS;) {
    const selection = yield * perform<SelectWorkerEffect>({ kind: LifecycleEffectKind.SelectWorker, excluded: run.excluded })
    if (!selection.ok) return finish(run, weaken(run, selection.error))
    const reply = yield * perform<CallServiceEffect>({ kind: LifecycleEffectKind.CallService, worker: selection.value, attempt: run.attempt + 1 })
    if (reply === null) {
      staleSelections += 1
      continue
    }
    run.attempt += 1
    if ('ok' in reply && reply.ok) return { outcome: answered(), response: reply.value, attempts: run.attempt }
    const ended = 'ok' in reply ? yield * afterError(run, selection.value, reply.error) : interruptedResult(run, reply)
    if (ended !== null) return ended
  }
  return finish(run, weaken(run, notRun(OutcomeReason.NoReplica, 'no worker remained present until the call could be sent')))
}

const INTERRUPT_REASON: { readonly [Kind in InterruptKind]: OutcomeReason } = {
  [InterruptKind.CallerGone]: OutcomeReason.Cancelled,
  [InterruptKind.Deadline]: OutcomeReason.DeadlineExceeded,
  [InterruptKind.Stalled]: OutcomeReason.Cancelled,
  [InterruptKind.NodeStops]: OutcomeReason.StreamBroken
}

function interruptedResult (run: ServiceRun, interrupt: Interrupt): ServiceResult {
  return finish(run, unknownOutcome(INTERRUPT_REASON[interrupt.kind], 'the call was abandoned while it was in progress'))
}

function * afterError (run: ServiceRun, worker: ServiceWorker, error: EndpointError): Procedure<ServiceEffects, ServiceResult | null> {
  const isProvenNotRun = PROVES_NOT_RUN[error.kind]
  if (!isProvenNotRun) run.mayHaveRun = true
  const outcome = outcomeOfError(run, error)
  if (!isProvenNotRun && run.plan.safety === RequestSafety.NonIdempotent) return finish(run, outcome)
  run.excluded.push(worker.vm)
  if (run.attempt >= run.plan.maxAttempts) return finish(run, outcome)
  const isAllowedByPoisonCheck = yield * perform<CheckPoisonEffect>({ kind: LifecycleEffectKind.CheckPoison })
  if (!isAllowedByPoisonCheck) return finish(run, outcome)
  const hasRetryBudget = yield * perform<SpendRetryEffect>({ kind: LifecycleEffectKind.SpendRetry })
  return hasRetryBudget ? null : finish(run, { ...outcome, reason: OutcomeReason.RetryBudgetExhausted })
}

function outcomeOfError (run: ServiceRun, error: EndpointError): Outcome {
  const message = 'reason' in error ? error.reason : 'fenced'
  if (error.kind === EndpointErrorKind.Failed) return failedByEndpoint(OutcomeReason.EndpointFailed, message)
  if (run.mayHaveRun) return unknownOutcome(OutcomeReason.StreamBroken, message)
  if (error.kind === EndpointErrorKind.Refused) return notRun(OutcomeReason.Overloaded, message, error.retryAfterMs)
  return notRun(OutcomeReason.NoReplica, message)
}

function weaken (run: ServiceRun, outcome: Outcome): Outcome {
  return run.mayHaveRun ? unknownOutcome(outcome.reason, outcome.message, outcome.retryAfterMs) : outcome
}

function finish (run: ServiceRun, outcome: Outcome): ServiceResult {
  return { outcome, response: null, attempts: run.attempt }
}
