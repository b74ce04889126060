import type { Effect } from 'dotterelspur'
import type { PlatformReply, PlatformRequest } from './PlatformCall.js'

/** The effects that the procedures of this package perform. */
export enum PlatformEffectKind {
  Send = 'send',
  Wait = 'wait'
}

export interface SendEffect extends Effect<PlatformEffectKind.Send, PlatformReply> {
  readonly kind: PlatformEffectKind.Send
  readonly request: PlatformRequest
}

export interface WaitEffect extends Effect<PlatformEffectKind.Wait, void> {
  readonly kind: PlatformEffectKind.Wait
  readonly durationMs: number
}

export type PlatformEffect = SendEffect | WaitEffect

export function send (request: PlatformRequest): SendEffect {
  return { kind: PlatformEffectKind.Send, request }
}

export function wait (durationMs: number): WaitEffect {
  return { kind: PlatformEffectKind.Wait, durationMs }
}
