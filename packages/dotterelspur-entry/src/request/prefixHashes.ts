import { PREFIX_BLOCK_CHARACTERS, prefixHashes } from 'dotterelspur'

/** Further blocks don't improve the choice of a group, and each one costs a hash over the whole prefix. */
const MAX_BLOCKS = 16

/** Estimated average, used to estimate the number of tokens in a text. */
const CHARACTERS_PER_TOKEN = 4

/** Hashes of the leading whole-block prefixes of a prompt that the router uses to choose a group, shortest first. */
export function routingPrefixes (prompt: string): number[] {
  return prefixHashes(prompt, MAX_BLOCKS)
}

export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

export const PREFIX_BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN
