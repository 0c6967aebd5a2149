/** Options of a regression. */
export interface RecursiveLeastSquaresOptions {
  /** The maximum variance of a weight, which bounds the adaptation to later samples. */
  maximumVariance: number
  /** The variance of the noise of a sample. */
  noiseVariance: number
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
   * @param variance The variance of the initial weight; a higher one adapts faster to the first samples.
   * @returns The index of the feature.
   */
  addFeature (weight: number, variance: number): number {
    const index = this.weights.length
    this.weights.push(weight)
    for (const row of this.covariance) row.push(0)
    this.covariance.push(this.weights.map((_, column) => column === index ? variance : 0))
    return index
  }

  /**
   * Makes a feature that is no longer needed a new one.
   * @param index The index of the feature.
   * @param weight The initial weight.
   * @param variance The variance of the initial weight.
   */
  resetFeature (index: number, weight: number, variance: number): void {
    this.weights[index] = weight
    for (let other = 0; other < this.weights.length; other++) {
      this.covariance[index][other] = 0
      this.covariance[other][index] = 0
    }
    this.covariance[index][index] = variance
  }

  /**
   * Lets a weight change: later samples count more for it than earlier ones.
   * @param index The index of the feature.
   * @param variance The variance of the change since the last sample.
   */
  addVariance (index: number, variance: number): void {
    this.covariance[index][index] = Math.min(this.options.maximumVariance, this.covariance[index][index] + variance)
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
    const { noiseVariance } = this.options
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
      const share = gains[row] / variance
      if (share === 0) continue
      for (let column = 0; column < count; column++) this.covariance[row][column] -= share * gains[column]
    }
  }
}
