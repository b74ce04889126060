import {
  ClassAdmission, DeadlineHistory, DemandMeter, EMPTY_MEMORY, EndpointBackpressure, EndpointFailures, EndpointSpeeds, FirstEventDelays, loadPool, readFleetMemory, ReturnSchedule, StatedCapacity, updateFleetMemory, StreamPauses, TargetLoad,
  type Clock, type ColdBounds, type EndpointId, type EndpointRecord, type FleetMemory, type FleetObservation, type NodeId, type NodeObservation, type TargetPool
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/**
 * A node's view of the fleet's load, speeds, backpressure, pauses, demand, callers' deadlines and scheduled retries, built from its own
 * observations and the broadcast observations of all nodes.
 */
export class FleetView {
  readonly load = new TargetLoad()
  readonly capacity = new StatedCapacity()
  readonly speeds = new EndpointSpeeds()
  readonly failures = new EndpointFailures()
  readonly demand = new DemandMeter()
  readonly classes = new ClassAdmission()
  readonly pauses = new StreamPauses()
  readonly firstEvents = new FirstEventDelays()
  readonly returns = new ReturnSchedule()
  readonly deadlines: DeadlineHistory
  readonly backpressure: EndpointBackpressure
  private fleetMemory = EMPTY_MEMORY
  private pools: readonly TargetPool[] = []
  private wasFresh = false

  constructor (private readonly clock: Clock, private readonly log: DecisionLog, node: NodeId, coldBounds?: ColdBounds) {
    this.backpressure = new EndpointBackpressure(node, coldBounds)
    this.deadlines = new DeadlineHistory(clock.nowMs())
  }

  /** State that the fleet has learned, kept for nodes that start later. */
  get memory (): FleetMemory {
    return this.fleetMemory
  }

  /** Merges the state stored with the lease; observations that this node has received itself are newer and take precedence. */
  mergeMemory (written: unknown): void {
    const memory = readFleetMemory(written)
    if (memory !== null) this.applyMemory(updateFleetMemory(memory, this.fleetMemory))
  }

  /** This node's observations, for broadcast to the other nodes. */
  observe (): NodeObservation {
    const nowMs = this.clock.nowMs()
    const classes = this.classes.localObservation(nowMs)
    const returns = this.returns.localObservation(nowMs)
    const failures = this.failures.localObservation(nowMs)
    return {
      ...(classes === undefined ? {} : { classes }),
      inFlight: this.load.reportInFlight(),
      flows: this.load.localFlows(nowMs),
      demand: this.demand.localObservation(nowMs),
      speeds: this.speeds.localObservation(nowMs),
      pauses: this.pauses.localObservation(nowMs),
      firstEvents: this.firstEvents.localObservation(),
      deadlines: this.deadlines.localObservation(nowMs),
      limits: this.backpressure.rateLimits.localObservation(nowMs),
      rests: this.backpressure.backoffs.localObservation(nowMs),
      leaving: this.backpressure.localLeaving(),
      ...(returns === undefined ? {} : { returns }),
      ...(failures === undefined ? {} : { failures }),
      ...this.observeCold(nowMs)
    }
  }

  /** Only of endpoints that take requests: when a failure domain starts, most of its endpoints are members of groups. */
  private observeCold (nowMs: number): Pick<NodeObservation, 'cold'> {
    const times = Object.entries(this.backpressure.cold.localObservation(nowMs))
    const ofTargets = times.filter(([endpoint]) => this.pools.some(({ targets }) => targets.has(endpoint)))
    return ofTargets.length === 0 ? {} : { cold: Object.fromEntries(ofTargets) }
  }

  /** Applies the aggregated observations of all nodes. */
  applyFleetObservation (fleet: FleetObservation): void {
    const nowMs = this.clock.nowMs()
    this.load.applyFleetObservation(fleet, nowMs)
    this.speeds.applyFleetObservation(fleet.speeds)
    this.failures.applyFleetObservation(fleet.failures, nowMs)
    this.demand.applyFleetObservation(fleet.demand)
    this.classes.applyFleetObservation(fleet.classes)
    this.pauses.applyFleetObservation(fleet.pauses)
    this.backpressure.rateLimits.applyFleetObservation(fleet.limits, nowMs)
    this.backpressure.backoffs.applyFleetObservation(fleet.rests, nowMs)
    this.returns.applyFleetObservation(fleet.returns, nowMs)
    this.backpressure.cold.applyFleetObservation(fleet.cold ?? {}, fleet.nodes, nowMs)
    this.applyMemory(updateFleetMemory(this.fleetMemory, fleet))
    this.updatePools(this.pools)
    this.checkFreshness()
  }

  private applyMemory (memory: FleetMemory): void {
    this.fleetMemory = memory
    this.firstEvents.applyFleetObservation(memory.firstEvents)
    this.deadlines.applyFleetObservation(memory.deadlines)
  }

  /** Recomputes the load forecast for the current pools. */
  updatePools (pools: readonly TargetPool[]): void {
    this.pools = pools
    const nowMs = this.clock.nowMs()
    this.capacity.updatePools(pools)
    this.load.updateForecasts(pools.map((pool) => loadPool(pool, this.speeds, this.backpressure, nowMs, this)), nowMs)
  }

  /** Evicts endpoints that are no longer listed. */
  noteEndpoints (records: ReadonlyMap<EndpointId, EndpointRecord>): void {
    const endpoints = new Set(records.keys())
    this.failures.noteEndpoints(records)
    this.load.retain(endpoints)
    this.capacity.retain(endpoints)
    this.speeds.retain(endpoints)
    this.backpressure.retain(endpoints, this.clock.nowMs())
  }

  /** Called before the view is used: without fresh fleet observations a node falls back to its own. */
  checkFreshness (): void {
    const nowMs = this.clock.nowMs()
    const isFresh = this.load.hasFreshObservation(nowMs)
    if (isFresh === this.wasFresh) return
    this.wasFresh = isFresh
    if (!isFresh) {
      this.speeds.applyFleetObservation(null)
      this.demand.applyFleetObservation(null)
      this.classes.applyFleetObservation(undefined)
      this.pauses.applyFleetObservation({})
    }
    this.log.write(isFresh ? LogKind.DependencyRegained : LogKind.DependencyLost, { dependency: 'fleet observations', ageMs: this.load.observationAgeMs(nowMs) })
  }
}
