import {
  DeadlineHistory, DemandMeter, EMPTY_MEMORY, EndpointNeeds, EndpointSpeeds, FirstEventDelays, loadPool, readFleetMemory, remember, StreamPauses, TargetLoad,
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
  readonly needs: EndpointNeeds
  private remembered = EMPTY_MEMORY
  private pools: readonly TargetPool[] = []
  private wasTold = false

  constructor (private readonly clock: Clock, private readonly log: DecisionLog, node: NodeId) {
    this.needs = new EndpointNeeds(node)
    this.deadlines = new DeadlineHistory(clock.nowMs())
  }

  /** What the fleet has learned, for nodes that start later. */
  get memory (): FleetMemory {
    return this.remembered
  }

  /** What the fleet had learned by the lease of its deciding node; what this node was told itself is newer. */
  noteMemory (written: unknown): void {
    const memory = readFleetMemory(written)
    if (memory !== null) this.keep(remember(memory, this.remembered))
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
      limits: this.needs.limits.observed(nowMs),
      rests: this.needs.rests.observed(nowMs),
      leaving: this.needs.leavingObserved()
    }
  }

  /** Takes in what all nodes together see. */
  noteFleet (fleet: FleetObservation): void {
    const nowMs = this.clock.nowMs()
    this.load.noteTold(fleet, nowMs)
    this.speeds.noteTold(fleet.speeds)
    this.demand.noteTold(fleet.demand)
    this.pauses.noteTold(fleet.pauses)
    this.needs.limits.noteTold(fleet.limits, nowMs)
    this.needs.rests.noteTold(fleet.rests, nowMs)
    this.keep(remember(this.remembered, fleet))
    this.arrange(this.pools)
    this.check()
  }

  private keep (memory: FleetMemory): void {
    this.remembered = memory
    this.firstEvents.noteTold(memory.firstEvents)
    this.deadlines.noteTold(memory.deadlines)
  }

  /** Forecasts the load of the pools as they are now. */
  arrange (pools: readonly TargetPool[]): void {
    this.pools = pools
    const nowMs = this.clock.nowMs()
    this.load.arrange(pools.map((pool) => loadPool(pool, this.speeds, this.needs, nowMs)), nowMs)
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
    const isTold = this.load.isTold(nowMs)
    if (isTold === this.wasTold) return
    this.wasTold = isTold
    if (!isTold) {
      this.speeds.noteTold(null)
      this.demand.noteTold(null)
      this.pauses.noteTold({})
    }
    this.log.write(isTold ? LogKind.DependencyRegained : LogKind.DependencyLost, { dependency: 'fleet observations', ageMs: this.load.toldAgeMs(nowMs) })
  }
}
