import type { Random } from 'dotterelspur'

/** Bounds of the waits between attempts. */
export interface BackoffSettings {
  readonly baseMs: number
  readonly limitMs: number
}

/**
 * The wait before attempt `attempt + 1`: doubled each time up to the limit, and drawn from its upper half, so
 * that nodes that failed together don't come back together.
 */
export function backoffMs (attempt: number, settings: BackoffSettings, random: Random): number {
  const boundMs = Math.min(settings.limitMs, settings.baseMs * 2 ** Math.min(attempt, 30))
  return boundMs / 2 + random.next() * boundMs / 2
}
