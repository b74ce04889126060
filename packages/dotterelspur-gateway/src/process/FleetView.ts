import {
  DeadlineHistory, DemandMeter, EMPTY_MEMORY, EndpointNeeds, EndpointSpeeds, FirstEventDelays, loadPool, readFleetMemory, remember, StreamPauses, TargetLoad,
  type Clock, type EndpointId, type FleetMemory, type FleetObservation, type NodeId, type NodeObservation, type TargetPool
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/**
 * A node's view of the fleet's load, speeds, backpressure, pauses, demand and callers' deadlines, built from its own
 * observations and the broadcast observations of all nodes.
 */
export class FleetView {
  readonly load = new TargetLoad()
  readonly speeds = new EndpointSpeeds()
  readonly demand = new DemandMeter()
  readonly pauses = new StreamPauses()
  readonly firstEvents = new FirstEventDelays()
  readonly deadlines: DeadlineHistory
  readonly backpressure: EndpointNeeds
  private fleetMemory = EMPTY_MEMORY
  private pools: readonly TargetPool[] = []
  private wasFresh = false

  constructor (private readonly clock: Clock, private readonly log: DecisionLog, node: NodeId) {
    this.backpressure = new EndpointNeeds(node)
    this.deadlines = new DeadlineHistory(clock.nowMs())
  }

  /** State that the fleet has learned, kept for nodes that start later. */
  get memory (): FleetMemory {
    return this.fleetMemory
  }

  /** Merges the state stored with the lease; observations that this node has received itself are newer and take precedence. */
  mergeMemory (written: unknown): void {
    const memory = readFleetMemory(written)
    if (memory !== null) this.applyMemory(remember(memory, this.fleetMemory))
  }

  /** This node's observations, for broadcast to the other nodes. */
  observe (): NodeObservation {
    const nowMs = this.clock.nowMs()
    return {
      inFlight: this.load.tellOwn(),
      flows: this.load.ownFlows(nowMs),
      demand: this.demand.observed(nowMs),
      speeds: this.speeds.observed(nowMs),
      pauses: this.pauses.observed(nowMs),
      firstEvents: this.firstEvents.observed(),
      deadlines: this.deadlines.observed(nowMs),
      limits: this.backpressure.limits.observed(nowMs),
      rests: this.backpressure.rests.observed(nowMs),
      leaving: this.backpressure.leavingObserved()
    }
  }

  /** Applies the aggregated observations of all nodes. */
  applyFleetObservation (fleet: FleetObservation): void {
    const nowMs = this.clock.nowMs()
    this.load.noteTold(fleet, nowMs)
    this.speeds.noteTold(fleet.speeds)
    this.demand.noteTold(fleet.demand)
    this.pauses.noteTold(fleet.pauses)
    this.backpressure.limits.noteTold(fleet.limits, nowMs)
    this.backpressure.rests.noteTold(fleet.rests, nowMs)
    this.applyMemory(remember(this.fleetMemory, fleet))
    this.updatePools(this.pools)
    this.checkFreshness()
  }

  private applyMemory (memory: FleetMemory): void {
    this.fleetMemory = memory
    this.firstEvents.noteTold(memory.firstEvents)
    this.deadlines.noteTold(memory.deadlines)
  }

  /** Recomputes the load forecast for the current pools. */
  updatePools (pools: readonly TargetPool[]): void {
    this.pools = pools
    const nowMs = this.clock.nowMs()
    this.load.arrange(pools.map((pool) => loadPool(pool, this.speeds, this.backpressure, nowMs)), nowMs)
  }

  /** Evicts endpoints that are no longer listed. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    this.load.retain(endpoints)
    this.speeds.retain(endpoints)
    this.backpressure.retain(endpoints, this.clock.nowMs())
  }

  /** Called before the view is used: without fresh fleet observations a node falls back to its own. */
  checkFreshness (): void {
    const nowMs = this.clock.nowMs()
    const isTold = this.load.isTold(nowMs)
    if (isTold === this.wasFresh) return
    this.wasFresh = isTold
    if (!isTold) {
      this.speeds.noteTold(null)
      this.demand.noteTold(null)
      this.pauses.noteTold({})
    }
    this.log.write(isTold ? LogKind.DependencyRegained : LogKind.DependencyLost, { dependency: 'fleet observations', ageMs: this.load.toldAgeMs(nowMs) })
  }
}
