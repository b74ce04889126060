import type { ClassSample, WorkspaceCode } from './ClassDemand.js'

/**
 * Every class is served at least this often in relation to the pool as a whole. Callers accept a quarter; the rest is a
 * margin for the chance in the draws of a few dozen requests.
 */
const GUARANTEED_SHARE = 0.5
/**
 * Halvings of the interval in which a rank's level lies. The remainder may stand for 25,000 workspaces, each of which
 * adds the error of the level to the sum; after 40, that error is below a ten-millionth of the largest class.
 */
const LEVEL_STEPS = 40
/** Capacity below this fraction of the demand is a rounding error. */
const ROUNDING = 1e-9

/** Workspaces of one rank that have the same demand. */
interface ClassGroup {
  /** Null for the remainder of the rank. */
  readonly workspace: WorkspaceCode | null
  readonly requests: number
  /** Number of workspaces of this demand that the group stands for. */
  readonly count: number
}

interface Rank {
  readonly rank: number
  readonly requests: number
  readonly groups: readonly ClassGroup[]
}

/**
 * The share of each class's requests that an overloaded pool dispatches, computed by each node from the same aggregate.
 *
 * This handles more requests than the pool can serve in time, for seconds, at nodes that each see a fiftieth of them:
 * no node sees enough requests to weigh ranks and workspaces against each other by itself. Each class is guaranteed
 * half of the pool's share. What is left of the capacity goes to the most urgent rank first, and within a rank to
 * workspaces by max-min fairness: no workspace gets more than a common level unless all others of its rank have all
 * that they ask for.
 */
export class AdmissionShares {
  private readonly ranks: readonly Rank[]
  private readonly requests: number

  constructor (private readonly samples: readonly ClassSample[]) {
    const ranks = [...new Set(samples.map(({ rank }) => rank))].sort((left, right) => left - right)
    this.ranks = ranks.map((rank) => createRank(rank, samples))
    this.requests = total(this.ranks)
  }

  /**
   * The share of the requests of a class that may be dispatched where `poolShare` of all requests fits; between 0 and 1.
   * A workspace that is not listed gets the share of its rank's remainder.
   */
  shareOf (rank: number, workspace: WorkspaceCode, poolShare: number): number {
    if (!(poolShare > 0)) return 0
    if (poolShare >= 1) return 1
    if (this.isSoleClass(rank, workspace)) return poolShare
    const guaranteed = poolShare * GUARANTEED_SHARE
    let left = poolShare * this.requests
    let lessUrgent = this.requests
    for (const each of this.ranks) {
      if (each.rank > rank) break
      lessUrgent -= each.requests
      const available = Math.max(0, left - guaranteed * lessUrgent)
      if (each.rank === rank) return shareWithin(each, workspace, available, guaranteed)
      left -= Math.min(each.requests, available)
    }
    // No node has reported the rank yet: it is served like the smallest class of its rank would be.
    return left - guaranteed * lessUrgent > ROUNDING * this.requests ? 1 : guaranteed
  }

  /** Recent requests of the class, or of its rank's remainder where it is not listed. */
  requestsOf (rank: number, workspace: WorkspaceCode): number {
    const groups = this.ranks.find((each) => each.rank === rank)?.groups ?? []
    const group = groups.find((each) => each.workspace === workspace) ?? groups.find((each) => each.workspace === null)
    return group === undefined ? 0 : group.requests * group.count
  }

  /** With one class, its share is the pool's, without a rounding error that would change a draw. */
  private isSoleClass (rank: number, workspace: WorkspaceCode): boolean {
    const [only, ...others] = this.samples
    return only === undefined || (others.length === 0 && only.rank === rank && only.workspace === workspace)
  }
}

/**
 * The remainder stands for as many workspaces as the smallest listed one fits into it: they are no larger than that,
 * since the largest are listed. Treated as one workspace, many small ones would be held to the level of one.
 */
function createRank (rank: number, samples: readonly ClassSample[]): Rank {
  const own = samples.filter((sample) => sample.rank === rank)
  const smallest = Math.min(Infinity, ...own.filter(({ workspace }) => workspace !== null).map(({ requests }) => requests))
  const groups = own.map(({ workspace, requests }): ClassGroup => {
    const count = workspace === null ? Math.max(1, requests / smallest) : 1
    return { workspace, requests: requests / count, count }
  })
  return { rank, requests: total(own), groups }
}

function shareWithin ({ requests, groups }: Rank, workspace: WorkspaceCode, available: number, guaranteed: number): number {
  if (available >= requests * (1 - ROUNDING)) return 1
  const level = commonLevel(groups, available, guaranteed)
  const group = groups.find((each) => each.workspace === workspace) ?? groups.find((each) => each.workspace === null)
  const demand = group?.requests ?? Math.min(...groups.map((each) => each.requests))
  return Math.min(1, Math.max(guaranteed, level / demand))
}

/** The most requests that a workspace gets beyond the guarantee, so that the sum over the rank is what is available. */
function commonLevel (groups: readonly ClassGroup[], available: number, guaranteed: number): number {
  let low = 0
  let high = Math.max(...groups.map(({ requests }) => requests))
  for (let step = 0; step < LEVEL_STEPS; step++) {
    const middle = (low + high) / 2
    const sum = groups.reduce((partial, { requests, count }) => partial + count * Math.max(guaranteed * requests, Math.min(requests, middle)), 0)
    if (sum > available) high = middle
    else low = middle
  }
  return low
}

function total (parts: ReadonlyArray<{ readonly requests: number }>): number {
  return parts.reduce((sum, { requests }) => sum + requests, 0)
}
