import type { ModelId } from '../../process/ids.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'

const SECOND_MS = 1_000
const THOUSAND = 1_000
const MILLION = 1_000_000

/** Time of one token step while `decoding` requests generate tokens. */
export function stepMs (engine: EngineSpec, decoding: number): number {
  const contextTokens = engine.usualPromptTokens + engine.usualAnswerTokens / 2
  return engine.stepMs + decoding * (engine.perSequenceMs + engine.perThousandContextTokensMs * contextTokens / THOUSAND)
}

/** Time to prefill a prompt when no other request competes for the engine. */
export function prefillMs (engine: EngineSpec, promptTokens: number): number {
  const pairs = promptTokens * promptTokens / 2
  return promptTokens / engine.readTokensPerSecond * SECOND_MS + pairs / MILLION * engine.perMillionPairsMs
}

/** How long a usual request holds its slot in a group whose slots are all taken. */
export function slotHoldMs (engine: EngineSpec): number {
  return engine.usualAnswerTokens * stepMs(engine, engine.slots) + prefillMs(engine, engine.usualPromptTokens) * engine.slots
}

/** Time between two events of a stream: one pass, during which prompts of other requests are prefilled as well. */
export function eventGapMs (engine: EngineSpec, pace: number, load: number): number {
  return pace * engine.stride * stepMs(engine, Math.max(1, Math.min(load, engine.slots)))
}

/** The longest time between two events of a working group: a full prompt chunk is prefilled in each step of the pass. */
export function maxPassMs (engine: EngineSpec, pace: number): number {
  return pace * engine.stride * (stepMs(engine, engine.slots) + prefillMs(engine, engine.chunkTokens))
}

/** Group time that a request takes away from all others; the capacity of its model is planned by it. */
export function groupTimeMs (engine: EngineSpec, promptTokens: number, answerTokens: number): number {
  return prefillMs(engine, promptTokens) + answerTokens * stepMs(engine, engine.slots) / engine.slots
}

/**
 * Time until the first event of a request that joins `load` others at a group: the queue before it, its own prompt, and
 * the passes that it waits for.
 */
export function firstEventMs (engine: EngineSpec, pace: number, load: number, promptTokens: number): number {
  const decoding = Math.min(load, engine.slots)
  const waiting = Math.max(0, load - engine.slots + 1)
  const queueMs = waiting * slotHoldMs(engine) / engine.slots
  const passMs = engine.stride * stepMs(engine, decoding + 1)
  return pace * (queueMs + prefillMs(engine, promptTokens) + 2 * passMs)
}

/**
 * Time until the first event that the declared times explain while a slot is free. Queueing time is not known precisely
 * enough to be distinguished from delays that the declared times leave out.
 */
export function declaredFirstEventMs (engine: EngineSpec, pace: number, load: number, promptTokens: number): number {
  return firstEventMs(engine, pace, Math.min(load, engine.slots - 1), promptTokens)
}

/** The load at which a request's first event arrives after a given time: the inverse of `firstEventMs`. */
export function loadCurve (engine: EngineSpec, pace: number, promptTokens: number): (timeMs: number) => number {
  const last = engine.slots - 1
  const idleMs = firstEventMs(engine, pace, 0, promptTokens)
  const fullMs = firstEventMs(engine, pace, last, promptTokens)
  const queuedMs = pace * slotHoldMs(engine) / engine.slots
  return (timeMs) => timeMs <= fullMs ? (timeMs - idleMs) / (fullMs - idleMs) * last : last + (timeMs - fullMs) / queuedMs
}

/** The pace of an endpoint's model; 1 for a model that is not declared. */
export function paceOf ({ models }: EngineSpec, { model }: { readonly model: ModelId | null }): number {
  return models.find((spec) => spec.model === model)?.pace ?? 1
}
