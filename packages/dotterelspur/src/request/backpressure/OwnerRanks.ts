import type { EndpointId, NodeId } from '../../process/ids.js'
import { rendezvousOrder } from '../../process/rendezvous.js'
import { TokenBucket } from '../admission/TokenBucket.js'

/**
 * A node's rank among the possible owners of each endpoint's rate, computed by rendezvous hashing from one list of nodes:
 * nodes with the same list agree on the owners without communication.
 */
export class OwnerRanks {
  private readonly nodes: readonly NodeId[]
  private readonly ranks = new Map<EndpointId, number>()

  /** @param nodes the nodes that send requests; `node` is added where it is missing. */
  constructor (private readonly node: NodeId, nodes: readonly NodeId[]) {
    this.nodes = nodes.includes(node) ? nodes : [...nodes, node]
  }

  get nodeCount (): number {
    return this.nodes.length
  }

  /** 0 is the first owner. */
  rankOf (endpoint: EndpointId): number {
    let rank = this.ranks.get(endpoint)
    if (rank === undefined) {
      rank = rendezvousOrder(endpoint, this.nodes).indexOf(this.node)
      this.ranks.set(endpoint, rank)
    }
    return rank
  }

  delete (endpoint: EndpointId): void {
    this.ranks.delete(endpoint)
  }
}

/** One owner's part of an endpoint's rate. */
export interface OwnerShare {
  /** Requests a second of all owners together. */
  readonly perSecond: number
  /** Number of equal shares. */
  readonly owners: number
  /** This node's rank, by which the first tokens of the owners are staggered. */
  readonly rank: number
}

/** This node's tokens for endpoints of whose rates it owns a share. */
export class OwnerAllowances {
  private readonly buckets = new Map<EndpointId, TokenBucket>()

  /** @param burst tokens that an owner may accumulate. */
  constructor (private readonly burst: number) {}

  /** The tokens for an endpoint with the current share; they accumulate from the first call, or from `fromMs` before it. */
  updated (endpoint: EndpointId, { perSecond, owners, rank }: OwnerShare, nowMs: number, fromMs = nowMs): TokenBucket {
    let bucket = this.buckets.get(endpoint)
    if (bucket === undefined) {
      bucket = new TokenBucket(perSecond / owners, this.burst, fromMs)
      bucket.take(this.burst - rank % owners / owners)
      this.buckets.set(endpoint, bucket)
    }
    bucket.configure(perSecond / owners, this.burst, nowMs)
    return bucket
  }

  take (endpoint: EndpointId): void {
    this.buckets.get(endpoint)?.take(1)
  }

  delete (endpoint: EndpointId): void {
    this.buckets.delete(endpoint)
  }
}
