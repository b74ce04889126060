import type { NodeId } from '../../process/ids.js'
import { pick, type Random } from '../../process/Random.js'
import type { Outbox } from './MeshEffect.js'
import type { MeshTiming } from './MeshTiming.js'

interface DialState {
  readonly attempts: number
  readonly nextAtMs: number
  /** Set while a dial is in progress. */
  readonly dialingSinceMs: number | undefined
}

/** A peer to dial; `node` is null for an address whose node id is unknown, such as a seed. */
export interface DialTarget {
  readonly address: string
  readonly node: NodeId | null
}

/**
 * Decides which peers to dial and when. Exponential backoff with jitter spreads the dials over time when a whole fleet
 * restarts or a region becomes reachable again.
 */
export class DialScheduler {
  private states: ReadonlyMap<string, DialState> = new Map()
  private nextRejoinAtMs = 0

  constructor (private readonly outbox: Outbox, private readonly random: Random, private readonly timing: MeshTiming) {}

  /**
   * Dials the planned peers that are due. Of each pair the node with the lower id dials first; the other one dials only
   * if no link is established in the meantime.
   */
  dialWanted (self: NodeId, targets: readonly DialTarget[], nowMs: number): void {
    for (const target of targets) {
      const state = this.states.get(target.address)
      if (state === undefined) {
        const deferMs = target.node !== null && target.node < self ? this.timing.dialDeferMs * (1 + this.random.next()) : 0
        this.set(target.address, { attempts: 0, nextAtMs: nowMs + deferMs, dialingSinceMs: undefined })
      }
      this.dialIfDue(target, nowMs)
    }
  }

  /** Dials a random candidate at intervals: nodes declared dead may be running behind a network partition that has ended. */
  rejoin (candidates: readonly DialTarget[], alone: boolean, nowMs: number): void {
    if (nowMs < this.nextRejoinAtMs) return
    const intervalMs = alone ? this.timing.dialBackoffMinMs : this.timing.rejoinIntervalMs
    this.nextRejoinAtMs = nowMs + intervalMs * (0.5 + this.random.next())
    const target = pick(this.random, candidates)
    if (target === undefined) return
    if (this.states.get(target.address) === undefined) this.set(target.address, { attempts: 0, nextAtMs: nowMs, dialingSinceMs: undefined })
    this.dialIfDue(target, nowMs)
  }

  /**
   * Records that a dial established a link. The backoff still grows: a peer that accepts and closes at once would
   * otherwise be dialed continuously. A link that outlasts the backoff resets it.
   */
  connected (address: string, nowMs: number): void {
    this.fail(address, nowMs)
  }

  fail (address: string, nowMs: number): void {
    const attempts = (this.states.get(address)?.attempts ?? 0) + 1
    this.set(address, { attempts, nextAtMs: nowMs + this.backoffMs(attempts), dialingSinceMs: undefined })
  }

  /** Removes targets that are not in `addresses` and whose backoff is over, which bounds the table by the size of the plan. */
  retain (addresses: ReadonlySet<string>, nowMs: number): void {
    const kept = [...this.states].filter(([address, state]) => addresses.has(address) || state.dialingSinceMs !== undefined || state.nextAtMs > nowMs)
    if (kept.length !== this.states.size) this.states = new Map(kept)
  }

  private dialIfDue (target: DialTarget, nowMs: number): void {
    const state = this.states.get(target.address)!
    if (state.dialingSinceMs !== undefined) {
      if (nowMs - state.dialingSinceMs >= this.timing.dialTimeoutMs) this.fail(target.address, nowMs)
      return
    }
    if (nowMs < state.nextAtMs) return
    this.set(target.address, { ...state, dialingSinceMs: nowMs })
    this.outbox.dial(target.address, target.node)
  }

  private backoffMs (attempts: number): number {
    const boundMs = Math.min(this.timing.dialBackoffMaxMs, this.timing.dialBackoffMinMs * 2 ** (attempts - 1))
    return boundMs * (0.5 + this.random.next() / 2)
  }

  private set (address: string, state: DialState): void {
    this.states = new Map(this.states).set(address, state)
  }
}
