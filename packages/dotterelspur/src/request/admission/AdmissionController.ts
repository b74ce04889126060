import { PriorityClass } from '../../connection/EngineApi.js'
import type { RequestId, TeamId } from '../../process/ids.js'
import { invariant } from '../../process/invariant.js'
import type { Random } from '../../process/Random.js'
import type { TeamLimits } from '../../version/TeamSettings.js'
import { OutcomeReason } from '../Outcome.js'
import { AdmissionLane, PRIORITY_CLASSES } from './AdmissionLane.js'
import type { AllowanceAsk, AllowanceGrant } from './AllowanceHolder.js'
import { DEFAULT_ADMISSION_OPTIONS, type AdmissionOptions } from './AdmissionOptions.js'
import { AdmissionEffectKind, type AdmissionEffect, type AdmissionRequest, type AdmissionResult, type LaneId } from './AdmissionRequest.js'
import type { Waiting } from './ClassQueue.js'
import { queueShed } from './outcomes.js'
import { ReturnPacer } from './ReturnPacer.js'
import { LimitSharing, TeamLimiter } from './TeamLimiter.js'

interface Running {
  readonly request: AdmissionRequest
  readonly sinceMs: number
  sawFirstToken: boolean
}

/** What waits and runs in one lane, for the operators' view. */
export interface LaneLoad {
  readonly lane: LaneId
  readonly running: number
  readonly limit: number
  readonly queued: Readonly<Record<PriorityClass, number>>
}

/**
 * Decides when an accepted request is dispatched, and which ones are given up before that. One per process.
 *
 * Every method returns the effects that the caller must carry out, at once. A request is first offered; it is then
 * dispatched or shed by that or a later call, exactly one of the two. The state changes in place, see Router.
 */
export class AdmissionController {
  private readonly lanes = new Map<LaneId, AdmissionLane>()
  private readonly waiting = new Map<RequestId, Waiting>()
  private readonly running = new Map<RequestId, Running>()
  private readonly teams: TeamLimiter
  private readonly teamPacers = new Map<TeamId, ReturnPacer>()
  private readonly mayRun = (team: TeamId): boolean => this.teams.mayRun(team)

  constructor (private readonly options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS, sharing: LimitSharing = LimitSharing.Even) {
    this.teams = new TeamLimiter(sharing)
  }

  /** Replaces the limits of all teams; a team without an entry is not limited. The nodes share them. */
  configureTeams (limits: ReadonlyMap<TeamId, TeamLimits>, nodes: number, nowMs: number): void {
    this.teams.configure(limits, nodes, nowMs)
    for (const team of this.teamPacers.keys()) {
      if (!limits.has(team)) this.teamPacers.delete(team)
    }
  }

  /** With LimitSharing.Holders, after each offer: what to ask a holder of the team for; see TeamLimiter. */
  allowanceAsk (team: TeamId, nowMs: number, random: Random): AllowanceAsk | null {
    return this.teams.ask(team, nowMs, random)
  }

  /** A holder's answer to an ask. */
  noteGrant (grant: AllowanceGrant): void {
    this.teams.noteGrant(grant)
  }

  /** Sets how many requests the lane's endpoints can run side by side, and how many nodes share them. */
  configureLane (lane: LaneId, capacity: number, nodes: number, nowMs: number): AdmissionEffect[] {
    this.lane(lane).limit.configure(capacity, nodes)
    return this.serve(lane, nowMs)
  }

  /**
   * Slow callers fill this node's buffers: `share` is the part in use, 0 to 1. Above a half, lanes shrink in
   * proportion, so that less is asked of engines than callers take.
   */
  notePressure (share: number, nowMs: number): AdmissionEffect[] {
    const room = Math.min(1, Math.max(0, (1 - share) * 2))
    for (const lane of this.lanes.values()) lane.room = room
    return this.tick(nowMs)
  }

  offer (request: AdmissionRequest, nowMs: number): AdmissionEffect[] {
    invariant(!this.waiting.has(request.id) && !this.running.has(request.id), `${request.id} is offered once`)
    const refused = this.refuse(request, nowMs)
    if (refused !== null) return [refused]
    const giveUpAtMs = Math.min(request.deadlineAtMs, nowMs + this.options.maxQueueMs[request.priority])
    const waiting: Waiting = { request, sinceMs: nowMs, giveUpAtMs }
    this.lane(request.lane).queues[request.priority].push(waiting)
    this.waiting.set(request.id, waiting)
    this.teams.noteQueued(request.team, 1)
    return this.serve(request.lane, nowMs)
  }

  /** Once per dispatched request at most, when its first token arrives: the limit learns sooner than by `finish`. */
  noteFirstToken (id: RequestId, nowMs: number): void {
    const running = this.running.get(id)
    if (running === undefined || running.sawFirstToken) return
    running.sawFirstToken = true
    const lane = this.lane(running.request.lane)
    lane.limit.noteFirstToken(nowMs - running.sinceMs, lane.runningCount, nowMs)
  }

  /** Once for each dispatched request, when its last attempt has ended. */
  finish (id: RequestId, result: AdmissionResult, nowMs: number): AdmissionEffect[] {
    const running = this.running.get(id)
    invariant(running !== undefined, `finish of ${id}, which is not running`)
    const { request, sinceMs, sawFirstToken } = running
    const lane = this.lane(request.lane)
    if (result.overloaded) lane.limit.noteCongestion(nowMs)
    else if (result.firstTokenMs !== null && !sawFirstToken) lane.limit.noteFirstToken(result.firstTokenMs, lane.runningCount, nowMs)
    this.running.delete(id)
    lane.noteFinished(request.priority, nowMs - sinceMs)
    const wasAtLimit = !this.teams.mayRun(request.team)
    this.teams.noteRunning(request.team, -1)
    this.teams.settle(request.team, request.tokens, result.tokens)
    return wasAtLimit ? this.tick(nowMs) : this.serve(request.lane, nowMs)
  }

