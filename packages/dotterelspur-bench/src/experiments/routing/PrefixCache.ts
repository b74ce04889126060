import { CacheEventKind, type CacheEvent } from 'dotterelspur'

/** Tokens per block of a prompt prefix. */
export const BLOCK_TOKENS = 256

/** An engine's prefix cache: blocks by hash, the least recently used goes first. */
export class PrefixCache {
  private readonly blocks = new Map<number, true>()
  private events: CacheEvent[] = []
  private sequence = 0

  constructor (private readonly capacityTokens: number) {}

  /** Tokens of the prompt's leading blocks that are held; marks them as used. */
  use (prefixHashes: readonly number[]): number {
    const held = this.heldBlocks(prefixHashes)
    for (const hash of prefixHashes.slice(0, held)) this.touch(hash)
    return held * BLOCK_TOKENS
  }

  heldBlocks (prefixHashes: readonly number[]): number {
    let held = 0
    while (held < prefixHashes.length && this.blocks.has(prefixHashes[held]!)) held++
    return held
  }

  store (prefixHashes: readonly number[]): void {
    // The deepest block first, so that the leading ones are the last to go.
    for (const hash of [...prefixHashes].reverse()) {
      if (!this.blocks.has(hash)) this.emit(CacheEventKind.Stored, hash)
      this.touch(hash)
    }
    while (this.blocks.size * BLOCK_TOKENS > this.capacityTokens) {
      const oldest = this.blocks.keys().next().value!
      this.blocks.delete(oldest)
      this.emit(CacheEventKind.Evicted, oldest)
    }
  }

  clear (): void {
    this.blocks.clear()
    this.events = []
  }

  takeEvents (): readonly CacheEvent[] {
    const events = this.events
    this.events = []
    return events
  }

  private touch (hash: number): void {
    this.blocks.delete(hash)
    this.blocks.set(hash, true)
  }

  private emit (kind: CacheEventKind, prefixHash: number): void {
    this.events.push({ sequence: this.sequence++, kind, prefixHash })
  }
}
