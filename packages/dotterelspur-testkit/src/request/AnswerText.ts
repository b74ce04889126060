import { hashText } from 'dotterelspur'
import type { GenerateRequest } from 'dotterelspur'

const WORDS = [
  'the', 'river', 'rain', 'clears', 'over', 'a', 'quiet', 'road', 'and', 'every', 'ledger', 'holds', 'its',
  'line', 'of', 'trips', 'until', 'morning', 'when', 'books', 'return', 'to', 'shelves', 'in', 'order',
  'with', 'notes', 'from', 'lenders', 'who', 'answer', 'soon'
]
const SHORTEST_ANSWER_TOKENS = 24
const ANSWER_SPREAD_TOKENS = 40
const CHARACTERS_PER_TOKEN = 4

/** Inputs of an answer: the same four result in the same tokens on every engine. */
export type AnswerSource = Pick<GenerateRequest, 'model' | 'version' | 'prompt' | 'seed'>

/** A deterministic answer, so that a resumed or repeated stream can be compared token by token. */
export interface AnswerText {
  /** Number of tokens after which the answer ends by itself. */
  readonly length: number
  token (offset: number): string
}

/** Generates the answer of every stand-in engine to a source. */
export function answerText (source: AnswerSource): AnswerText {
  const base = hashText([source.model, source.version, source.prompt, source.seed].join('\u0000'))
  return {
    length: SHORTEST_ANSWER_TOKENS + base % ANSWER_SPREAD_TOKENS,
    token: (offset) => `${WORDS[hashText(`${base}:${offset}`) % WORDS.length]!}${offset}.${(base % 997).toString(36)} `
  }
}

/** The whole text that a caller must have received for a source and a token limit. */
export function expectedAnswer (source: AnswerSource, maxTokens: number): string {
  const answer = answerText(source)
  const length = Math.min(answer.length, maxTokens)
  return Array.from({ length }, (_, offset) => answer.token(offset)).join('')
}

/** Number of tokens of a text, as the stand-in engines count them. */
export function countTokens (text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN))
}
