import { ALLOWANCE_HOLDERS, AllowanceHolder, LimitSharing, TeamLimiter, createRandom, type AllowanceGrant, type Random, type TeamLimits } from 'dotterelspur'
import { drawIntervalMs } from '../routing/Workload.js'

export interface TeamLimitOptions {
  readonly seed: number
  readonly sharing: LimitSharing
  readonly nodes: number
  readonly limitPerSecond: number
  /** Requests offered, as a share of the limit. */
  readonly offered: number
  /** Half of the requests come through a tenth of the nodes. */
  readonly skewed: boolean
}

export interface TeamLimitResult {
  /** Admitted over what may be admitted, the lesser of limit and offer, over the whole run: 1 is exact. */
  readonly admittedShare: number
  /** The fullest second and the fullest ten seconds, over the limit: 1 is at the limit. */
  readonly fullestSecond: number
  readonly fullestTenSeconds: number
  /** Asks that one holder answers, per second. */
  readonly asksPerHolder: number
}

const TEAM = 'team'
const DURATION_MS = 120_000
const SECOND_MS = 1_000
const TEN_SECONDS = 10
const ASK_ROUND_TRIP_MS = 5
const SKEWED_SHARE = 0.5
const SKEWED_NODES = 0.1

/** Sends a team's requests through many nodes that each limit for themselves, and counts what they admit together. */
export function runTeamLimit (options: TeamLimitOptions): TeamLimitResult {
  const { limitPerSecond, offered, seed } = options
  const random = createRandom(seed)
  const fleet = new LimitedFleet(options)
  const perSecond: number[] = new Array(DURATION_MS / SECOND_MS).fill(0)
  let arrivals = 0
  for (let nowMs = drawIntervalMs(random, limitPerSecond * offered); nowMs < DURATION_MS; nowMs += drawIntervalMs(random, limitPerSecond * offered)) {
    arrivals++
    if (fleet.admits(drawNode(options, random), nowMs)) perSecond[Math.floor(nowMs / SECOND_MS)]!++
  }
  const admitted = perSecond.reduce((sum, count) => sum + count, 0)
  const admissible = Math.min(arrivals, limitPerSecond * DURATION_MS / SECOND_MS)
  return {
    admittedShare: admitted / admissible,
    fullestSecond: Math.max(...perSecond) / limitPerSecond,
    fullestTenSeconds: fullest(perSecond, TEN_SECONDS) / (limitPerSecond * TEN_SECONDS),
    asksPerHolder: fleet.asks / fleet.holders.length * SECOND_MS / DURATION_MS
  }
}

/** The nodes' limiters with the messages between them and the holders, which take a while. */
class LimitedFleet {
  readonly holders: readonly AllowanceHolder[]
  asks = 0
  private readonly limiters: readonly TeamLimiter[]
  private readonly underWay: Array<{ readonly atMs: number, readonly node: number, readonly grant: AllowanceGrant }> = []

  private readonly random: Random

  constructor ({ nodes, limitPerSecond, sharing, seed }: TeamLimitOptions) {
    this.random = createRandom(seed + 1)
    const limits: TeamLimits = { requestsPerSecond: limitPerSecond, tokensPerSecond: 1e9, concurrentRequests: 1e6, queuedRequests: 1e6, retryPercent: 0 }
    const teams = new Map([[TEAM, limits]])
    this.limiters = Array.from({ length: nodes }, () => new TeamLimiter(sharing))
    for (const limiter of this.limiters) limiter.configure(teams, nodes, 0)
    this.holders = Array.from({ length: Math.min(ALLOWANCE_HOLDERS, nodes) }, () => new AllowanceHolder())
    for (const holder of this.holders) holder.configure(teams, nodes, 0)
  }

  admits (node: number, nowMs: number): boolean {
    this.deliver(nowMs)
    const admitted = this.limiters[node]!.charge(TEAM, 1, nowMs) === null
    const ask = this.limiters[node]!.createAllowanceRequest(TEAM, nowMs, this.random)
    if (ask === null) return admitted
    this.asks++
    this.underWay.push({ atMs: nowMs + ASK_ROUND_TRIP_MS, node, grant: this.holders[ask.holderRank]!.grant(ask, nowMs) })
    return admitted
  }

  private deliver (nowMs: number): void {
    while (this.underWay.length > 0 && this.underWay[0]!.atMs <= nowMs) {
      const { node, grant } = this.underWay.shift()!
      this.limiters[node]!.applyGrant(grant)
    }
  }
}

function drawNode ({ nodes, skewed }: TeamLimitOptions, random: Random): number {
  const crowded = Math.max(1, Math.round(nodes * SKEWED_NODES))
  return skewed && random.next() < SKEWED_SHARE ? random.integer(crowded) : random.integer(nodes)
}

function fullest (perSecond: readonly number[], seconds: number): number {
  let most = 0
  for (let start = 0; start + seconds <= perSecond.length; start++) {
    most = Math.max(most, perSecond.slice(start, start + seconds).reduce((sum, count) => sum + count, 0))
  }
  return most
}
