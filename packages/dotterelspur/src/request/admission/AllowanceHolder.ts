import type { TeamId } from '../../process/ids.js'
import type { TeamLimits } from '../../version/TeamSettings.js'
import { TokenBucket } from './TokenBucket.js'

/** A node's ask for more of a team's limit. Both in units: requests, and tokens. */
export interface AllowanceAsk {
  readonly team: TeamId
  readonly requests: number
  readonly tokens: number
  /** Which of the team's holders to ask, by rendezvous order of the team over the living nodes. */
  readonly holderRank: number
}

/** The answer; what it grants is spent at the holder, whether or not the answer arrives. */
export interface AllowanceGrant {
  readonly team: TeamId
  readonly requests: number
  readonly tokens: number
}

/** Holders of each team's limit. */
export const ALLOWANCE_HOLDERS = 8

const BURST_SECONDS = 1

/**
 * This node's part of each team's limit, which it grants to the nodes that ask. The first holders of a team by
 * rendezvous order each have an even part: nothing is agreed and nothing is kept, and a holder that is lost takes
 * a part of the limit along until the next one has its place. A lost answer loses what it granted; nothing is
 * granted twice.
 */
export class AllowanceHolder {
  private readonly parts = new Map<TeamId, { readonly requests: TokenBucket, readonly tokens: TokenBucket }>()
  private limits: ReadonlyMap<TeamId, TeamLimits> = new Map()
  private holders = 1

  configure (limits: ReadonlyMap<TeamId, TeamLimits>, nodes: number, nowMs: number): void {
    this.limits = limits
    this.holders = Math.max(1, Math.min(ALLOWANCE_HOLDERS, nodes))
    for (const [team, part] of this.parts) {
      const teamLimits = limits.get(team)
      if (teamLimits === undefined) this.parts.delete(team)
      else this.configurePart(part, teamLimits, nowMs)
    }
  }

  answer (ask: AllowanceAsk, nowMs: number): AllowanceGrant {
    const part = this.part(ask.team, nowMs)
    if (part === undefined) return { team: ask.team, requests: 0, tokens: 0 }
    return { team: ask.team, requests: part.requests.takeUpTo(ask.requests, nowMs), tokens: part.tokens.takeUpTo(ask.tokens, nowMs) }
  }

  /** Starts empty: a new holder can't know what its predecessor has granted in the last second. */
  private part (team: TeamId, nowMs: number) {
    const limits = this.limits.get(team)
    if (limits === undefined) return undefined
    let part = this.parts.get(team)
    if (part === undefined) {
      part = { requests: new TokenBucket(0, 0, nowMs), tokens: new TokenBucket(0, 0, nowMs) }
      this.configurePart(part, limits, nowMs)
      this.parts.set(team, part)
    }
    return part
  }

  private configurePart (part: { readonly requests: TokenBucket, readonly tokens: TokenBucket }, limits: TeamLimits, nowMs: number): void {
    const requestsPerSecond = limits.requestsPerSecond / this.holders
    const tokensPerSecond = limits.tokensPerSecond / this.holders
    part.requests.configure(requestsPerSecond, requestsPerSecond * BURST_SECONDS, nowMs)
    part.tokens.configure(tokensPerSecond, tokensPerSecond * BURST_SECONDS, nowMs)
  }
}
