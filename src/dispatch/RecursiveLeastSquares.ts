/** Options of a regression. */
export interface RecursiveLeastSquaresOptions {
  /** The variance of a weight before the first sample; a higher value adapts faster to the first samples. */
  initialVariance: number
  /** The variance of the noise of a sample. */
  noiseVariance: number
  /** The factor by which each sample reduces the influence of earlier ones; below 1 to track slow changes. */
  forgettingFactor: number
}

/** An online linear regression (recursive least squares) to which features can be added at any time. */
export class RecursiveLeastSquares {
  private readonly weights: number[] = []
  private readonly covariance: number[][] = []

  private constructor (private readonly options: RecursiveLeastSquaresOptions) {}

  /**
   * Creates a regression without features.
   * @param options The variances and the forgetting factor.
   * @returns The regression.
   */
  static create (options: RecursiveLeastSquaresOptions): RecursiveLeastSquares {
    return new RecursiveLeastSquares(options)
  }

  /**
   * Adds a feature.
   * @param weight The initial weight.
   * @param variance The variance of the initial weight; lower for a weight that was learned earlier.
   * @returns The index of the feature.
   */
  addFeature (weight: number, variance = this.options.initialVariance): number {
    const index = this.weights.length
    this.weights.push(weight)
    for (const row of this.covariance) row.push(0)
    this.covariance.push(this.weights.map((_, column) => column === index ? variance : 0))
    return index
  }

  /** Returns the weight of a feature. */
  getWeight (index: number): number {
    return this.weights[index]
  }

  /** Returns the variance of a weight, which decreases with each sample that has the feature. */
  getVariance (index: number): number {
    return this.covariance[index][index]
  }

  /**
   * Updates the weights with one sample.
   * @param features The index and value of each feature that is not 0.
   * @param value The observed value.
   */
  learn (features: ReadonlyArray<readonly [number, number]>, value: number): void {
    const { noiseVariance, forgettingFactor, initialVariance } = this.options
    const count = this.weights.length
    const gains = new Array<number>(count).fill(0)
    let predicted = 0
    for (const [index, feature] of features) {
      predicted += this.weights[index] * feature
      const row = this.covariance[index]
      for (let column = 0; column < count; column++) gains[column] += row[column] * feature
    }
    let variance = noiseVariance
    for (const [index, feature] of features) variance += gains[index] * feature
    const error = value - predicted
    for (let index = 0; index < count; index++) this.weights[index] += gains[index] / variance * error
    for (let row = 0; row < count; row++) {
      for (let column = 0; column < count; column++) {
        this.covariance[row][column] -= gains[row] * gains[column] / variance
      }
      // Without this bound, forgetting would increase the variance of a rarely observed feature indefinitely.
      const featureVariance = this.covariance[row][row] / forgettingFactor
      this.covariance[row][row] = Math.min(initialVariance, featureVariance)
    }
  }
}
