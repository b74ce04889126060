import { hashText } from 'dotterelspur'

/** Characters of one block, as engines count them; docs/contracts/engine.md. */
const BLOCK_CHARACTERS = 64
/** Blocks beyond this add nothing to the choice of a group, and each one costs a hash over the whole prefix. */
const MAX_BLOCKS = 16

/** Tokens of a text, estimated. */
const CHARACTERS_PER_TOKEN = 4

/** Hashes of the leading whole-block prefixes of a prompt, shortest first. */
export function prefixHashes (prompt: string): number[] {
  const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS))
  return Array.from({ length: blocks }, (_, index) => hashText(prompt.slice(0, (index + 1) * BLOCK_CHARACTERS)))
}

export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

export const PREFIX_BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN
