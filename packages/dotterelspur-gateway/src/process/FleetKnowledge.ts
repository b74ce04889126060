import {
  DeadlineHistory, DemandMeter, EMPTY_MEMORY, EndpointBackpressure, EndpointSpeeds, FirstEventDelays, loadPool, readFleetMemory, updateFleetMemory, StreamPauses, TargetLoad,
  type Clock, type EndpointId, type FleetMemory, type FleetObservation, type NodeId, type NodeObservation, type TargetPool
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** What a node knows of the fleet's load, speeds, needs, pauses, demand and callers' deadlines: what it sees itself, and what all nodes are told. */
export class FleetKnowledge {
  readonly load = new TargetLoad()
  readonly speeds = new EndpointSpeeds()
  readonly demand = new DemandMeter()
  readonly pauses = new StreamPauses()
  readonly firstEvents = new FirstEventDelays()
  readonly deadlines: DeadlineHistory
  readonly needs: EndpointBackpressure
  private remembered = EMPTY_MEMORY
  private pools: readonly TargetPool[] = []
  private wasTold = false

  constructor (private readonly clock: Clock, private readonly log: DecisionLog, node: NodeId) {
    this.needs = new EndpointBackpressure(node)
    this.deadlines = new DeadlineHistory(clock.nowMs())
  }

  /** What the fleet has learned, for nodes that start later. */
  get memory (): FleetMemory {
    return this.remembered
  }

  /** What the fleet had learned by the lease of its deciding node; what this node was told itself is newer. */
  noteMemory (written: unknown): void {
    const memory = readFleetMemory(written)
    if (memory !== null) this.keep(updateFleetMemory(memory, this.remembered))
  }

  /** What this node sees, to be told to the others. */
  observe (): NodeObservation {
    const nowMs = this.clock.nowMs()
    return {
      inFlight: this.load.reportInFlight(),
      flows: this.load.localFlows(nowMs),
      demand: this.demand.localObservation(nowMs),
      speeds: this.speeds.localObservation(nowMs),
      pauses: this.pauses.localObservation(nowMs),
      firstEvents: this.firstEvents.localObservation(),
      deadlines: this.deadlines.localObservation(nowMs),
      limits: this.needs.rateLimits.localObservation(nowMs),
      rests: this.needs.backoffs.localObservation(nowMs),
      leaving: this.needs.localLeaving()
    }
  }

  /** Takes in what all nodes together see. */
  noteFleet (fleet: FleetObservation): void {
    const nowMs = this.clock.nowMs()
    this.load.applyFleetObservation(fleet, nowMs)
    this.speeds.applyFleetObservation(fleet.speeds)
    this.demand.applyFleetObservation(fleet.demand)
    this.pauses.applyFleetObservation(fleet.pauses)
    this.needs.rateLimits.applyFleetObservation(fleet.limits, nowMs)
    this.needs.backoffs.applyFleetObservation(fleet.rests, nowMs)
    this.keep(updateFleetMemory(this.remembered, fleet))
    this.arrange(this.pools)
    this.check()
  }

  private keep (memory: FleetMemory): void {
    this.remembered = memory
    this.firstEvents.applyFleetObservation(memory.firstEvents)
    this.deadlines.applyFleetObservation(memory.deadlines)
  }

  /** Forecasts the load of the pools as they are now. */
  arrange (pools: readonly TargetPool[]): void {
    this.pools = pools
    const nowMs = this.clock.nowMs()
    this.load.updateForecasts(pools.map((pool) => loadPool(pool, this.speeds, this.needs, nowMs)), nowMs)
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    this.load.retain(endpoints)
    this.speeds.retain(endpoints)
    this.needs.retain(endpoints, this.clock.nowMs())
  }

  /** Called before it is relied on: without fresh word of the fleet a node goes by what it sees itself. */
  check (): void {
    const nowMs = this.clock.nowMs()
    const isTold = this.load.hasFreshObservation(nowMs)
    if (isTold === this.wasTold) return
    this.wasTold = isTold
    if (!isTold) {
      this.speeds.applyFleetObservation(null)
      this.demand.applyFleetObservation(null)
      this.pauses.applyFleetObservation({})
    }
    this.log.write(isTold ? LogKind.DependencyRegained : LogKind.DependencyLost, { dependency: 'fleet observations', ageMs: this.load.observationAgeMs(nowMs) })
  }
}
