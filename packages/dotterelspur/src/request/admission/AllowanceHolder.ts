import type { TeamId } from '../../process/ids.js'
import type { TeamLimits } from '../../version/TeamSettings.js'
import { TokenBucket } from './TokenBucket.js'

/** A node's request for more of a team's limit: number of requests and number of tokens. */
export interface AllowanceRequest {
  readonly team: TeamId
  readonly requests: number
  readonly tokens: number
  /** Rank of the holder to send it to, in the rendezvous order of the team over the alive nodes. */
  readonly holderRank: number
}

/** A holder's response. What it grants is deducted at the holder, whether or not the response arrives. */
export interface AllowanceGrant {
  readonly team: TeamId
  readonly requests: number
  readonly tokens: number
}

/** Maximum number of holders per team. */
export const ALLOWANCE_HOLDERS = 8

const BURST_SECONDS = 1

/**
 * This node's share of each team's limit, which it grants to nodes on request. The first `ALLOWANCE_HOLDERS` nodes of a
 * team's rendezvous order have an even share each. Holders need no agreement and store nothing: when one fails, its
 * share of the limit is unavailable until the next node in the order takes its rank. A lost response loses the amount
 * that it granted; nothing is granted twice.
 */
export class AllowanceHolder {
  private readonly shares = new Map<TeamId, { readonly requests: TokenBucket, readonly tokens: TokenBucket }>()
  private limits: ReadonlyMap<TeamId, TeamLimits> = new Map()
  private holders = 1

  configure (limits: ReadonlyMap<TeamId, TeamLimits>, nodes: number, nowMs: number): void {
    this.limits = limits
    this.holders = Math.max(1, Math.min(ALLOWANCE_HOLDERS, nodes))
    for (const [team, share] of this.shares) {
      const teamLimits = limits.get(team)
      if (teamLimits === undefined) this.shares.delete(team)
      else this.configureShare(share, teamLimits, nowMs)
    }
  }

  grant (request: AllowanceRequest, nowMs: number): AllowanceGrant {
    const share = this.shareOf(request.team, nowMs)
    if (share === undefined) return { team: request.team, requests: 0, tokens: 0 }
    return { team: request.team, requests: share.requests.takeUpTo(request.requests, nowMs), tokens: share.tokens.takeUpTo(request.tokens, nowMs) }
  }

  /** A new share starts empty, since this holder can't know what its predecessor has granted in the last second. */
  private shareOf (team: TeamId, nowMs: number) {
    const limits = this.limits.get(team)
    if (limits === undefined) return undefined
    let share = this.shares.get(team)
    if (share === undefined) {
      share = { requests: new TokenBucket(0, 0, nowMs), tokens: new TokenBucket(0, 0, nowMs) }
      this.configureShare(share, limits, nowMs)
      this.shares.set(team, share)
    }
    return share
  }

  private configureShare (share: { readonly requests: TokenBucket, readonly tokens: TokenBucket }, limits: TeamLimits, nowMs: number): void {
    const requestsPerSecond = limits.requestsPerSecond / this.holders
    const tokensPerSecond = limits.tokensPerSecond / this.holders
    share.requests.configure(requestsPerSecond, requestsPerSecond * BURST_SECONDS, nowMs)
    share.tokens.configure(tokensPerSecond, tokensPerSecond * BURST_SECONDS, nowMs)
  }
}
