import { CacheEventKind, type CacheEventPage } from '../../connection/EngineApi.js'
import type { RoutingOptions } from './RoutingOptions.js'

/**
 * Which prompt prefixes one group is expected to hold: those that this node sent there and those that its cache
 * events named. Events come late and with gaps, so an entry is only an expectation: it ages out, and a wrong
 * one costs a recomputed prefix and nothing else.
 */
export class PrefixIndex {
  /** Hash to the time it was last used or reported; in order of that time. */
  private readonly lastSeenAtMs = new Map<number, number>()
  private nextSequence = 0
  /** Cache events that never arrived, for the counters. */
  lostEvents = 0

  constructor (private readonly options: RoutingOptions) {}

  /** A request with these prefixes was sent there. */
  recordRequest (prefixHashes: readonly number[], nowMs: number): void {
    for (const hash of prefixHashes) this.store(hash, nowMs)
  }

  applyEvents (page: CacheEventPage, nowMs: number): void {
    for (const event of page.events) {
      if (event.sequence < this.nextSequence) continue
      this.lostEvents += event.sequence - this.nextSequence
      this.nextSequence = event.sequence + 1
      if (event.kind === CacheEventKind.Stored) this.store(event.prefixHash, nowMs)
      else this.lastSeenAtMs.delete(event.prefixHash)
    }
    this.nextSequence = Math.max(this.nextSequence, page.nextSequence)
  }

  /** How many leading blocks of a prompt the group is expected to hold. */
  matchedBlocks (prefixHashes: readonly number[], nowMs: number): number {
    const oldestMs = nowMs - this.options.prefixTtlMs
    for (let blocks = prefixHashes.length; blocks > 0; blocks--) {
      const seenAtMs = this.lastSeenAtMs.get(prefixHashes[blocks - 1]!)
      if (seenAtMs !== undefined && seenAtMs >= oldestMs) return blocks
    }
    return 0
  }

  private store (hash: number, nowMs: number): void {
    this.lastSeenAtMs.delete(hash)
    this.lastSeenAtMs.set(hash, nowMs)
    if (this.lastSeenAtMs.size <= this.options.maxPrefixesPerTarget) return
    const oldest = this.lastSeenAtMs.keys().next()
    if (oldest.done !== true) this.lastSeenAtMs.delete(oldest.value)
  }
}
