import type { QuarantineObject } from 'dotterelspur'

/** Validates an entry of the quarantine, which other writers may replace; null if it is none. */
export function readQuarantineObject (body: unknown): QuarantineObject | null {
  if (typeof body !== 'object' || body === null) return null
  const { outline, part, service, caller, ends, decidedBy } = body as Partial<QuarantineObject>
  const hasTexts = typeof service === 'string' && typeof decidedBy === 'string' && (caller === null || typeof caller === 'string')
  const hasPart = part === undefined || typeof part === 'string'
  if (![outline, ends].every(Number.isFinite) || !hasTexts || !hasPart) return null
  return { outline: outline!, ...(part === undefined ? {} : { part }), service, caller, ends: ends!, decidedBy }
}
