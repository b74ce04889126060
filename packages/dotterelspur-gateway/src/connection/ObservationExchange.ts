import { FleetAggregator, roundMs, type Clock, type EndpointId, type FleetObservation, type NodeId, type NodeObservation, type Random, type Teardown } from 'dotterelspur'
import type { EncodedFleetObservation, EncodedObservation } from './ObservationCodec.js'
import { ObservationCodec } from './ObservationCodec.js'

/**
 * A node replies to a round's sum after a random share of the round interval within these bounds: late enough that its observation is
 * recent when the next sum is computed, and spread out so that not all nodes reply at the same time.
 */
const REPLY_DELAY_SHARE = { min: 0.5, max: 0.9 } as const

/** The node whose observations are exchanged. */
export interface ObservationSource {
  /** Returns this node's current observation; the node remembers which of its own requests it has reported. */
  observe (): NodeObservation
  onFleetObservation (fleet: FleetObservation): void
}

/**
 * Exchanges the nodes' observations of the fleet in rounds: each node sends its observation to the coordinator, which broadcasts the
 * sum to all nodes. A node sends its observation only in reply to a sum, so that nodes stop sending when there is no coordinator.
 */
export class ObservationExchange {
  private readonly ledger = new FleetAggregator()
  private readonly codec = new ObservationCodec()
  private cancelRound: Teardown = () => {}
  private cancelReply: Teardown = () => {}

  constructor (private readonly clock: Clock, private readonly random: Random, private readonly source: ObservationSource) {}

  /** Broadcasts the sum once per round while this node is the coordinator. */
  startRounds (nodeCount: () => number, isCoordinator: () => boolean, broadcast: (encoded: EncodedFleetObservation) => void): void {
    const intervalMs = roundMs(nodeCount())
    this.cancelRound = this.clock.registerTimer(intervalMs, () => {
      this.startRounds(nodeCount, isCoordinator, broadcast)
      if (!isCoordinator()) return
      const fleet = this.ledger.aggregate(this.source.observe(), intervalMs, this.clock.nowMs())
      broadcast(this.codec.encodeFleet(fleet))
      this.source.onFleetObservation(fleet)
    })
  }

  /**
   * Handles the coordinator's sum; `reply` sends this node's own observation back to it. An outdated sum is not used, as a node without a
   * sum relies on what it sees itself.
   */
  receiveFleet (encoded: EncodedFleetObservation, isOutdated: boolean, reply: (coded: EncodedObservation) => void): void {
    if (!isOutdated) this.source.onFleetObservation(this.codec.decodeFleet(encoded))
    const delayMs = (REPLY_DELAY_SHARE.min + (REPLY_DELAY_SHARE.max - REPLY_DELAY_SHARE.min) * this.random.next()) * encoded.intervalMs
    this.cancelReply()
    this.cancelReply = this.clock.registerTimer(delayMs, () => { reply(this.codec.encode(this.source.observe())) })
  }

  receiveNode (node: NodeId, encoded: EncodedObservation): void {
    this.ledger.note(node, this.codec.decode(encoded), this.clock.nowMs())
  }

  forgetNode (node: NodeId): void {
    this.ledger.forget(node)
  }

  /** Number of nodes whose last observation has requests in flight at an endpoint. */
  sendersTo (endpoint: EndpointId): number {
    return this.ledger.senderCount(endpoint)
  }

  setEndpoints (endpoints: ReadonlySet<EndpointId>): void {
    this.codec.setEndpoints(endpoints)
  }

  close (): void {
    this.cancelRound()
    this.cancelReply()
  }
}
