const PERCENT = 100

/** The value below which `percent` of the samples lie; NaN without samples. */
export function percentile (samples: readonly number[], percent: number): number {
  if (samples.length === 0) return NaN
  const sorted = [...samples].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / PERCENT))]!
}
