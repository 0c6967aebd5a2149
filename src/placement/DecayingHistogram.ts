const BUCKET_COUNT = 64

/** Each bucket is a fifth larger than the one before; finer buckets would be lost in the noise of the reports. */
const BUCKET_GROWTH = 1.2

/** The weight of new samples grows until here; then all weights are scaled down. */
const MAXIMUM_WEIGHT = 1e12

/** The form in which a histogram is kept in a snapshot: pairs of bucket and weight. */
export type ExportedHistogram = [bucket: number, weight: number][]

/** A histogram over exponential buckets, in which a sample loses half of its weight per half-life. */
export class DecayingHistogram {
  private readonly weights = new Float64Array(BUCKET_COUNT)
  private total = 0
  private sampleWeight = 1
  private updatedAt: number | undefined

  private constructor (
    private readonly firstBucketBound: number,
    private readonly halfLifeMilliseconds: number
  ) {}

  /**
   * Creates an empty histogram.
   * @param options The upper bound of the first bucket, and the half-life of a sample.
   * @returns The histogram.
   */
  static create (options: { firstBucketBound: number, halfLifeMilliseconds: number }): DecayingHistogram {
    return new DecayingHistogram(options.firstBucketBound, options.halfLifeMilliseconds)
  }

  /**
   * Adds a sample.
   * @param value The value.
   * @param now The time.
   */
  add (value: number, now: number): void {
    const elapsed = Math.max(0, now - (this.updatedAt ?? now))
    this.updatedAt = Math.max(now, this.updatedAt ?? now)
    this.sampleWeight *= 2 ** (elapsed / this.halfLifeMilliseconds)
    if (this.sampleWeight > MAXIMUM_WEIGHT) this.rescale()
    this.weights[this.getBucket(value)] += this.sampleWeight
    this.total += this.sampleWeight
  }

  /**
   * Counts the samples, each by its remaining weight.
   * @param now The time.
   * @returns The count.
   */
  getCount (now: number): number {
    const elapsed = Math.max(0, now - (this.updatedAt ?? now))
    return this.total / this.sampleWeight * 2 ** (-elapsed / this.halfLifeMilliseconds)
  }

  /**
   * Returns the upper bound of the bucket that holds a quantile.
   * @param quantile The quantile, 0 to 1.
   * @returns The bound, 0 when there are no samples.
   */
  getQuantile (quantile: number): number {
    if (this.total === 0) return 0
    let remaining = this.total * quantile
    let bucket = 0
    while (bucket < BUCKET_COUNT - 1 && remaining > this.weights[bucket]) remaining -= this.weights[bucket++]
    return this.firstBucketBound * BUCKET_GROWTH ** bucket
  }

  export (): ExportedHistogram {
    const exported: ExportedHistogram = []
    this.weights.forEach((weight, bucket) => {
      if (weight > 0) exported.push([bucket, Number((weight / this.sampleWeight).toPrecision(3))])
    })
    return exported
  }

  /**
   * Replaces the samples by exported ones; they lose weight from the next sample on.
   * @param exported The samples.
   */
  import (exported: ExportedHistogram): void {
    this.weights.fill(0)
    this.total = 0
    this.sampleWeight = 1
    this.updatedAt = undefined
    for (const [bucket, weight] of exported) {
      if (bucket >= BUCKET_COUNT) continue
      this.weights[bucket] = weight
      this.total += weight
    }
  }

  private getBucket (value: number): number {
    if (value <= this.firstBucketBound) return 0
    return Math.min(BUCKET_COUNT - 1, Math.ceil(Math.log(value / this.firstBucketBound) / Math.log(BUCKET_GROWTH) - 1e-9))
  }

  private rescale (): void {
    this.total = 0
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.weights[bucket] /= this.sampleWeight
      this.total += this.weights[bucket]
    }
    this.sampleWeight = 1
  }
}
