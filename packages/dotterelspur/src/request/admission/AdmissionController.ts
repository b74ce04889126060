import { PriorityClass } from '../../connection/EngineApi.js'
import type { RequestId, TeamId } from '../../process/ids.js'
import { invariant } from '../../process/invariant.js'
import type { Random } from '../../process/Random.js'
import type { TeamLimits } from '../../version/TeamSettings.js'
import { OutcomeReason } from '../Outcome.js'
import { AdmissionLane, PRIORITY_CLASSES } from './AdmissionLane.js'
import type { AllowanceRequest, AllowanceGrant } from './AllowanceHolder.js'
import { DEFAULT_ADMISSION_OPTIONS, type AdmissionOptions } from './AdmissionOptions.js'
import { AdmissionEffectKind, type AdmissionEffect, type AdmissionRequest, type AdmissionResult, type LaneId } from './AdmissionRequest.js'
import type { QueuedRequest } from './ClassQueue.js'
import { createShedEffect } from './outcomes.js'
import { RetryAfterPacer } from './RetryAfterPacer.js'
import { LimitSharing, TeamLimiter } from './TeamLimiter.js'

interface RunningRequest {
  readonly request: AdmissionRequest
  readonly dispatchedAtMs: number
  hasFirstToken: boolean
}

/** Numbers of queued and running requests of one lane, shown to operators. */
export interface LaneLoad {
  readonly lane: LaneId
  readonly running: number
  readonly limit: number
  readonly queued: Readonly<Record<PriorityClass, number>>
}

/**
 * Decides when a request is dispatched and which requests are shed. One instance per process.
 *
 * Methods return effects that the caller must carry out immediately. A request enters by `offer`; that call or a later
 * one either dispatches or sheds it, exactly once. State is updated in place, see Router.
 */
export class AdmissionController {
  private readonly lanes = new Map<LaneId, AdmissionLane>()
  private readonly queued = new Map<RequestId, QueuedRequest>()
  private readonly running = new Map<RequestId, RunningRequest>()
  private readonly teams: TeamLimiter
  private readonly teamRetryPacers = new Map<TeamId, RetryAfterPacer>()
  private readonly mayRun = (team: TeamId): boolean => this.teams.mayRun(team)

  constructor (private readonly options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS, sharing: LimitSharing = LimitSharing.Even) {
    this.teams = new TeamLimiter(sharing)
  }

  /** Replaces the limits of all teams, which `nodes` nodes share. A team without an entry has no limit. */
  configureTeams (limits: ReadonlyMap<TeamId, TeamLimits>, nodes: number, nowMs: number): void {
    this.teams.configure(limits, nodes, nowMs)
    for (const team of this.teamRetryPacers.keys()) {
      if (!limits.has(team)) this.teamRetryPacers.delete(team)
    }
  }

  /** With LimitSharing.Holders, call it after each offer: returns the request to send to a holder; see TeamLimiter. */
  createAllowanceRequest (team: TeamId, nowMs: number, random: Random): AllowanceRequest | null {
    return this.teams.createAllowanceRequest(team, nowMs, random)
  }

  /** Applies a holder's response to an allowance request. */
  applyGrant (grant: AllowanceGrant): void {
    this.teams.applyGrant(grant)
  }

  /** Sets the concurrent capacity of the lane's endpoints and the number of nodes that share it. */
  configureLane (lane: LaneId, capacity: number, nodes: number, nowMs: number): AdmissionEffect[] {
    this.lane(lane).limit.configure(capacity, nodes)
    return this.serve(lane, nowMs)
  }

  /**
   * Sets the share of this node's response buffers in use, 0 to 1. Above one half, the limits of all lanes are scaled
   * down linearly, so that engines don't produce more than slow callers read.
   */
  setBufferUsage (share: number, nowMs: number): AdmissionEffect[] {
    const limitFactor = Math.min(1, Math.max(0, (1 - share) * 2))
    for (const lane of this.lanes.values()) lane.limitFactor = limitFactor
    return this.tick(nowMs)
  }

  offer (request: AdmissionRequest, nowMs: number): AdmissionEffect[] {
    invariant(!this.queued.has(request.id) && !this.running.has(request.id), `request ${request.id} was offered twice`)
    const refusal = this.refuse(request, nowMs)
    if (refusal !== null) return [refusal]
    const expiresAtMs = Math.min(request.deadlineAtMs, nowMs + this.options.maxQueueMs[request.priority])
    const waiting: QueuedRequest = { request, queuedAtMs: nowMs, expiresAtMs }
    this.lane(request.lane).queues[request.priority].push(waiting)
    this.queued.set(request.id, waiting)
    this.teams.adjustQueued(request.team, 1)
    return this.serve(request.lane, nowMs)
  }

  /**
   * Call it when the first token of a dispatched request arrives, so that the limit adapts before `finish`. Later calls
   * are ignored.
   */
  recordFirstToken (id: RequestId, nowMs: number): void {
    const running = this.running.get(id)
    if (running === undefined || running.hasFirstToken) return
    running.hasFirstToken = true
    const lane = this.lane(running.request.lane)
    lane.limit.recordFirstToken(nowMs - running.dispatchedAtMs, lane.runningCount, nowMs)
  }

