import type { EndpointError, FinishReason, ServiceResponse, StreamEvent, StreamStatus } from '../../connection/EngineApi.js'
import type { Effect } from '../../process/Procedure.js'
import type { Result } from '../../process/Result.js'
import type { Outcome } from '../Outcome.js'
import type { GroupView } from './dispatchChecks.js'

/** Whether a request may be run more than once. */
export enum RequestSafety {
  Idempotent = 'idempotent',
  /** Runs at most once: an ambiguous send is never repeated. */
  NonIdempotent = 'non-idempotent'
}

/** Why a wait for the next event of a stream ended without one. */
export enum InterruptKind {
  /** The caller has gone. */
  CallerGone = 'caller-gone',
  /** The request's deadline has passed. */
  Deadline = 'deadline',
  /** The stream is silent and its group is no longer whole, or it was silent for too long. */
  Stalled = 'stalled'
}

export interface Interrupt {
  readonly kind: InterruptKind
}

/** What came of waiting for the next event. Null at the end of a stream that had neither End nor Error. */
export type NextEvent = StreamEvent | Interrupt | null

export function isInterrupt (event: NextEvent): event is Interrupt {
  return event !== null && !('chunk' in event) && !('error' in event)
}

export enum LifecycleEffectKind {
  SelectGroup = 'select-group',
  SelectWorker = 'select-worker',
  Send = 'send',
  Resume = 'resume',
  NextEvent = 'next-event',
  CloseStream = 'close-stream',
  Lookup = 'lookup',
  CallService = 'call-service',
  CheckPoison = 'judge-request',
  SpendRetry = 'spend-retry',
  Wait = 'wait',
  Deliver = 'deliver',
  RestartAnswer = 'start-again'
}

/** Chooses a group; never one of `excluded`. Without one, the reason as an outcome of this choice alone. */
export interface SelectGroupEffect extends Effect<LifecycleEffectKind.SelectGroup, Result<GroupView, Outcome>> {
  readonly kind: LifecycleEffectKind.SelectGroup
  readonly excluded: readonly string[]
  /** Set when the answer must go on at the version that began it. */
  readonly version: string | null
}

export interface ServiceWorker {
  readonly vm: string
  readonly address: string
}

export interface SelectWorkerEffect extends Effect<LifecycleEffectKind.SelectWorker, Result<ServiceWorker, Outcome>> {
  readonly kind: LifecycleEffectKind.SelectWorker
  readonly excluded: readonly string[]
}

/**
 * Sends an attempt. The handler judges the group again in the same turn of the event loop as the send, since the
 * choice may be old: the node may have been paused between. False: nothing was sent.
 */
export interface SendEffect extends Effect<LifecycleEffectKind.Send, boolean> {
  readonly kind: LifecycleEffectKind.Send
  readonly group: GroupView
  readonly attempt: number
  readonly resumeOffset: number
  readonly resumeText: string
}

export interface ResumeEffect extends Effect<LifecycleEffectKind.Resume, void> {
  readonly kind: LifecycleEffectKind.Resume
  readonly group: GroupView
  readonly attempt: number
  readonly offset: number
}

export interface NextEventEffect extends Effect<LifecycleEffectKind.NextEvent, NextEvent> {
  readonly kind: LifecycleEffectKind.NextEvent
}

/** Drops the current stream. `cancel`: the engine is to stop it; otherwise it may run to its end. */
export interface CloseStreamEffect extends Effect<LifecycleEffectKind.CloseStream, void> {
  readonly kind: LifecycleEffectKind.CloseStream
  readonly cancel: boolean
}

export interface LookupEffect extends Effect<LifecycleEffectKind.Lookup, Result<StreamStatus, EndpointError>> {
  readonly kind: LifecycleEffectKind.Lookup
  readonly group: GroupView
}

export interface CallServiceEffect extends Effect<LifecycleEffectKind.CallService, Result<ServiceResponse, EndpointError> | Interrupt | null> {
  readonly kind: LifecycleEffectKind.CallService
  readonly worker: ServiceWorker
  readonly attempt: number
}

/** Asks whether the request may go to another endpoint; false when it seems to be what ended the one before. */
export interface CheckPoisonEffect extends Effect<LifecycleEffectKind.CheckPoison, boolean> {
  readonly kind: LifecycleEffectKind.CheckPoison
}

/** Asks the team's and the node's retry budgets for one more attempt. */
export interface SpendRetryEffect extends Effect<LifecycleEffectKind.SpendRetry, boolean> {
  readonly kind: LifecycleEffectKind.SpendRetry
}

/** Waits; an interrupt ends it early. */
export interface WaitEffect extends Effect<LifecycleEffectKind.Wait, Interrupt | null> {
  readonly kind: LifecycleEffectKind.Wait
  readonly durationMs: number
}

/** Hands tokens to the caller; answered once there is room, so a slow caller slows the engine. */
export interface DeliverEffect extends Effect<LifecycleEffectKind.Deliver, void> {
  readonly kind: LifecycleEffectKind.Deliver
  readonly offset: number
  readonly text: string
  readonly tokens: number
}

/** Asks to drop what was collected and start the answer again; false when the caller has seen some of it. */
export interface RestartAnswerEffect extends Effect<LifecycleEffectKind.RestartAnswer, boolean> {
  readonly kind: LifecycleEffectKind.RestartAnswer
}

export type ModelEffects =
  | SelectGroupEffect | SendEffect | ResumeEffect | NextEventEffect | CloseStreamEffect | LookupEffect
  | CheckPoisonEffect | SpendRetryEffect | WaitEffect | DeliverEffect | RestartAnswerEffect

export type ServiceEffects = SelectWorkerEffect | CallServiceEffect | CheckPoisonEffect | SpendRetryEffect | WaitEffect

/** How a model request ended. */
export interface ModelResult {
  readonly outcome: Outcome
  readonly finishReason: FinishReason | null
  readonly promptTokens: number
  readonly completionTokens: number
  readonly attempts: number
}

export interface ServiceResult {
  readonly outcome: Outcome
  readonly response: ServiceResponse | null
  readonly attempts: number
}
