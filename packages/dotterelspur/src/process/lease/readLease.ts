import type { LeaseObject } from '../../version/PlatformObjects.js'

/** A million formation numbers for each fencing number up to this one, and for some millions after it, are exact integers. */
const MAX_FENCING = 9_000_000_000
/** The longest time to live that the settings allow; a longer one would keep all nodes from taking the lease. */
const MAX_TTL_MS = 60_000

/** Whether a lease can have this fencing number; other writers and peers may state any value. */
export function isFencingNumber (value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0 && (value as number) <= MAX_FENCING
}

/** Validates a stored lease, which other writers may replace; null if it is none. */
export function readLease (body: unknown): LeaseObject | null {
  if (typeof body !== 'object' || body === null) return null
  const { holder, holderIncarnation, fencing, ttlMs, renewal, released } = body as Partial<LeaseObject>
  const hasHolder = typeof holder === 'string' && Number.isFinite(holderIncarnation) && Number.isFinite(renewal) && typeof released === 'boolean'
  const hasTtl = typeof ttlMs === 'number' && ttlMs >= 0 && ttlMs <= MAX_TTL_MS
  return hasHolder && hasTtl && isFencingNumber(fencing) ? body as LeaseObject : null
}
