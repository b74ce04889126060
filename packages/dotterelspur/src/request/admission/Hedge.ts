/** What a node knows when it considers a second attempt beside one that shows no first token. */
export interface HedgeInput {
  readonly idempotent: boolean
  /** Since the attempt was sent. */
  readonly elapsedMs: number
  /** First tokens that this node saw of the lane; null while too few are known. */
  readonly firstTokenP95Ms: number | null
  /** Attempts of the request that are under way. */
  readonly attempts: number
}

const HEDGE_FACTOR = 2
const MIN_HEDGE_DELAY_MS = 500

/**
 * When to send a second attempt: only idempotent work, once, long after nearly all would have answered. The caller
 * must also take a retry from the budget, so that hedges can't add load when everything is slow. Null means never.
 */
export function hedgeDelayMs ({ idempotent, elapsedMs, firstTokenP95Ms, attempts }: HedgeInput): number | null {
  if (!idempotent || attempts !== 1 || firstTokenP95Ms === null) return null
  return Math.max(0, Math.max(MIN_HEDGE_DELAY_MS, HEDGE_FACTOR * firstTokenP95Ms) - elapsedMs)
}
