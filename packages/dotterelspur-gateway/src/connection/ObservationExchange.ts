import { FleetLedger, roundMs, type Clock, type EndpointId, type FleetObservation, type NodeId, type NodeObservation, type Random, type Teardown } from 'dotterelspur'
import type { EncodedFleetObservation, EncodedObservation } from './ObservationCodec.js'
import { ObservationCodec } from './ObservationCodec.js'

/** Part of the time until the next word after which a node tells its own part: fresh for it, and not all at once. */
const REPLY_DELAY_SHARE = { least: 0.5, most: 0.9 } as const

/** What the exchange asks and tells of this node. */
export interface ObservationSource {
  /** What this node sees now; it remembers what it told of its own requests. */
  observe (): NodeObservation
  onFleetObservation (fleet: FleetObservation): void
}

/**
 * Exchanges what nodes see of the fleet: each tells the node that coordinates, and that one tells all of them the same
 * sum. Telling one's own is the answer to the sum, so that it stops when nobody adds up any more.
 */
export class ObservationExchange {
  private readonly ledger = new FleetLedger()
  private readonly codec = new ObservationCodec()
  private cancelRound: Teardown = () => {}
  private cancelReply: Teardown = () => {}

  constructor (private readonly clock: Clock, private readonly random: Random, private readonly source: ObservationSource) {}

  /** Tells all nodes again and again while this one coordinates. */
  startRounds (nodeCount: () => number, isCoordinator: () => boolean, broadcast: (coded: EncodedFleetObservation) => void): void {
    const intervalMs = roundMs(nodeCount())
    this.cancelRound = this.clock.registerTimer(intervalMs, () => {
      this.startRounds(nodeCount, isCoordinator, broadcast)
      if (!isCoordinator()) return
      const fleet = this.ledger.sum(this.source.observe(), intervalMs, this.clock.nowMs())
      broadcast(this.codec.encodeFleet(fleet))
      this.source.onFleetObservation(fleet)
    })
  }

  /** The coordinating node's word; `answer` sends the own part back to it. */
  receiveFleet (coded: EncodedFleetObservation, reply: (coded: EncodedObservation) => void): void {
    this.source.onFleetObservation(this.codec.decodeFleet(coded))
    const delayMs = (REPLY_DELAY_SHARE.least + (REPLY_DELAY_SHARE.most - REPLY_DELAY_SHARE.least) * this.random.next()) * coded.intervalMs
    this.cancelReply()
    this.cancelReply = this.clock.registerTimer(delayMs, () => { reply(this.codec.encode(this.source.observe())) })
  }

  receiveNode (node: NodeId, coded: EncodedObservation): void {
    this.ledger.note(node, this.codec.decode(coded), this.clock.nowMs())
  }

  forgetNode (node: NodeId): void {
    this.ledger.forget(node)
  }

  /** Nodes that had requests under way at an endpoint when they last told. */
  sendersTo (endpoint: EndpointId): number {
    return this.ledger.sendersTo(endpoint)
  }

  setEndpoints (endpoints: ReadonlySet<EndpointId>): void {
    this.codec.setEndpoints(endpoints)
  }

  close (): void {
    this.cancelRound()
    this.cancelReply()
  }
}
