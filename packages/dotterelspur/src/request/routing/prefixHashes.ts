import { hashText } from '../../process/rendezvous.js'

/** UTF-16 code units of one block of a prompt; docs/contracts/engine.md asks engines for the same. */
export const PREFIX_BLOCK_CHARACTERS = 64

/**
 * The names of a prompt's whole-block prefixes, shortest first, at most `maxBlocks` of them.
 *
 * Nodes and engines must agree on them: with another block or hash no cache event would ever match a prompt, and
 * one would notice only that prefix affinity gains nothing.
 */
export function prefixHashes (prompt: string, maxBlocks = Infinity): number[] {
  const blocks = Math.min(maxBlocks, Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS))
  return Array.from({ length: blocks }, (_, index) => hashText(prompt.slice(0, (index + 1) * PREFIX_BLOCK_CHARACTERS)))
}
