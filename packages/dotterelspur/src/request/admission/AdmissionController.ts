import { PriorityClass } from '../../connection/EngineApi.js'
import type { RequestId, TeamId } from '../../process/ids.js'
import { invariant } from '../../process/invariant.js'
import type { TeamLimits } from '../../version/TeamSettings.js'
import { OutcomeReason } from '../Outcome.js'
import { DEFAULT_ADMISSION_OPTIONS, type AdmissionOptions } from './AdmissionOptions.js'
import { AdmissionEffectKind, type AdmissionEffect, type AdmissionRequest, type AdmissionResult, type LaneId } from './AdmissionRequest.js'
import { notRun } from './outcomes.js'

interface Waiting {
  readonly request: AdmissionRequest
  readonly sinceMs: number
}

interface Lane {
  concurrency: number
  running: number
  readonly queues: Record<PriorityClass, Waiting[]>
}

const CLASSES: readonly PriorityClass[] = [PriorityClass.Interactive, PriorityClass.Standard, PriorityClass.Bulk]
const SHED_RETRY_AFTER_MS = 1_000

/**
 * Decides when an accepted request is dispatched, and which ones are given up before that. One per process.
 *
 * Every method returns the effects that the caller must carry out. A request is first offered; it is then
 * dispatched or shed by that or a later call, exactly one of the two. State changes in place, see Router.
 */
export class AdmissionController {
  private readonly lanes = new Map<LaneId, Lane>()
  private readonly running = new Map<RequestId, AdmissionRequest>()
  private teams: ReadonlyMap<TeamId, TeamLimits> = new Map()

  constructor (private readonly options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS) {}

  /** Replaces the limits of all teams; a team without an entry is not limited. the nodes share them. */
  configureTeams (limits: ReadonlyMap<TeamId, TeamLimits>, _nodes: number, _nowMs: number): void {
    this.teams = limits
  }

  /** Sets how many requests the lane's endpoints can run side by side, and how many nodes share them. */
  configureLane (lane: LaneId, capacity: number, nodes: number, nowMs: number): AdmissionEffect[] {
    this.lane(lane).concurrency = Math.max(1, Math.ceil(capacity / Math.max(1, nodes)))
    return this.tick(nowMs)
  }

  offer (request: AdmissionRequest, nowMs: number): AdmissionEffect[] {
    const lane = this.lane(request.lane)
    const queue = lane.queues[request.priority]
    if (queue.length >= this.options.queueLimit[request.priority]) return [shed(request.id, OutcomeReason.Overloaded)]
    const limits = this.teams.get(request.team)
    if (limits !== undefined && this.queuedOf(request.team) >= limits.queuedRequests) return [shed(request.id, OutcomeReason.RateLimited)]
    queue.push({ request, sinceMs: nowMs })
    return this.tick(nowMs)
  }

  /** Once for each dispatched request, when its last attempt has ended. */
  finish (id: RequestId, _result: AdmissionResult, nowMs: number): AdmissionEffect[] {
    const request = this.running.get(id)
    invariant(request !== undefined, `finish of ${id}, which is not running`)
    this.running.delete(id)
    this.lane(request.lane).running--
    return this.tick(nowMs)
  }

  /** The caller went away: a queued request is shed as cancelled; a running one is left to `finish`. */
  cancel (id: RequestId, nowMs: number): AdmissionEffect[] {
    for (const lane of this.lanes.values()) {
      for (const priority of CLASSES) {
        const index = lane.queues[priority].findIndex((waiting) => waiting.request.id === id)
        if (index < 0) continue
        lane.queues[priority].splice(index, 1)
        return [shed(id, OutcomeReason.Cancelled), ...this.tick(nowMs)]
      }
    }
    return []
  }

  /** Sheds what can no longer start in time and dispatches what can. Call it at `nextTickAtMs`. */
  tick (nowMs: number): AdmissionEffect[] {
    const effects: AdmissionEffect[] = []
    for (const lane of this.lanes.values()) this.serve(lane, nowMs, effects)
    return effects
  }

  /** When something queued must be looked at again, if nothing else happens; null when nothing waits. */
  nextTickAtMs (): number | null {
    let earliest: number | null = null
    for (const lane of this.lanes.values()) {
      for (const priority of CLASSES) {
        for (const waiting of lane.queues[priority]) {
          const due = this.giveUpAtMs(waiting)
          if (earliest === null || due < earliest) earliest = due
        }
      }
    }
    return earliest
  }

  private serve (lane: Lane, nowMs: number, effects: AdmissionEffect[]): void {
    for (const priority of CLASSES) {
      const queue = lane.queues[priority]
      while (queue.length > 0) {
        const head = queue[0]!
        if (nowMs >= this.giveUpAtMs(head)) {
          queue.shift()
          effects.push(shed(head.request.id, OutcomeReason.DeadlineExceeded))
          continue
        }
        if (lane.running >= lane.concurrency) break
        queue.shift()
        lane.running++
        this.running.set(head.request.id, head.request)
        effects.push({ kind: AdmissionEffectKind.Dispatch, id: head.request.id, queuedMs: nowMs - head.sinceMs })
      }
    }
  }

  private queuedOf (team: TeamId): number {
    let count = 0
    for (const lane of this.lanes.values()) {
      for (const priority of CLASSES) {
        for (const waiting of lane.queues[priority]) if (waiting.request.team === team) count++
      }
    }
    return count
  }

  private giveUpAtMs (waiting: Waiting): number {
    return Math.min(waiting.request.deadlineAtMs, waiting.sinceMs + this.options.maxQueueMs[waiting.request.priority])
  }

  private lane (id: LaneId): Lane {
    let lane = this.lanes.get(id)
    if (lane === undefined) {
      const queues = { [PriorityClass.Interactive]: [], [PriorityClass.Standard]: [], [PriorityClass.Bulk]: [] }
      lane = { concurrency: this.options.initialConcurrency, running: 0, queues }
      this.lanes.set(id, lane)
    }
    return lane
  }
}

function shed (id: RequestId, reason: OutcomeReason): AdmissionEffect {
  const retryAfterMs = reason === OutcomeReason.Cancelled ? null : SHED_RETRY_AFTER_MS
  return { kind: AdmissionEffectKind.Shed, id, outcome: notRun(reason, retryAfterMs) }
}
