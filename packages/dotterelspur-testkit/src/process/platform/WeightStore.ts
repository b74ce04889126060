import { failed, success } from 'dotterelspur'
import type { Clock, Result, VmId } from 'dotterelspur'

/** Permission to read weights at a rate, until it is returned or expires. */
export interface WeightGrant {
  readonly grant: string
  readonly vm: VmId
  readonly bytesPerSecond: number
  readonly expiresInMs: number
}

/** The budget is exhausted. */
export interface WeightRefusal {
  readonly retryAfterMs: number
}

export interface WeightBudgetState {
  readonly budgetBytesPerSecond: number
  readonly grantedBytesPerSecond: number
  readonly grants: number
}

interface HeldGrant {
  readonly grant: WeightGrant
  readonly expiresAtMs: number
}

export const DEFAULT_WEIGHT_BUDGET_BYTES_PER_SECOND = 40_000_000_000
const GRANT_TTL_MS = 10_000
const RETRY_AFTER_MS = 250
/** Grants below this share of the requested rate are not made: loading so slowly would not be useful. */
const MINIMUM_SHARE = 0.25

/** The weight store's rate budget; the sum of all grants never exceeds it. */
export class WeightStore {
  private readonly held = new Map<string, HeldGrant>()
  private sequence = 0

  constructor (private readonly clock: Clock, private budgetBytesPerSecond = DEFAULT_WEIGHT_BUDGET_BYTES_PER_SECOND) {}

  setBudget (bytesPerSecond: number): void {
    this.budgetBytesPerSecond = bytesPerSecond
  }

  state (): WeightBudgetState {
    this.expire()
    return { budgetBytesPerSecond: this.budgetBytesPerSecond, grantedBytesPerSecond: this.granted(), grants: this.held.size }
  }

  /** Grants the requested rate, or the rest of the budget if that is less. */
  acquire (vm: VmId, wantedBytesPerSecond: number): Result<WeightGrant, WeightRefusal> {
    this.expire()
    const left = this.budgetBytesPerSecond - this.granted()
    const bytesPerSecond = Math.min(wantedBytesPerSecond, left)
    if (bytesPerSecond <= 0 || bytesPerSecond < wantedBytesPerSecond * MINIMUM_SHARE) return failed({ retryAfterMs: RETRY_AFTER_MS })
    const grant: WeightGrant = { grant: `grant-${++this.sequence}`, vm, bytesPerSecond, expiresInMs: GRANT_TTL_MS }
    this.hold(grant)
    return success(grant)
  }

  /** Renews a grant for another period; returns false if it has expired. */
  renew (grantId: string): boolean {
    this.expire()
    const held = this.held.get(grantId)
    if (held === undefined) return false
    this.hold(held.grant)
    return true
  }

  release (grantId: string): void {
    this.held.delete(grantId)
  }

  private hold (grant: WeightGrant): void {
    this.held.set(grant.grant, { grant, expiresAtMs: this.clock.nowMs() + GRANT_TTL_MS })
  }

  private granted (): number {
    let sum = 0
    for (const { grant } of this.held.values()) sum += grant.bytesPerSecond
    return sum
  }

  private expire (): void {
    const nowMs = this.clock.nowMs()
    for (const [id, held] of this.held) {
      if (held.expiresAtMs <= nowMs) this.held.delete(id)
    }
  }
}
