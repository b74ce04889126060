import {
  DeadlineHistory, DemandMeter, EMPTY_MEMORY, EndpointNeeds, EndpointSpeeds, FirstEventDelays, loadPool, readFleetMemory, remember, StreamPauses, TargetLoad,
  type Clock, type EndpointId, type FleetMemory, type FleetObservation, type NodeId, type NodeObservation, type TargetPool
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** What a node knows of the fleet's load, speeds, needs, pauses, demand and callers' deadlines: what it sees itself, and what all nodes are told. */
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

  /** What the fleet has learned, for nodes that start later. */
  get memory (): FleetMemory {
    return this.fleetMemory
  }

  /** What the fleet had learned by the lease of its deciding node; what this node was told itself is newer. */
  mergeMemory (written: unknown): void {
    const memory = readFleetMemory(written)
    if (memory !== null) this.applyMemory(remember(memory, this.fleetMemory))
  }

  /** What this node sees, to be told to the others. */
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

  /** Takes in what all nodes together see. */
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

  /** Forecasts the load of the pools as they are now. */
  updatePools (pools: readonly TargetPool[]): void {
    this.pools = pools
    const nowMs = this.clock.nowMs()
    this.load.arrange(pools.map((pool) => loadPool(pool, this.speeds, this.backpressure, nowMs)), nowMs)
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    this.load.retain(endpoints)
    this.speeds.retain(endpoints)
    this.backpressure.retain(endpoints, this.clock.nowMs())
  }

  /** Called before it is relied on: without fresh word of the fleet a node goes by what it sees itself. */
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
