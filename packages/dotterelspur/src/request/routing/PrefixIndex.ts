import { CacheEventKind, type CacheEventPage } from '../../connection/EngineApi.js'
import type { RoutingOptions } from './RoutingOptions.js'

/**
 * Prompt prefixes that one group is expected to have in its cache: those of requests that this node sent to it and
 * those named by its cache events. Cache events arrive late and with gaps, so entries may be wrong. They expire,
 * and a wrong entry only costs recomputing the prefix.
 */
export class PrefixIndex {
  /** Prefix hash to the time of its last use or cache event, oldest first. */
  private readonly lastSeenAtMs = new Map<number, number>()
  private nextSequence = 0
  /** Number of cache events missing from the sequence so far; exported as a counter. */
  lostEvents = 0

  constructor (private readonly options: RoutingOptions) {}

  /** Records that this node sent a request with these prefixes to the group. */
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

  /** Number of leading blocks of a prompt that the group is expected to have cached. */
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
