import type { TeamId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import type { TeamLimits } from '../../version/TeamSettings.js'
import { AllowanceBudget } from './AllowanceBudget.js'
import { ALLOWANCE_HOLDERS, type AllowanceRequest, type AllowanceGrant } from './AllowanceHolder.js'
import { TokenBucket } from './TokenBucket.js'

/** Seconds of its rate that a team may use at once after a pause. */
const BURST_SECONDS = 2

/** What a team may spend at this node, in requests or in tokens. */
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
  /** Each takes 1/n of it and never talks. */
  Even = 'even',
  /** A few holders per team grant what the others ask for; see AllowanceHolder. */
  Holders = 'holders'
}

/**
 * This node's part of each team's limits, without a message per request and without a counter that all would need.
 *
 * Error bounds, n nodes. Even: over all nodes at most the limit plus one burst, n x max(1, 2 s x limit / n)
 * requests; exact only where a team's requests are even over the nodes, and far too strict where a node's part is
 * less than a request per second or so. Holders: at most the limit plus one second of it, plus one request per
 * node; what nodes hold in hand, two seconds of their own demand, may be left unused. While nodes disagree on who
 * lives, as in a partition, each side spends the parts that it believes to be its own: at most the limit once per
 * side. Concurrent and queued requests are always shared evenly, rounded up: at most n - 1 more than the limit.
 */
export class TeamLimiter {
  private readonly accounts = new Map<TeamId, TeamAccount>()
  private nodes = 1

  constructor (private readonly sharing: LimitSharing = LimitSharing.Even) {}

  /** Replaces all limits; a team without one is not limited. What is running and queued goes on being counted. */
  configure (limits: ReadonlyMap<TeamId, TeamLimits>, nodes: number, nowMs: number): void {
    this.nodes = Math.max(1, nodes)
    for (const [team, account] of this.accounts) {
      if (!limits.has(team) && account.running + account.queued === 0) this.accounts.delete(team)
    }
    for (const [team, teamLimits] of limits) this.configureTeam(team, teamLimits, nowMs)
  }

  /** Null when a request of this size may be admitted, and then it is charged; else when to come back. */
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
   * What to ask a holder for; call it after each offer and send it to the holder of its rank. Null when nothing is
   * needed, and always with even parts. The rank is drawn: taken in turn, all nodes would ask the same holder at the
   * same time, and what the others earn meanwhile would be lost to their bursts.
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

  /** A charged request was given up before any dispatch. */
  refund (team: TeamId, chargedTokens: number): void {
    this.accounts.get(team)?.requests.giveBack(1)
    this.settle(team, chargedTokens, 0)
  }

  /** A request used less, or more, than it was charged. */
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
