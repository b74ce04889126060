import {
  AdmissionController, AdmissionEffectKind, failed, mergeTeardowns, success,
  type AdmissionEffect, type AdmissionRequest, type AdmissionResult, type Clock, type MeshApi, type Outcome, type RequestId, type Result, type RouteTarget, type Teardown, type TeamLimits,
  NodeState, TargetKind
} from 'dotterelspur'
import type { TeamTable } from './TeamTable.js'

type Settle = (result: Result<void, Outcome>) => void

/** Runs the admission controller: settles waiting requests by its effects, and calls its tick by a timer. */
export class AdmissionGate {
  private readonly controller = new AdmissionController()
  private readonly waiting = new Map<RequestId, Settle>()
  private cancelTick: Teardown = () => {}
  /** Nodes among which the teams' limits were last divided. */
  private sharingNodes = 0

  constructor (private readonly clock: Clock, private readonly mesh: MeshApi, private readonly teams: TeamTable) {
    this.configureTeams()
  }

  start (): Teardown {
    const registrations = [
      this.teams.registerListener(() => { this.configureTeams() }),
      // Settings are in force before a starting node knows the others, and nodes join and leave without a change of settings.
      this.mesh.registerMembersListener(() => { if (this.countAliveNodes() !== this.sharingNodes) this.configureTeams() })
    ]
    this.configureTeams()
    return mergeTeardowns(...registrations, () => { this.cancelTick() })
  }

  /** Resolves when the request may be dispatched, or with the outcome with which it was refused. */
  enter (request: AdmissionRequest): Promise<Result<void, Outcome>> {
    return new Promise((resolve) => {
      this.waiting.set(request.id, resolve)
      this.applyEffects(this.controller.offer(request, this.clock.nowMs()))
    })
  }

  /** Must be called once for each admitted request. */
  leave (id: RequestId, result: AdmissionResult): void {
    this.applyEffects(this.controller.finish(id, result, this.clock.nowMs()))
  }

  cancel (id: RequestId): void {
    if (this.waiting.has(id)) this.applyEffects(this.controller.cancel(id, this.clock.nowMs()))
  }

  /** Sets the capacity of each lane to the sum of its targets' capacities. */
  configureLanes (targets: readonly RouteTarget[]): void {
    const capacities = new Map<string, number>()
    for (const target of targets) {
      const lane = laneOf(target)
      capacities.set(lane, (capacities.get(lane) ?? 0) + target.load.capacity)
    }
    const nowMs = this.clock.nowMs()
    for (const [lane, capacity] of capacities) this.applyEffects(this.controller.configureLane(lane, capacity, this.countAliveNodes(), nowMs))
  }

  private configureTeams (): void {
    const limits = new Map<string, TeamLimits>(this.teams.all().map((settings) => [settings.team, settings.limits]))
    this.sharingNodes = this.countAliveNodes()
    this.controller.configureTeams(limits, this.sharingNodes, this.clock.nowMs())
  }

  private countAliveNodes (): number {
    return Math.max(1, this.mesh.members().filter((member) => member.state === NodeState.Alive || member.state === NodeState.Suspect).length)
  }

  private applyEffects (effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      const settle = this.waiting.get(effect.id)
      this.waiting.delete(effect.id)
      settle?.(effect.kind === AdmissionEffectKind.Dispatch ? success(undefined) : failed(effect.outcome))
    }
    this.schedule()
  }

  private schedule (): void {
    this.cancelTick()
    this.cancelTick = () => {}
    const atMs = this.controller.nextTickAtMs()
    if (atMs === null) return
    this.cancelTick = this.clock.registerTimer(Math.max(1, atMs - this.clock.nowMs()), () => { this.applyEffects(this.controller.tick(this.clock.nowMs())) })
  }
}

export function modelLane (scopedModel: string): string {
  return `model/${scopedModel}`
}

export function serviceLane (service: string): string {
  return `service/${service}`
}

function laneOf (target: RouteTarget): string {
  return target.kind === TargetKind.Group ? modelLane(target.model) : serviceLane(target.service)
}
