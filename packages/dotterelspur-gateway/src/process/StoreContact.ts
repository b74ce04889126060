import { OutageHistory, type Clock } from 'dotterelspur'
import { retryPauseMs } from './FollowRules.js'

/**
 * Entries expire after three heartbeats of silence, and the last heartbeat may be one interval old when the store goes away: in an outage of
 * less than two intervals no entry of a live endpoint expires.
 */
const HEARTBEATS_TO_EXPIRE_IN_OUTAGE = 2

/** When the store answered this node, or the lease holder, and when it may be tried again. */
export class StoreContact {
  private contactAtMs = -Infinity
  private readonly outages: OutageHistory
  /** Failed calls since the last one that the store answered. */
  private failures = 0
  /** While the store is unavailable, one follower retries for all, since a call from each would give no further information. */
  private nextTryAtMs = -Infinity

  /** @param heartbeatMs how often endpoints renew their entries. */
  constructor (private readonly clock: Clock, heartbeatMs: number, private readonly nodeCount: () => number) {
    this.outages = new OutageHistory(HEARTBEATS_TO_EXPIRE_IN_OUTAGE * heartbeatMs)
  }

  /** Time since the store is last known to have answered this node. */
  get ageMs (): number {
    return this.clock.nowMs() - this.contactAtMs
  }

  /** Whether this node's last call failed. */
  get isFailing (): boolean {
    return this.failures > 0
  }

  /** End of the last outage in which entries can have expired; null if there has been none. */
  get outageEndedAtMs (): number | null {
    return this.outages.endedAtMs
  }

  /** @param sinceMs the earliest time at which the store can have given the answer. */
  noteAnswer (sinceMs: number): void {
    this.failures = 0
    this.contactAtMs = Math.max(this.contactAtMs, sinceMs)
    this.outages.noteAnswer(sinceMs, this.clock.nowMs())
  }

  /** The store answered the lease holder, at some time in the last `ageMs`. */
  noteAnswerToHolder (ageMs: number): void {
    const nowMs = this.clock.nowMs()
    this.outages.noteAnswer(nowMs - ageMs, nowMs)
  }

  noteFailure (): void {
    this.failures += 1
  }

  mayTry (): boolean {
    if (this.failures === 0) return true
    const nowMs = this.clock.nowMs()
    if (nowMs < this.nextTryAtMs) return false
    this.nextTryAtMs = nowMs + retryPauseMs(this.failures, this.nodeCount())
    return true
  }
}
