import type { TeamId } from '../../process/ids.js'

export interface RetryBudgetOptions {
  /** Retries of this node per 100 first attempts. */
  readonly nodePercent: number
  /** Burst: retries that a team or node may make after a time without any. */
  readonly reserve: number
}

export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = { nodePercent: 10, reserve: 20 }

const PERCENT = 100

/**
 * Allows retries in proportion to first attempts, per team and for the whole node, so that retries can't multiply the
 * load during a fault. Without it, the retries of requests to a broken group reach the healthy groups just when these
 * take over its traffic; the symptom is load that stays high after the fault has ended.
 */
export class RetryBudget {
  private nodeTokens: number
  private readonly teamTokens = new Map<TeamId, number>()

  constructor (private readonly options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET_OPTIONS) {
    this.nodeTokens = options.reserve
  }

  /** Records the first attempt of a request. `teamPercent` is the team's own setting; with 0 the team has no retries. */
  recordFirstAttempt (team: TeamId, teamPercent: number): void {
    const { reserve, nodePercent } = this.options
    this.nodeTokens = Math.min(reserve, this.nodeTokens + nodePercent / PERCENT)
    const teamReserve = teamPercent === 0 ? 0 : reserve
    this.teamTokens.set(team, Math.min(teamReserve, this.available(team) + teamPercent / PERCENT))
  }

  /** Takes one retry, or one hedge, from both budgets; false if either is exhausted. */
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
