import type { TeamId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import type { TeamLimits } from '../../version/TeamSettings.js'
import { AllowanceBudget } from './AllowanceBudget.js'
import { ALLOWANCE_HOLDERS, type AllowanceRequest, type AllowanceGrant } from './AllowanceHolder.js'
import { TokenBucket } from './TokenBucket.js'

/** Burst of an idle team, in seconds of its rate. */
const BURST_SECONDS = 2

/** A team's rate limit at this node, in requests or in tokens. */
interface Budget {
  waitMs (size: number, nowMs: number): number
  take (size: number): void
  giveBack (size: number): void
}

interface TeamAccount {
  limits: TeamLimits
  readonly requests: Budget
  readonly tokens: Budget
  running: number
  queued: number
}

/** How the nodes share a team's limit. */
export enum LimitSharing {
  /** Each of n nodes uses 1/n of the limit, without messages. */
  Even = 'even',
  /** A few holder nodes per team grant allowances to the others on request; see AllowanceHolder. */
  Holders = 'holders'
}

/**
 * Applies this node's share of each team's limits, without a message per request and without a shared counter.
 *
 * Error bounds for n nodes:
 * - Even: over all nodes at most the limit plus one burst of n x max(1, 2 s x limit / n) requests. Accurate only when a
 *   team's requests are spread evenly over the nodes; far too strict when a node's share is below about one request
 *   per second.
 * - Holders: at most the limit plus one second of it, plus one request per node. Granted allowances, two seconds of a
 *   node's own demand, may remain unused. While nodes disagree on which nodes are alive, as in a network partition,
 *   each side uses the shares that it considers its own: at most the limit once per side.
 * - Concurrent and queued requests are always shared evenly, rounded up: at most n - 1 more than the limit.
 */
export class TeamLimiter {
  private readonly accounts = new Map<TeamId, TeamAccount>()
  private nodes = 1

  constructor (private readonly sharing: LimitSharing = LimitSharing.Even) {}

  /** Replaces all limits; a team without an entry has no limit. The counts of running and queued requests are kept. */
  configure (limits: ReadonlyMap<TeamId, TeamLimits>, nodes: number, nowMs: number): void {
    this.nodes = Math.max(1, nodes)
    for (const [team, account] of this.accounts) {
      if (!limits.has(team) && account.running + account.queued === 0) this.accounts.delete(team)
    }
    for (const [team, teamLimits] of limits) this.configureTeam(team, teamLimits, nowMs)
  }

  /** Charges a request if the limits allow it and returns null; otherwise returns the time to wait before a retry. */
  charge (team: TeamId, tokens: number, nowMs: number): number | null {
    const account = this.accounts.get(team)
    if (account === undefined) return null
    recordDemand(account.requests, 1, nowMs)
    recordDemand(account.tokens, tokens, nowMs)
    const waitMs = Math.max(account.requests.waitMs(1, nowMs), account.tokens.waitMs(tokens, nowMs))
    if (waitMs > 0) return waitMs
    account.requests.take(1)
    account.tokens.take(tokens)
    return null
  }

  /**
   * Returns the request to send to the holder of the given rank; call it after each offer. Null when nothing is needed,
   * and always with LimitSharing.Even. The rank is drawn at random: in rotation, all nodes would send to the same holder
   * at the same time, while the token buckets of the other holders reach their burst and lose what they accrue beyond it.
   */
  createAllowanceRequest (team: TeamId, nowMs: number, random: Random): AllowanceRequest | null {
    const account = this.accounts.get(team)
    if (account === undefined || !(account.requests instanceof AllowanceBudget) || !(account.tokens instanceof AllowanceBudget)) return null
    const requests = account.requests.requestMore(nowMs)
    const tokens = account.tokens.requestMore(nowMs)
    if (requests === 0 && tokens === 0) return null
    return { team, requests, tokens, holderRank: random.integer(Math.min(ALLOWANCE_HOLDERS, this.nodes)) }
  }

  applyGrant ({ team, requests, tokens }: AllowanceGrant): void {
    const account = this.accounts.get(team)
    if (account?.requests instanceof AllowanceBudget) account.requests.applyGrant(requests)
    if (account?.tokens instanceof AllowanceBudget) account.tokens.applyGrant(tokens)
  }

  /** Refunds a charged request that was shed before dispatch. */
  refund (team: TeamId, chargedTokens: number): void {
    this.accounts.get(team)?.requests.giveBack(1)
    this.settle(team, chargedTokens, 0)
  }

  /** Corrects the charge of a request by the tokens that it actually used. */
  settle (team: TeamId, chargedTokens: number, usedTokens: number): void {
    this.accounts.get(team)?.tokens.giveBack(chargedTokens - usedTokens)
  }

  mayQueue (team: TeamId): boolean {
    const account = this.accounts.get(team)
    return account === undefined || account.queued < this.evenShare(account.limits.queuedRequests)
  }

  mayRun (team: TeamId): boolean {
    const account = this.accounts.get(team)
    return account === undefined || account.running < this.evenShare(account.limits.concurrentRequests)
  }

  adjustQueued (team: TeamId, difference: 1 | -1): void {
    const account = this.accounts.get(team)
    if (account !== undefined) account.queued = Math.max(0, account.queued + difference)
  }

  adjustRunning (team: TeamId, difference: 1 | -1): void {
    const account = this.accounts.get(team)
    if (account !== undefined) account.running = Math.max(0, account.running + difference)
  }

  private configureTeam (team: TeamId, limits: TeamLimits, nowMs: number): void {
    const requestsPerSecond = limits.requestsPerSecond / this.nodes
    const tokensPerSecond = limits.tokensPerSecond / this.nodes
    const account = this.accounts.get(team)
    if (account === undefined) {
      const requests = this.createBudget(requestsPerSecond, nowMs)
      const tokens = this.createBudget(tokensPerSecond, nowMs)
      this.accounts.set(team, { limits, requests, tokens, running: 0, queued: 0 })
      return
    }
    account.limits = limits
    configureBudget(account.requests, requestsPerSecond, nowMs)
    configureBudget(account.tokens, tokensPerSecond, nowMs)
  }

  private createBudget (perSecond: number, nowMs: number): Budget {
    if (this.sharing === LimitSharing.Holders) return new AllowanceBudget(perSecond, nowMs)
    return new TokenBucket(perSecond, burstOf(perSecond), nowMs)
  }

  private evenShare (limit: number): number {
    return Math.ceil(limit / this.nodes)
  }
}

function burstOf (perSecond: number): number {
  return Math.max(1, perSecond * BURST_SECONDS)
}

function configureBudget (budget: Budget, perSecond: number, nowMs: number): void {
  if (budget instanceof TokenBucket) budget.configure(perSecond, burstOf(perSecond), nowMs)
  else if (budget instanceof AllowanceBudget) budget.configure(perSecond)
}

function recordDemand (budget: Budget, size: number, nowMs: number): void {
  if (budget instanceof AllowanceBudget) budget.recordDemand(size, nowMs)
}
