import { TargetKind, type GroupTarget, type RouteTarget, type TargetId, type Teardown } from 'dotterelspur'
import type { EntryContext } from './EntryContext.js'

/** Estimated size of a poll with an empty page: request and response, without TCP headers. 289 bytes were measured. */
export const POLL_BYTES = 350
/** Estimated size of one event in a page. 57 bytes were measured. */
export const EVENT_BYTES = 60
/** Each pause is extended by up to this fraction, so that the polls of nodes that started together spread out. */
const JITTER = 0.5
const MS_PER_SECOND = 1_000

interface Leader {
  readonly address: string
  afterSequence: number
}

type PollerContext = Pick<EntryContext, 'clock' | 'random' | 'mesh' | 'fleet' | 'router' | 'engines' | 'timing' | 'limits'>

/**
 * Polls the prefix cache events of the engines in the node's own region and applies them to the router, so that prefix
 * affinity also accounts for requests that other nodes sent to these engines.
 *
 * One poll is in flight at a time, and the groups are polled in turn. The next poll waits until the byte budget covers the
 * cost of the last one: pages of busy groups are large, and their size rather than the number of polls would exceed the node's
 * network budget. Late events are harmless, because the router treats events as expectations that expire. For the same reason
 * a gap in the sequence clears nothing here: the lost events are few compared with those that still apply.
 */
export class CacheEventPoller {
  /** In polling order: the first leader is polled next. */
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

  /** `targets` are the dispatchable groups and workers. A group's target id contains its formation, so a new formation starts at sequence 0. */
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

  /** Polls every group once per interval, or less often if the cost of the last poll exceeds the byte budget for one turn. */
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
