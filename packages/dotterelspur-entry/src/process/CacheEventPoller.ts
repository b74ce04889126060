import { TargetKind, type GroupTarget, type RouteTarget, type TargetId, type Teardown } from 'dotterelspur'
import type { EntryContext } from './EntryContext.js'

/** A poll and its empty page, both ways, without TCP's own headers; 289 measured. */
export const POLL_BYTES = 350
/** One event of a page; 57 measured. */
export const EVENT_BYTES = 60
/** Each pause is longer than due by up to this share, so that nodes that started together drift apart. */
const JITTER = 0.5
const MS_PER_SECOND = 1_000

interface Leader {
  readonly address: string
  afterSequence: number
}

type PollerContext = Pick<EntryContext, 'clock' | 'random' | 'mesh' | 'fleet' | 'router' | 'engines' | 'timing' | 'limits'>

/**
 * Tells the router what the engines of the own region say of their prefix caches, so that affinity also sees what
 * other nodes sent there.
 *
 * One poll is in flight at a time, and groups take turns. What a poll cost is paid off before the next one: pages of
 * busy groups are large, and without this their size, not the number of polls, would break the node's network
 * budget. Reading late is harmless, since the router takes events for expectations that age out. For the same
 * reason a gap clears nothing here: the events that were lost are few against those that still hold.
 */
export class CacheEventPoller {
  /** In order of turns: the first is polled next. */
  private readonly leaders = new Map<TargetId, Leader>()
  private stopped = false
  private cancelTimer: Teardown = () => {}

  constructor (private readonly context: PollerContext) {}

  start (): Teardown {
    const unregister = this.context.fleet.registerListener((targets) => { this.updateLeaders(targets) })
    this.scheduleNextPoll(0)
    return () => {
      this.stopped = true
      this.cancelTimer()
      unregister()
    }
  }

  /** Targets are the groups that may be dispatched to. Their ids hold the formation, so a new one starts over. */
  private updateLeaders (targets: readonly RouteTarget[]): void {
    const groups = targets.filter((target): target is GroupTarget => target.kind === TargetKind.Group && target.region === this.context.mesh.self.region)
    const present = new Set(groups.map((group) => group.id))
    for (const id of this.leaders.keys()) {
      if (!present.has(id)) this.leaders.delete(id)
    }
    for (const { id, address } of groups) {
      if (this.leaders.get(id)?.address !== address) this.leaders.set(id, { address, afterSequence: 0 })
    }
  }

  /** Every group has its turn once an interval, unless the last poll cost more than the budget gives in that time. */
  private scheduleNextPoll (costBytes: number): void {
    if (this.stopped) return
    const { clock, random, timing, limits } = this.context
    const turnMs = timing.cacheEventIntervalMs / Math.max(1, this.leaders.size)
    const payOffMs = costBytes * MS_PER_SECOND / limits.cacheEventBytesPerSecond
    const dueMs = Math.max(turnMs, payOffMs) * (1 + JITTER * random.next())
    this.cancelTimer = clock.registerTimer(dueMs, () => { this.pollNextLeader() })
  }

  private pollNextLeader (): void {
    const next = this.leaders.entries().next()
    if (next.done === true) {
      this.scheduleNextPoll(0)
      return
    }
    const [id, leader] = next.value
    this.leaders.delete(id)
    this.leaders.set(id, leader)
    this.poll(id, leader).then((costBytes) => { this.scheduleNextPoll(costBytes) })
  }

  private async poll (id: TargetId, leader: Leader): Promise<number> {
    const { engines, router, clock, timing } = this.context
    const page = await engines.cacheEvents(leader.address, leader.afterSequence, timing.lookupTimeoutMs)
    if (!page.ok) {
      leader.afterSequence = 0
      return POLL_BYTES
    }
    const costBytes = POLL_BYTES + EVENT_BYTES * page.value.events.length
    if (this.stopped || this.leaders.get(id) !== leader) return costBytes
    leader.afterSequence = page.value.nextSequence
    router.applyCacheEvents(id, page.value, clock.nowMs())
    return costBytes
  }
}
