export interface PrefixCacheChange {
  readonly stored: readonly number[]
  readonly evicted: readonly number[]
}

/** A prefix cache of limited size with least-recently-used eviction. */
export class PrefixCache {
  private readonly blocks = new Set<number>()

  constructor (private readonly limit: number) {}

  get usedShare (): number {
    return this.limit === 0 ? 0 : this.blocks.size / this.limit
  }

  has (hash: number): boolean {
    return this.blocks.has(hash)
  }

  /** Number of leading blocks of the prompt that are cached. */
  hitBlocks (hashes: readonly number[]): number {
    const miss = hashes.findIndex((hash) => !this.blocks.has(hash))
    return miss === -1 ? hashes.length : miss
  }

  store (hashes: readonly number[]): PrefixCacheChange {
    const stored = hashes.filter((hash) => !this.blocks.has(hash))
    for (const hash of hashes) this.touch(hash)
    return { stored, evicted: this.evict() }
  }

  private touch (hash: number): void {
    this.blocks.delete(hash)
    this.blocks.add(hash)
  }

  private evict (): number[] {
    const evicted: number[] = []
    for (const hash of this.blocks) {
      if (this.blocks.size <= this.limit) break
      this.blocks.delete(hash)
      evicted.push(hash)
    }
    return evicted
  }
}
