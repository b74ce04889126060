/** Inputs of the decision whether to send a hedged second attempt while the first has no first token. */
export interface HedgeInput {
  readonly idempotent: boolean
  /** Time since the attempt was sent. */
  readonly elapsedMs: number
  /** p95 time to first token of the lane at this node; null while it has too few samples. */
  readonly firstTokenP95Ms: number | null
  /** Attempts of the request in flight. */
  readonly attempts: number
}

const HEDGE_FACTOR = 2
const MIN_HEDGE_DELAY_MS = 500

/**
 * Time until a hedged second attempt is due, null for never. Only idempotent requests are hedged, once, after twice
 * the p95 time to first token. The caller must also take a retry from the budget, so that hedges can't multiply the
 * load when all endpoints are slow.
 */
export function hedgeDelayMs ({ idempotent, elapsedMs, firstTokenP95Ms, attempts }: HedgeInput): number | null {
  if (!idempotent || attempts !== 1 || firstTokenP95Ms === null) return null
  return Math.max(0, Math.max(MIN_HEDGE_DELAY_MS, HEDGE_FACTOR * firstTokenP95Ms) - elapsedMs)
}
