import type { Random } from 'dotterelspur'

/** Bounds of the waits between attempts. */
export interface BackoffSettings {
  readonly baseMs: number
  readonly limitMs: number
}

/**
 * The wait before attempt `attempt + 1`: its bound doubles with each attempt up to the limit, and the wait is chosen
 * at random from the upper half of the bound, so that nodes that failed at the same time don't retry at the same time.
 */
export function backoffMs (attempt: number, settings: BackoffSettings, random: Random): number {
  const boundMs = Math.min(settings.limitMs, settings.baseMs * 2 ** Math.min(attempt, 30))
  return boundMs / 2 + random.next() * boundMs / 2
}
