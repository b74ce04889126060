import type { Random } from 'dotterelspur'

/** Kinds of calls. */
export enum CallKind {
  /** A streamed chat answer. */
  ChatStream = 'chat-stream',
  /** A chat answer in one piece. */
  ChatWhole = 'chat-whole',
  /** A streamed chat answer that must not be generated twice. */
  ChatOnce = 'chat-once',
  /** A service call that may be repeated. */
  ServiceSafe = 'service-safe',
  /** A service call that must run at most once. */
  ServiceOnce = 'service-once'
}

interface CallShape {
  readonly kind: CallKind
  /** Share of this deployment's calls; the shares need not add up to one. */
  readonly share: number
  /** Bounds of the prompt's words and of the answer's tokens; unused by service calls. */
  readonly promptWords: readonly [number, number]
  readonly maxTokens: readonly [number, number]
}

/** The calls of one deployment. */
export interface WorkloadMix {
  readonly team: string
  /** Share of all calls, against the other deployments. */
  readonly share: number
  readonly shapes: readonly CallShape[]
  /** Number of common beginnings of prompts, which prefix caches can hold. */
  readonly openings: number
}

const NO_WORDS: readonly [number, number] = [0, 0]

/** Trip summaries before the tradie drives off; bookkeepers' longer ones; claim lines that may be filed once. */
export const TRADELINE_MIX: WorkloadMix = {
  team: 'tradeline',
  share: 0.5,
  openings: 12,
  shapes: [
    { kind: CallKind.ChatStream, share: 0.55, promptWords: [30, 90], maxTokens: [24, 64] },
    { kind: CallKind.ChatWhole, share: 0.2, promptWords: [80, 240], maxTokens: [48, 128] },
    { kind: CallKind.ChatOnce, share: 0.05, promptWords: [30, 60], maxTokens: [24, 48] },
    { kind: CallKind.ServiceSafe, share: 0.12, promptWords: NO_WORDS, maxTokens: NO_WORDS },
    { kind: CallKind.ServiceOnce, share: 0.08, promptWords: NO_WORDS, maxTokens: NO_WORDS }
  ]
}

/** Borrowing requests drafted at length, lenders' replies summarised, citations checked, loan requests sent once. */
export const PIEDMONT_MIX: WorkloadMix = {
  team: 'piedmont',
  share: 0.5,
  openings: 30,
  shapes: [
    { kind: CallKind.ChatStream, share: 0.45, promptWords: [60, 200], maxTokens: [48, 128] },
    { kind: CallKind.ChatWhole, share: 0.2, promptWords: [20, 60], maxTokens: [24, 32] },
    { kind: CallKind.ChatOnce, share: 0.1, promptWords: [40, 80], maxTokens: [32, 64] },
    { kind: CallKind.ServiceSafe, share: 0.15, promptWords: NO_WORDS, maxTokens: NO_WORDS },
    { kind: CallKind.ServiceOnce, share: 0.1, promptWords: NO_WORDS, maxTokens: NO_WORDS }
  ]
}

export const MIXES: readonly WorkloadMix[] = [TRADELINE_MIX, PIEDMONT_MIX]

/** A call drawn from the mix. */
export interface PlannedCall {
  readonly team: string
  readonly kind: CallKind
  readonly prompt: string
  readonly maxTokens: number
  readonly seed: number
  /** A number that is unique within the run. */
  readonly number: number
}

const WORDS = ['trip', 'route', 'invoice', 'kilometre', 'site', 'lender', 'hold', 'citation', 'shelf', 'due', 'copy', 'ledger']
const OPENING_WORDS = 24
const SEED_RANGE = 1_000_000

export function planCall (number: number, mixes: readonly WorkloadMix[], random: Random): PlannedCall {
  const mix = drawShare(mixes, random)
  const shape = drawShare(mix.shapes, random)
  const opening = random.integer(mix.openings)
  const words = Array.from({ length: between(shape.promptWords, random) }, () => WORDS[random.integer(WORDS.length)]!)
  const start = Array.from({ length: OPENING_WORDS }, (_, index) => `${WORDS[(opening + index * (opening + 1)) % WORDS.length]!}${opening}`)
  return {
    team: mix.team,
    kind: shape.kind,
    prompt: [...start, ...words, `number ${number}`].join(' '),
    maxTokens: between(shape.maxTokens, random),
    seed: random.integer(SEED_RANGE),
    number
  }
}

function drawShare<Item extends { readonly share: number }> (items: readonly Item[], random: Random): Item {
  const total = items.reduce((sum, item) => sum + item.share, 0)
  let left = random.next() * total
  for (const item of items) {
    left -= item.share
    if (left <= 0) return item
  }
  return items[items.length - 1]!
}

function between ([low, high]: readonly [number, number], random: Random): number {
  return low + random.integer(high - low + 1)
}
