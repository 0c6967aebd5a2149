/** A measurement: the cost at a size. */
export interface Point {
  size: number
  cost: number
}

/** A straight line fitted to measured points. */
export interface Line {
  /** The cost at size 0. */
  intercept: number
  /** The increase in cost per unit of size. */
  slope: number
}

/**
 * Fits a line by least squares.
 * @param points At least two points of different sizes.
 * @returns The line.
 */
export function fitLine (points: Point[]): Line {
  const meanSize = points.reduce((sum, point) => sum + point.size, 0) / points.length
  const meanCost = points.reduce((sum, point) => sum + point.cost, 0) / points.length
  const covariance = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.cost - meanCost), 0)
  const variance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0)
  const slope = covariance / variance
  return { intercept: meanCost - slope * meanSize, slope }
}
