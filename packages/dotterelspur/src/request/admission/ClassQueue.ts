import type { TeamId } from '../../process/ids.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import { FairShare } from './FairShare.js'

/** A request waiting for dispatch. */
export interface QueuedRequest {
  readonly request: AdmissionRequest
  readonly queuedAtMs: number
  /** The request is shed at this time: the earlier of its deadline and the maximum queue time of its class. */
  readonly expiresAtMs: number
}

/** Queue of one priority class in one lane: first in, first out within a team, fair by tokens between teams. */
export class ClassQueue {
  private readonly teams = new Map<TeamId, QueuedRequest[]>()
  private readonly share = new FairShare<TeamId>()
  private count = 0

  get length (): number {
    return this.count
  }

  push (waiting: QueuedRequest): void {
    const { team } = waiting.request
    const queue = this.teams.get(team)
    if (queue === undefined) this.teams.set(team, [waiting])
    else queue.push(waiting)
    this.count++
  }

  /** Whether a team that may run has a request in the queue. */
  hasRunnable (mayRun: (team: TeamId) => boolean): boolean {
    for (const team of this.teams.keys()) {
      if (mayRun(team)) return true
    }
    return false
  }

  /** Removes and returns the next request of the teams that may run. */
  pop (mayRun: (team: TeamId) => boolean): QueuedRequest | undefined {
    const team = this.share.next([...this.teams.keys()].filter(mayRun))
    if (team === undefined) return undefined
    const waiting = this.teams.get(team)![0]!
    this.share.charge(team, Math.max(1, waiting.request.tokens))
    this.remove(waiting)
    return waiting
  }

  remove (waiting: QueuedRequest): void {
    const { team } = waiting.request
    const queue = this.teams.get(team)
    const index = queue?.indexOf(waiting) ?? -1
    if (queue === undefined || index < 0) return
    queue.splice(index, 1)
    this.count--
    if (queue.length > 0) return
    this.teams.delete(team)
    this.share.retire(team)
  }

  /** Removes and returns the expired requests. */
  takeExpired (nowMs: number): QueuedRequest[] {
    const expired = [...this.teams.values()].flatMap((queue) => queue.filter((waiting) => waiting.expiresAtMs <= nowMs))
    for (const waiting of expired) this.remove(waiting)
    return expired
  }

  /** When the next request expires; Infinity when the queue is empty. */
  nextExpiryAtMs (): number {
    let earliest = Infinity
    for (const queue of this.teams.values()) {
      for (const waiting of queue) earliest = Math.min(earliest, waiting.expiresAtMs)
    }
    return earliest
  }
}
