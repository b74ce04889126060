import {
  AttemptResult, EndpointErrorKind, LifecycleEffectKind, RequestSafety, TargetKind, failed, runProcedure, runServiceRequest, success,
  type CallServiceEffect, type EffectHandlers, type EndpointError, type Interrupt, type Outcome, type RequestContent, type Result, type RouteAttempt, type ServiceEffects, type ServiceResponse, type ServiceResult, type ServiceTarget, type ServiceWorker
} from 'dotterelspur'
import type { EntryContext } from '../process/EntryContext.js'
import { waitOrInterrupt, type RequestInterrupt } from './AttemptStream.js'
import { contentOf } from './contentOf.js'
import { refusalOutcome } from './ModelRunner.js'
import type { ServiceRunRequest } from './RunRequest.js'

/** Errors after which the worker may have terminated. */
const CONNECTION_LOSS_ERRORS: ReadonlySet<EndpointErrorKind> = new Set([EndpointErrorKind.Ambiguous, EndpointErrorKind.Broken])

const FIRST_SERVER_ERROR = 500

type CallResult = Result<ServiceResponse, EndpointError> | Interrupt | null

/** Executes the effects of one service call's procedure against the service's workers. */
export class ServiceRunner {
  private readonly triedTargets = new Map<string, string>()
  private target: ServiceTarget | null = null
  private decidedAtMs = 0
  private readonly content: RequestContent
  /** Resolves once the check has completed whether the worker of the last lost connection has terminated. */
  private lossCheck: Promise<void> = Promise.resolve()

  constructor (private readonly context: EntryContext, private readonly request: ServiceRunRequest, private readonly interrupt: RequestInterrupt) {
    this.content = contentOf(request)
  }

  run (): Promise<ServiceResult> {
    return runProcedure(runServiceRequest({ safety: this.request.safety, maxAttempts: this.context.limits.maxAttempts }), this.handlers)
  }

  private readonly handlers: EffectHandlers<ServiceEffects> = {
    [LifecycleEffectKind.SelectWorker]: ({ excluded }) => this.select(excluded),
    [LifecycleEffectKind.CallService]: (effect) => this.call(effect),
    [LifecycleEffectKind.CheckPoison]: async () => {
      await this.lossCheck
      return this.context.poison.guard.mayRetry(this.content)
    },
    [LifecycleEffectKind.SpendRetry]: () => {
      const allowed = this.context.retries.tryRetry(this.request.team)
      if (allowed) this.context.observer.attemptRetried(this.request.team)
      return allowed
    },
    [LifecycleEffectKind.Wait]: ({ durationMs }) => waitOrInterrupt(this.context.clock, durationMs, this.interrupt)
  }

  private select (excluded: readonly string[]): Result<ServiceWorker, Outcome> {
    const { clock, router, random } = this.context
    const { service, priority, safety } = this.request
    this.decidedAtMs = clock.nowMs()
    const decision = router.decide({
      kind: TargetKind.Service,
      service,
      excluded: new Set(excluded.map((vm) => this.triedTargets.get(vm) ?? vm)),
      priority,
      idempotent: safety === RequestSafety.Idempotent
    }, this.decidedAtMs, random)
    if (!decision.ok) return failed(refusalOutcome(decision.error))
    const { target } = decision.value
    this.target = target
    this.triedTargets.set(target.vm, target.id)
    return success({ vm: target.vm, address: target.address })
  }

  /** Resolves with null if the chosen worker is no longer dispatchable; nothing was sent then. */
  private async call ({ worker, attempt }: CallServiceEffect): Promise<CallResult> {
    const { clock, pauses, fleet, observer, router } = this.context
    const nowMs = clock.nowMs()
    if (pauses.isStaleDecision(this.decidedAtMs, nowMs) || !fleet.isWorkerDispatchable(worker.vm, worker.address)) {
      observer.staleDecision()
      fleet.refresh()
      return null
    }
    const route = router.begin(this.target!, nowMs)
    const result = await this.send(worker, attempt)
    this.endRoute(route, result)
    this.noteResult(worker, result)
    return result
  }

  private send (worker: ServiceWorker, attempt: number): Promise<Result<ServiceResponse, EndpointError> | Interrupt> {
    const { requestId, method, path, contentType, body, idempotencyKey, timeoutMs } = this.request
    if (this.interrupt.current !== null) return Promise.resolve(this.interrupt.current)
    const abort = new AbortController()
    return new Promise((resolve) => {
      const unregister = this.interrupt.registerListener((fired) => {
        abort.abort()
        resolve(fired)
      })
      const settle = (result: Result<ServiceResponse, EndpointError>): void => {
        unregister()
        resolve(result)
      }
      const call = this.context.services.call(worker.address, { requestId, attempt, method, path, contentType, body, idempotencyKey }, timeoutMs, abort.signal)
      call.then(settle, (error: unknown) => { settle(failed({ kind: EndpointErrorKind.Ambiguous, reason: String(error) })) })
    })
  }

  private noteResult ({ address }: ServiceWorker, result: Result<ServiceResponse, EndpointError> | Interrupt): void {
    const { poison } = this.context
    if (!('ok' in result)) return
    if (result.ok) return poison.guard.noteAnswer(this.content)
    if (CONNECTION_LOSS_ERRORS.has(result.error.kind)) this.lossCheck = poison.noteLoss({ content: this.content, endpoint: this.target!.id, url: address, tokens: 0 })
  }

  private endRoute (route: RouteAttempt, result: Result<ServiceResponse, EndpointError> | Interrupt): void {
    const { router, clock } = this.context
    const nowMs = clock.nowMs()
    if (!('ok' in result)) return router.end(route, AttemptResult.Cancelled, nowMs)
    if (!result.ok) {
      if (result.error.kind === EndpointErrorKind.Refused) router.recordBackoff(route, result.error.retryAfterMs, nowMs)
      return router.end(route, result.error.kind === EndpointErrorKind.Refused ? AttemptResult.Refused : AttemptResult.Broken, nowMs)
    }
    router.recordFirstToken(route, nowMs)
    router.end(route, result.value.status < FIRST_SERVER_ERROR ? AttemptResult.Completed : AttemptResult.Failed, nowMs)
  }
}
