import {
  InterruptKind, OutcomeKind, OutcomeReason, RequestSafety, notRun, unknownOutcome,
  type Outcome
} from 'dotterelspur'
import { AdmissionKind } from 'dotterelspur-poison'
import { modelLane, serviceLane } from '../process/AdmissionGate.js'
import type { EntryContext } from '../process/EntryContext.js'
import { teamScoped } from '../process/FleetView.js'
import { RequestInterrupt } from './AttemptStream.js'
import { ModelRunner } from './ModelRunner.js'
import { estimateTokens } from './prefixHashes.js'
import { RunChannel } from './RunChannel.js'
import { contentOf } from './contentOf.js'
import { RunEventKind, RunKind, finishedWith, type FinishedEvent, type ModelRunRequest, type RunEvent, type RunEvents, type RunRequest, type ServiceRunRequest } from './RunRequest.js'
import { ServiceRunner } from './ServiceRunner.js'

/**
 * Retry-after for a deferred suspect. By then another termination or an answer has shown whether the request is poison.
 */
const SUSPECT_RETRY_MS = 1_500

/** Outcomes of requests that are suspected of crashing the endpoints that run them, or are quarantined for it. */
const POISON_REFUSALS: Readonly<Record<AdmissionKind.Deferred | AdmissionKind.Quarantined, Outcome>> = {
  [AdmissionKind.Deferred]: notRun(OutcomeReason.Overloaded, 'endpoints terminated while they ran this request; one copy of it is tried at a time', SUSPECT_RETRY_MS),
  [AdmissionKind.Quarantined]: notRun(OutcomeReason.Quarantined, 'this request crashes the endpoints that run it', null)
}

/** The node stops before it has sent the request to any endpoint. */
const NOT_STARTED = notRun(OutcomeReason.Draining, 'this node is draining; use another entry', 0)

interface LocalRun {
  readonly request: RunRequest
  readonly interrupt: RequestInterrupt
  readonly channel: RunChannel
  readonly startedAtMs: number
}

/** Result of a run, with the measurements that the admission controller uses. */
interface RunResult {
  readonly finished: FinishedEvent
  readonly firstTokenAtMs: number | null
  readonly overloaded: boolean
}

/**
 * Runs requests on this node: admission, then the request's procedure, then the report to the observer. When the caller
 * disconnects, an idempotent run is cancelled; a non-idempotent run continues, because its outcome may be requested later.
 */
export class LocalRuns {
  private readonly active = new Set<LocalRun>()
  private readonly idleListeners = new Set<() => void>()

  constructor (private readonly context: EntryContext) {}

  get count (): number {
    return this.active.size
  }

  /** Resolves once no request is running. */
  idle (): Promise<void> {
    if (this.active.size === 0) return Promise.resolve()
    return new Promise((resolve) => { this.idleListeners.add(resolve) })
  }

  /** Starts a run immediately. `onEvent` is called for every event, and for the last one before the consumer receives it. */
  start (request: RunRequest, onEvent: (event: RunEvent) => void = () => {}): RunEvents {
    const interrupt = new RequestInterrupt()
    const channel = new RunChannel({ onEvent, onAbandoned: () => { this.cancelForCaller(request, interrupt) } })
    const run: LocalRun = { request, interrupt, channel, startedAtMs: this.context.clock.nowMs() }
    this.active.add(run)
    this.execute(run).then((finished) => {
      this.active.delete(run)
      channel.push(finished)
      channel.end()
      this.reportIdle()
    })
    return channel.events()
  }

  /** Ends all running requests, and refuses those that wait. Only for the end of a drain, after which none is started. */
  endAll (): void {
    for (const { interrupt, request } of [...this.active]) {
      interrupt.fire(InterruptKind.NodeStops)
      this.context.gate.cancel(request.requestId)
    }
  }

  private cancelForCaller (request: RunRequest, interrupt: RequestInterrupt): void {
    if (request.safety === RequestSafety.NonIdempotent) return
    this.context.gate.cancel(request.requestId)
    interrupt.fire(InterruptKind.CallerGone)
  }

  private async execute (run: LocalRun): Promise<FinishedEvent> {
    const cancelDeadline = this.context.clock.registerTimer(run.request.deadlineMs, () => { run.interrupt.fire(InterruptKind.Deadline) })
    try {
      return await this.admitAndRun(run)
    } catch (error) {
      return finishedWith(unknownOutcome(OutcomeReason.StreamBroken, `internal: ${String(error)}`))
    } finally {
      cancelDeadline()
    }
  }

