import { CacheEventKind } from 'dotterelspur'
import type { CacheEvent, CacheEventPage, Clock, Random } from 'dotterelspur'
import type { EngineSettings } from './EngineSettings.js'
import type { PrefixCacheChange } from './PrefixCache.js'

const LIMIT_EVENTS = 2_000
const LIMIT_PAGE_EVENTS = 500

interface DatedEvent extends CacheEvent {
  readonly visibleAtMs: number
}

/** Cache events as engines publish them: delayed, limited in number, and with gaps in their sequence. */
export class CacheEventLog {
  private events: DatedEvent[] = []
  private sequence = 0

  constructor (private readonly settings: EngineSettings, private readonly clock: Clock, private readonly random: Random) {}

  record (change: PrefixCacheChange): void {
    for (const prefixHash of change.stored) this.append(CacheEventKind.Stored, prefixHash)
    for (const prefixHash of change.evicted) this.append(CacheEventKind.Evicted, prefixHash)
    if (this.events.length > LIMIT_EVENTS) this.events = this.events.slice(-LIMIT_EVENTS)
  }

  page (afterSequence: number): CacheEventPage {
    const now = this.clock.nowMs()
    const events = this.events
      .filter((event) => event.sequence > afterSequence && event.visibleAtMs <= now)
      .slice(0, LIMIT_PAGE_EVENTS)
      .map(({ sequence, kind, prefixHash }) => ({ sequence, kind, prefixHash }))
    return { events, nextSequence: events.at(-1)?.sequence ?? afterSequence }
  }

  private append (kind: CacheEventKind, prefixHash: number): void {
    this.sequence += 1
    if (this.random.next() * 100 < this.settings.cacheEventLossPercent) return
    this.events.push({ sequence: this.sequence, kind, prefixHash, visibleAtMs: this.clock.nowMs() + this.settings.cacheEventDelayMs })
  }
}
