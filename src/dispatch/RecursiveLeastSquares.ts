/** Options of a regression. */
export interface RecursiveLeastSquaresOptions {
  /** The variance of a weight before anything was learned: higher values follow the first samples faster. */
  initialVariance: number
  /** The variance of a sample's noise. */
  noiseVariance: number
  /** The weight of all earlier samples after one more, below 1 to follow slow changes. */
  forgettingFactor: number
}

/** A linear regression whose weights are corrected by each sample; features are added as they are first seen. */
export class RecursiveLeastSquares {
  private readonly weights: number[] = []
  private readonly covariance: number[][] = []

  private constructor (private readonly options: RecursiveLeastSquaresOptions) {}

  /**
   * Creates a regression without features.
   * @param options The variances.
   * @returns The regression.
   */
  static create (options: RecursiveLeastSquaresOptions): RecursiveLeastSquares {
    return new RecursiveLeastSquares(options)
  }

  /**
   * Adds a feature.
   * @param weight The weight that it has before anything is learned.
   * @param variance The variance of that weight; lower for a weight that was learned elsewhere.
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

  /** Returns the variance of a weight; it falls as samples with the feature come in. */
  getVariance (index: number): number {
    return this.covariance[index][index]
  }

  /**
   * Corrects the weights by one sample.
   * @param features The features that are not 0, by index.
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
      // Forgetting must not let the variance of a rare feature grow without bound.
      const featureVariance = this.covariance[row][row] / forgettingFactor
      this.covariance[row][row] = Math.min(initialVariance, featureVariance)
    }
  }
}
