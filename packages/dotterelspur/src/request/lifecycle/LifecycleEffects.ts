import type { EndpointError, FinishReason, ReceivedEvent, ServiceResponse, StreamStatus } from '../../connection/EngineApi.js'
import type { Effect } from '../../process/Procedure.js'
import type { Result } from '../../process/Result.js'
import type { Outcome } from '../Outcome.js'
import type { GroupView } from './dispatchChecks.js'

/** Whether a request may be run more than once. */
export enum RequestSafety {
  Idempotent = 'idempotent',
  /** Runs at most once: after an ambiguous send it is never sent again. */
  NonIdempotent = 'non-idempotent'
}

/** Why a wait for the next event of a stream ended without one. */
export enum InterruptKind {
  /** The caller has disconnected. */
  CallerGone = 'caller-gone',
  /** The request's deadline has passed. */
  Deadline = 'deadline',
  /** The stream is silent and its group is no longer complete, or it has been silent for too long. The stream stays open. */
  Stalled = 'stalled',
  /** The node that runs the request is about to be ended by its supervisor. */
  NodeStops = 'node-stops'
}

export interface Interrupt {
  readonly kind: InterruptKind
}

/** Result of waiting for the next event. Null when the stream ended without an end chunk or an error. */
export type NextEvent = ReceivedEvent | Interrupt | null

/** The next event of the open streams; the attempt is of no meaning for an interrupt of the whole request. */
export interface AttemptEvent {
  readonly attempt: number
  readonly event: NextEvent
}

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

/**
 * Selects a group that is not in `excluded`. If there is none, the outcome describes this selection only, not the whole
 * request.
 */
export interface SelectGroupEffect extends Effect<LifecycleEffectKind.SelectGroup, Result<GroupView, Outcome>> {
  readonly kind: LifecycleEffectKind.SelectGroup
  readonly excluded: readonly string[]
  /** Set when the answer must be continued at the version of its earlier attempts. */
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
 * Sends an attempt, beside those whose streams are open. The handler checks the group again in the same turn of the event loop as the send, since the
 * process may have been paused after the selection. False if nothing was sent.
 */
export interface SendEffect extends Effect<LifecycleEffectKind.Send, boolean> {
  readonly kind: LifecycleEffectKind.Send
  readonly group: GroupView
  readonly attempt: number
  readonly resumeOffset: number
  readonly resumeText: string
}

/** Opens the stream of an attempt again, from an offset; it takes the place of the attempt's stream that is open. */
export interface ResumeEffect extends Effect<LifecycleEffectKind.Resume, void> {
  readonly kind: LifecycleEffectKind.Resume
  readonly group: GroupView
  readonly attempt: number
  readonly offset: number
}

/** Waits for the next event of any open stream. A silent stream is reported again while it stays silent. */
export interface NextEventEffect extends Effect<LifecycleEffectKind.NextEvent, AttemptEvent> {
  readonly kind: LifecycleEffectKind.NextEvent
}

/** Closes the stream of an attempt. With `cancel` the engine is asked to stop the request; otherwise it may run to its end. */
export interface CloseStreamEffect extends Effect<LifecycleEffectKind.CloseStream, void> {
  readonly kind: LifecycleEffectKind.CloseStream
  readonly attempt: number
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

/**
 * Checks whether the request may be sent to another endpoint; false if it is suspected of having crashed the previous
 * one.
 */
export interface CheckPoisonEffect extends Effect<LifecycleEffectKind.CheckPoison, boolean> {
  readonly kind: LifecycleEffectKind.CheckPoison
}

/** Takes one retry from the team's and the node's retry budgets; false if either is exhausted. */
export interface SpendRetryEffect extends Effect<LifecycleEffectKind.SpendRetry, boolean> {
  readonly kind: LifecycleEffectKind.SpendRetry
}

/** Waits for the duration, or until an interrupt. */
export interface WaitEffect extends Effect<LifecycleEffectKind.Wait, Interrupt | null> {
  readonly kind: LifecycleEffectKind.Wait
  readonly durationMs: number
}

/** Delivers tokens to the caller. Completes once the buffer has space, so that a slow caller slows the engine down. */
export interface DeliverEffect extends Effect<LifecycleEffectKind.Deliver, void> {
  readonly kind: LifecycleEffectKind.Deliver
  readonly offset: number
  readonly text: string
  readonly tokens: number
}

/** Discards the text collected so far to restart the answer; false if the caller has already received part of it. */
export interface RestartAnswerEffect extends Effect<LifecycleEffectKind.RestartAnswer, boolean> {
  readonly kind: LifecycleEffectKind.RestartAnswer
}

export type ModelEffects =
  | SelectGroupEffect | SendEffect | ResumeEffect | NextEventEffect | CloseStreamEffect | LookupEffect
  | CheckPoisonEffect | SpendRetryEffect | WaitEffect | DeliverEffect | RestartAnswerEffect

export type ServiceEffects = SelectWorkerEffect | CallServiceEffect | CheckPoisonEffect | SpendRetryEffect | WaitEffect

/** Final result of a model request. */
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