  /** Call it exactly once for each dispatched request, when its last attempt has ended. */
  finish (id: RequestId, result: AdmissionResult, nowMs: number): AdmissionEffect[] {
    const running = this.running.get(id)
    invariant(running !== undefined, `finish of request ${id}, which is not running`)
    const { request, dispatchedAtMs, hasFirstToken } = running
    const lane = this.lane(request.lane)
    if (result.overloaded) lane.limit.recordCongestion(nowMs)
    else if (result.firstTokenMs !== null && !hasFirstToken) lane.limit.recordFirstToken(result.firstTokenMs, lane.runningCount, nowMs)
    this.running.delete(id)
    lane.recordFinished(request.priority, nowMs - dispatchedAtMs)
    const wasAtLimit = !this.teams.mayRun(request.team)
    this.teams.adjustRunning(request.team, -1)
    this.teams.settle(request.team, request.tokens, result.tokens)
    return wasAtLimit ? this.tick(nowMs) : this.serve(request.lane, nowMs)
  }

  /**
   * Call it when the caller has disconnected. Sheds a queued request as cancelled; a running one still ends by
   * `finish`.
   */
  cancel (id: RequestId, nowMs: number): AdmissionEffect[] {
    const waiting = this.queued.get(id)
    if (waiting === undefined) return []
    const { lane } = waiting.request
    return [this.shedQueued(waiting, OutcomeReason.Cancelled, null), ...this.serve(lane, nowMs)]
  }

  /** Sheds requests that have expired in a queue and dispatches those that have capacity. Call it at `nextTickAtMs`. */
  tick (nowMs: number): AdmissionEffect[] {
    return [...this.lanes.keys()].flatMap((lane) => this.serve(lane, nowMs))
  }

  /** When the next queued request expires; null when no request is queued. */
  nextTickAtMs (): number | null {
    if (this.queued.size === 0) return null
    let earliest = Infinity
    for (const lane of this.lanes.values()) {
      for (const priority of PRIORITY_CLASSES) earliest = Math.min(earliest, lane.queues[priority].nextExpiryAtMs())
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
   * Sheds on arrival a request that is not expected to be dispatched in time, instead of when it expires: the caller
   * can use another node or retry, and the queue holds only requests that can still be served.
   */
  private refuse (request: AdmissionRequest, nowMs: number): AdmissionEffect | null {
    const { id, team, priority, tokens, deadlineAtMs } = request
    const lane = this.lane(request.lane)
    if (deadlineAtMs <= nowMs) return createShedEffect(id, OutcomeReason.DeadlineExceeded, lane.nextRetryAfterMs(priority, nowMs))
    const waitMs = lane.expectedWaitMs(priority)
    const maxWaitMs = Math.min(deadlineAtMs - nowMs, this.options.maxQueueMs[priority])
    const isFull = lane.queues[priority].length >= this.options.queueLimit[priority]
    if (isFull || (waitMs !== null && waitMs >= maxWaitMs)) return createShedEffect(id, OutcomeReason.Overloaded, lane.nextRetryAfterMs(priority, nowMs))
    if (!this.teams.mayQueue(team)) return createShedEffect(id, OutcomeReason.RateLimited, lane.nextRetryAfterMs(priority, nowMs))
    const teamWaitMs = this.teams.charge(team, tokens, nowMs)
    return teamWaitMs === null ? null : createShedEffect(id, OutcomeReason.RateLimited, this.nextTeamRetryAfterMs(team, teamWaitMs, nowMs))
  }

  private nextTeamRetryAfterMs (team: TeamId, waitMs: number, nowMs: number): number {
    let pacer = this.teamRetryPacers.get(team)
    if (pacer === undefined) {
      pacer = new RetryAfterPacer()
      this.teamRetryPacers.set(team, pacer)
    }
    return pacer.nextDelayMs(waitMs, waitMs, nowMs)
  }

  private serve (laneId: LaneId, nowMs: number): AdmissionEffect[] {
    const lane = this.lane(laneId)
    const effects: AdmissionEffect[] = []
    for (const priority of PRIORITY_CLASSES) {
      for (const waiting of lane.queues[priority].takeExpired(nowMs)) {
        effects.push(this.shedQueued(waiting, OutcomeReason.DeadlineExceeded, lane.nextRetryAfterMs(priority, nowMs)))
      }
    }
    for (let waiting = lane.next(this.mayRun); waiting !== undefined; waiting = lane.next(this.mayRun)) {
      effects.push(this.dispatch(waiting, nowMs))
    }
    return effects
  }

  private dispatch ({ request, queuedAtMs }: QueuedRequest, nowMs: number): AdmissionEffect {
    this.queued.delete(request.id)
    this.running.set(request.id, { request, dispatchedAtMs: nowMs, hasFirstToken: false })
    this.teams.adjustQueued(request.team, -1)
    this.teams.adjustRunning(request.team, 1)
    return { kind: AdmissionEffectKind.Dispatch, id: request.id, queuedMs: nowMs - queuedAtMs }
  }

  /**
   * Removes the request from its queue and refunds what the team was charged on arrival, since the request did not run.
   */
  private shedQueued (waiting: QueuedRequest, reason: OutcomeReason, retryAfterMs: number | null): AdmissionEffect {
    const { id, lane, priority, team, tokens } = waiting.request
    this.lane(lane).queues[priority].remove(waiting)
    this.queued.delete(id)
    this.teams.adjustQueued(team, -1)
    this.teams.refund(team, tokens)
    return createShedEffect(id, reason, retryAfterMs)
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