  /** The caller went away: a queued request is shed as cancelled; a running one is left to `finish`. */
  cancel (id: RequestId, nowMs: number): AdmissionEffect[] {
    const waiting = this.waiting.get(id)
    if (waiting === undefined) return []
    const { lane } = waiting.request
    return [this.shedWaiting(waiting, OutcomeReason.Cancelled, null), ...this.serve(lane, nowMs)]
  }

  /** Sheds what can no longer start in time and dispatches what can. Call it at `nextTickAtMs`. */
  tick (nowMs: number): AdmissionEffect[] {
    return [...this.lanes.keys()].flatMap((lane) => this.serve(lane, nowMs))
  }

  /** When something queued must be looked at again, if nothing else happens; null when nothing waits. */
  nextTickAtMs (): number | null {
    if (this.waiting.size === 0) return null
    let earliest = Infinity
    for (const lane of this.lanes.values()) {
      for (const priority of PRIORITY_CLASSES) earliest = Math.min(earliest, lane.queues[priority].nextGiveUpAtMs())
    }
    return earliest
  }

  loads (): LaneLoad[] {
    return [...this.lanes].map(([lane, { runningCount, limit, queues }]) => ({
      lane,
      running: runningCount,
      limit: limit.value,
      queued: {
        [PriorityClass.Interactive]: queues[PriorityClass.Interactive].length,
        [PriorityClass.Standard]: queues[PriorityClass.Standard].length,
        [PriorityClass.Bulk]: queues[PriorityClass.Bulk].length
      }
    }))
  }

  /**
   * Refuses at once what could not be dispatched in time, rather than when its time is up: the caller can go
   * elsewhere or come back, and the queue is kept for those that can still be served.
   */
  private refuse (request: AdmissionRequest, nowMs: number): AdmissionEffect | null {
    const { id, team, priority, tokens, deadlineAtMs } = request
    const lane = this.lane(request.lane)
    if (deadlineAtMs <= nowMs) return queueShed(id, OutcomeReason.DeadlineExceeded, lane.returnMs(priority, nowMs))
    const waitMs = lane.expectedWaitMs(priority)
    const patienceMs = Math.min(deadlineAtMs - nowMs, this.options.maxQueueMs[priority])
    const isFull = lane.queues[priority].length >= this.options.queueLimit[priority]
    if (isFull || (waitMs !== null && waitMs >= patienceMs)) return queueShed(id, OutcomeReason.Overloaded, lane.returnMs(priority, nowMs))
    if (!this.teams.mayQueue(team)) return queueShed(id, OutcomeReason.RateLimited, lane.returnMs(priority, nowMs))
    const teamWaitMs = this.teams.charge(team, tokens, nowMs)
    return teamWaitMs === null ? null : queueShed(id, OutcomeReason.RateLimited, this.teamReturnMs(team, teamWaitMs, nowMs))
  }

  private teamReturnMs (team: TeamId, waitMs: number, nowMs: number): number {
    let pacer = this.teamPacers.get(team)
    if (pacer === undefined) {
      pacer = new ReturnPacer()
      this.teamPacers.set(team, pacer)
    }
    return pacer.nextReturnMs(waitMs, waitMs, nowMs)
  }

  private serve (laneId: LaneId, nowMs: number): AdmissionEffect[] {
    const lane = this.lane(laneId)
    const effects: AdmissionEffect[] = []
    for (const priority of PRIORITY_CLASSES) {
      for (const waiting of lane.queues[priority].takeExpired(nowMs)) {
        effects.push(this.shedWaiting(waiting, OutcomeReason.DeadlineExceeded, lane.returnMs(priority, nowMs)))
      }
    }
    for (let waiting = lane.next(this.mayRun); waiting !== undefined; waiting = lane.next(this.mayRun)) {
      effects.push(this.dispatch(waiting, nowMs))
    }
    return effects
  }

  private dispatch ({ request, sinceMs }: Waiting, nowMs: number): AdmissionEffect {
    this.waiting.delete(request.id)
    this.running.set(request.id, { request, sinceMs: nowMs, sawFirstToken: false })
    this.teams.noteQueued(request.team, -1)
    this.teams.noteRunning(request.team, 1)
    return { kind: AdmissionEffectKind.Dispatch, id: request.id, queuedMs: nowMs - sinceMs }
  }

  /** It was charged when it was queued and has used nothing. */
  private shedWaiting (waiting: Waiting, reason: OutcomeReason, retryAfterMs: number | null): AdmissionEffect {
    const { id, lane, priority, team, tokens } = waiting.request
    this.lane(lane).queues[priority].remove(waiting)
    this.waiting.delete(id)
    this.teams.noteQueued(team, -1)
    this.teams.refund(team, tokens)
    return queueShed(id, reason, retryAfterMs)
  }

  private lane (id: LaneId): AdmissionLane {
    let lane = this.lanes.get(id)
    if (lane === undefined) {
      lane = new AdmissionLane(this.options)
      this.lanes.set(id, lane)
    }
    return lane
  }
}
