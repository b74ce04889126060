import { createRandom } from 'dotterelspur'
import type { PlatformReply } from '../../request/PlatformCall.js'
import { ReplyKind } from '../../request/PlatformCall.js'
import { PlatformEffectKind } from '../../request/PlatformEffects.js'
import type { PlatformEffect } from '../../request/PlatformEffects.js'
import type { ProcedureContext } from '../../request/readProcedure.js'
import { SeenVersions } from '../../process/SeenVersions.js'

export function createContext (maximumAttempts = 4): ProcedureContext {
  return { seen: new SeenVersions(100), random: createRandom(1), maximumAttempts, backoff: { baseMs: 10, limitMs: 100 } }
}

export function createResponse (status: number, body: unknown): PlatformReply {
  return { kind: ReplyKind.Response, status, body }
}

export const NO_RESPONSE: PlatformReply = { kind: ReplyKind.NoResponse, reason: 'reset' }
export const NOT_SENT: PlatformReply = { kind: ReplyKind.NotSent, reason: 'refused' }

export interface ProcedureRun<Value> {
  readonly value: Value
  /** The HTTP methods of the requests, in order. */
  readonly sent: readonly string[]
  readonly waitsMs: readonly number[]
}

/** Runs a procedure with the given replies; the last reply is used for all further requests. */
export function runWithReplies<Value> (procedure: Generator<PlatformEffect, Value, unknown>, replies: readonly PlatformReply[]): ProcedureRun<Value> {
  const sent: string[] = []
  const waitsMs: number[] = []
  let step = procedure.next()
  while (step.done !== true) {
    const effect = step.value
    if (effect.kind === PlatformEffectKind.Wait) {
      waitsMs.push(effect.durationMs)
      step = procedure.next()
      continue
    }
    const reply = replies[Math.min(sent.length, replies.length - 1)]
    sent.push(effect.request.method)
    step = procedure.next(reply)
  }
  return { value: step.value, sent, waitsMs }
}
