import { FleetAggregator, roundMs, type Clock, type EndpointId, type FleetObservation, type NodeId, type NodeObservation, type Random, type Teardown } from 'dotterelspur'
import type { CodedFleetObservation, CodedObservation } from './ObservationCodec.js'
import { ObservationCodec } from './ObservationCodec.js'

/** Part of the time until the next word after which a node tells its own part: fresh for it, and not all at once. */
const TELLS_AFTER = { least: 0.5, most: 0.9 } as const

/** What the exchange asks and tells of this node. */
export interface ObservationSource {
  /** What this node sees now; it remembers what it told of its own requests. */
  observe (): NodeObservation
  observed (fleet: FleetObservation): void
}

/**
 * Exchanges what nodes see of the fleet: each tells the node that coordinates, and that one tells all of them the same
 * sum. Telling one's own is the answer to the sum, so that it stops when nobody adds up any more.
 */
export class ObservationExchange {
  private readonly ledger = new FleetAggregator()
  private readonly codec = new ObservationCodec()
  private cancelRound: Teardown = () => {}
  private cancelAnswer: Teardown = () => {}

  constructor (private readonly clock: Clock, private readonly random: Random, private readonly source: ObservationSource) {}

  /** Tells all nodes again and again while this one coordinates. */
  run (nodeCount: () => number, coordinates: () => boolean, tellAll: (coded: CodedFleetObservation) => void): void {
    const intervalMs = roundMs(nodeCount())
    this.cancelRound = this.clock.registerTimer(intervalMs, () => {
      this.run(nodeCount, coordinates, tellAll)
      if (!coordinates()) return
      const fleet = this.ledger.aggregate(this.source.observe(), intervalMs, this.clock.nowMs())
      tellAll(this.codec.encodeFleet(fleet))
      this.source.observed(fleet)
    })
  }

  /** The coordinating node's word; `answer` sends the own part back to it. */
  takeFleet (coded: CodedFleetObservation, answer: (coded: CodedObservation) => void): void {
    this.source.observed(this.codec.decodeFleet(coded))
    const delayMs = (TELLS_AFTER.least + (TELLS_AFTER.most - TELLS_AFTER.least) * this.random.next()) * coded.intervalMs
    this.cancelAnswer()
    this.cancelAnswer = this.clock.registerTimer(delayMs, () => { answer(this.codec.encode(this.source.observe())) })
  }

  takeNode (node: NodeId, coded: CodedObservation): void {
    this.ledger.note(node, this.codec.decode(coded), this.clock.nowMs())
  }

  forgetNode (node: NodeId): void {
    this.ledger.forget(node)
  }

  /** Nodes that had requests under way at an endpoint when they last told. */
  sendersTo (endpoint: EndpointId): number {
    return this.ledger.senderCount(endpoint)
  }

  noteEndpoints (endpoints: ReadonlySet<EndpointId>): void {
    this.codec.noteEndpoints(endpoints)
  }

  close (): void {
    this.cancelRound()
    this.cancelAnswer()
  }
}
