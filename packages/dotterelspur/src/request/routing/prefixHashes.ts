import { hashText } from '../../process/rendezvous.js'

/** UTF-16 code units per block of a prompt; docs/contracts/engine.md requires engines to use the same size. */
export const PREFIX_BLOCK_CHARACTERS = 64

/**
 * Hashes of the whole-block prefixes of a prompt, shortest first, at most `maxBlocks` of them.
 *
 * Nodes and engines must use the same block size and hash function. Otherwise no cache event matches a prompt, and
 * the only symptom is that prefix affinity has no effect.
 */
export function prefixHashes (prompt: string, maxBlocks = Infinity): number[] {
  const blocks = Math.min(maxBlocks, Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS))
  return Array.from({ length: blocks }, (_, index) => hashText(prompt.slice(0, (index + 1) * PREFIX_BLOCK_CHARACTERS)))
}