  private async admitAndRun (run: LocalRun): Promise<FinishedEvent> {
    const { request } = run
    const refusal = this.checkCapacity()
    if (refusal !== null) return this.refuse(run, refusal)
    const { kind, release } = await this.context.poison.guard.admit(contentOf(request))
    if (kind !== AdmissionKind.Admitted) return this.refuse(run, POISON_REFUSALS[kind])
    try {
      return await this.enterAndRun(run)
    } finally {
      release()
    }
  }

  private async enterAndRun (run: LocalRun): Promise<FinishedEvent> {
    const { gate, clock, retries, teams } = this.context
    const { request } = run
    const admitted = await gate.enter({
      id: request.requestId,
      team: request.team,
      lane: request.kind === RunKind.Model ? modelLane(teamScoped(request.team, request.model)) : serviceLane(request.service),
      priority: request.priority,
      tokens: request.kind === RunKind.Model ? estimateTokens(request.prompt) + request.maxTokens : 0,
      deadlineAtMs: run.startedAtMs + request.deadlineMs
    })
    if (!admitted.ok) return this.refuse(run, run.interrupt.current?.kind === InterruptKind.NodeStops ? NOT_STARTED : admitted.error)
    const dispatchedAtMs = clock.nowMs()
    retries.recordFirstAttempt(request.team, teams.get(request.team)?.limits.retryPercent ?? 0)
    let result: RunResult = { finished: finishedWith(unknownOutcome(OutcomeReason.StreamBroken, 'internal')), firstTokenAtMs: null, overloaded: false }
    try {
      result = request.kind === RunKind.Model ? await this.runModel(run, request) : await this.runService(run, request)
    } finally {
      const { finished, firstTokenAtMs, overloaded } = result
      gate.leave(request.requestId, {
        firstTokenMs: firstTokenAtMs === null ? null : firstTokenAtMs - dispatchedAtMs,
        overloaded,
        tokens: finished.promptTokens + finished.completionTokens
      })
    }
    return this.report(run, result)
  }

  private checkCapacity (): Outcome | null {
    if (this.active.size > this.context.limits.maxRequests) return notRun(OutcomeReason.Overloaded, 'this node has reached its limit of concurrent requests')
    return null
  }

  private refuse (run: LocalRun, refusal: Outcome): FinishedEvent {
    return this.report(run, { finished: finishedWith(refusal), firstTokenAtMs: null, overloaded: false })
  }

  private async runModel (run: LocalRun, request: ModelRunRequest): Promise<RunResult> {
    const runner = new ModelRunner(this.context, request, run.channel, run.interrupt)
    const { outcome, finishReason, promptTokens, completionTokens, attempts } = await runner.run()
    return {
      finished: { kind: RunEventKind.Finished, outcome, finishReason, promptTokens, completionTokens, attempts, withheld: false },
      firstTokenAtMs: runner.firstTokenAtMs,
      overloaded: runner.overloaded
    }
  }

  private async runService (run: LocalRun, request: ServiceRunRequest): Promise<RunResult> {
    const { outcome, response, attempts } = await new ServiceRunner(this.context, request, run.interrupt).run()
    if (response !== null) run.channel.push({ kind: RunEventKind.Response, response })
    return {
      finished: { ...finishedWith(outcome), attempts },
      firstTokenAtMs: response === null ? null : this.context.clock.nowMs(),
      overloaded: outcome.reason === OutcomeReason.Overloaded
    }
  }

  private report (run: LocalRun, result: RunResult): FinishedEvent {
    const { request, startedAtMs } = run
    const { finished, firstTokenAtMs } = result
    this.context.observer.requestEnded({
      kind: request.kind,
      team: request.team,
      safety: request.safety,
      outcome: finished.outcome,
      durationMs: this.context.clock.nowMs() - startedAtMs,
      firstTokenMs: firstTokenAtMs === null ? null : firstTokenAtMs - startedAtMs,
      attempts: finished.attempts,
      tokens: finished.completionTokens
    })
    if (finished.outcome.kind === OutcomeKind.Unknown && request.safety === RequestSafety.NonIdempotent) this.context.observer.refusedAsUnknown(finished.outcome.reason)
    return finished
  }

  private reportIdle (): void {
    if (this.active.size > 0) return
    const listeners = [...this.idleListeners]
    this.idleListeners.clear()
    for (const listener of listeners) listener()
  }
}
