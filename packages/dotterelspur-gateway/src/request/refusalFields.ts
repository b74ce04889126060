import type { ClassDecision, PlacementBasis, PlacementRefusal } from 'dotterelspur'
import type { LogFields } from '../process/DecisionLog.js'

/** What the log line of a refused request says of the refusal: its reason, and the figures that it was based on. */
export function refusalFields (refusal: PlacementRefusal | null, rank: number): LogFields {
  if (refusal === null) return {}
  const { reason, basis, inNeed } = refusal
  return { refusal: reason, rank, ...(basis === null ? {} : basisFields(basis)), inNeed: inNeed.length === 0 ? undefined : inNeed }
}

function basisFields ({ expectedMs, limitMs, loadAgeMs, classDecision }: PlacementBasis): LogFields {
  const load = { expectedMs: Math.round(expectedMs), limitMs: Math.round(limitMs), loadAgeMs: loadAgeMs === null ? null : Math.round(loadAgeMs) }
  return classDecision === null ? load : { ...load, ...decisionFields(classDecision) }
}

function decisionFields ({ share, poolShare, demandPerS }: ClassDecision): LogFields {
  return { share: toHundredths(share), poolShare: toHundredths(poolShare), demandPerS: toHundredths(demandPerS) }
}

function toHundredths (value: number | null): number | null {
  return value === null ? null : Math.round(value * 100) / 100
}
