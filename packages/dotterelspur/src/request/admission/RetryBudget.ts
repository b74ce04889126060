import type { TeamId } from '../../process/ids.js'

export interface RetryBudgetOptions {
  /** Retries of this node per 100 first attempts. */
  readonly nodePercent: number
  /** Retries that an idle team or node may make at once. */
  readonly reserve: number
}

export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = { nodePercent: 10, reserve: 20 }

const PERCENT = 100

/**
 * Allows retries in proportion to first attempts, per team and for the whole node, so that a fault can't turn
 * into a multiple of the load: without it, retries of a broken group hit the sound ones just when they take over
 * its traffic. One would notice it as load that stays high after the fault is gone.
 */
export class RetryBudget {
  private nodeTokens: number
  private readonly teamTokens = new Map<TeamId, number>()

  constructor (private readonly options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET_OPTIONS) {
    this.nodeTokens = options.reserve
  }

  /** A request was dispatched for the first time. `teamPercent` is the team's own setting; with 0 it has no retries at all. */
  recordFirstAttempt (team: TeamId, teamPercent: number): void {
    const { reserve, nodePercent } = this.options
    this.nodeTokens = Math.min(reserve, this.nodeTokens + nodePercent / PERCENT)
    const teamReserve = teamPercent === 0 ? 0 : reserve
    this.teamTokens.set(team, Math.min(teamReserve, this.available(team) + teamPercent / PERCENT))
  }

  /** Takes one retry, or one hedge, from both budgets; false when either is spent. */
  tryRetry (team: TeamId): boolean {
    const teamTokens = this.available(team)
    if (teamTokens < 1 || this.nodeTokens < 1) return false
    this.teamTokens.set(team, teamTokens - 1)
    this.nodeTokens -= 1
    return true
  }

  private available (team: TeamId): number {
    return this.teamTokens.get(team) ?? this.options.reserve
  }
}
