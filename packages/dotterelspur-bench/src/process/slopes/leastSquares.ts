/** A line fitted to measured points: `y = intercept + slope · x`. */
export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Share of the variance that the line explains, 0 to 1. */
  readonly fit: number
}

export type Point = readonly [x: number, y: number]

/** Fits a line by least squares. Requires two different values of x. */
export function leastSquares (points: readonly Point[]): Line {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const varianceX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const varianceY = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0)
  const slope = covariance / varianceX
  return { slope, intercept: meanY - slope * meanX, fit: varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY) }
}

/** The line's value at `x`. */
export function valueAt (line: Line, x: number): number {
  return line.intercept + line.slope * x
}
