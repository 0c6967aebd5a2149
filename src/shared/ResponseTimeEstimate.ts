/** Options of an estimate, in milliseconds. */
export interface ResponseTimeEstimateOptions {
  /** The estimate before the first response. */
  initialMilliseconds: number
  shortestMilliseconds: number
  longestMilliseconds: number
}

/** The weights of a new response time in the mean and in the mean deviation, as in the retransmission timer of TCP. */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
const DEVIATION_FACTOR = 4

/** Estimates after which time a call without a response is unlikely to get one, from the times of earlier responses. */
export class ResponseTimeEstimate {
  private mean: number | null = null
  private deviation = 0

  private constructor (private readonly options: ResponseTimeEstimateOptions) {}

  /**
   * Creates an estimate that knows no response.
   * @param options The initial value and the limits.
   * @returns The estimate.
   */
  static create (options: ResponseTimeEstimateOptions): ResponseTimeEstimate {
    return new ResponseTimeEstimate(options)
  }

  /** The time after which a call without a response should be repeated, in milliseconds. */
  get milliseconds (): number {
    const { initialMilliseconds, shortestMilliseconds, longestMilliseconds } = this.options
    if (this.mean === null) return initialMilliseconds
    const estimate = this.mean + DEVIATION_FACTOR * this.deviation
    return Math.min(longestMilliseconds, Math.max(shortestMilliseconds, estimate))
  }

  /**
   * Records the time from one send of a call to the response to the same send.
   * @param milliseconds The time.
   */
  record (milliseconds: number): void {
    if (this.mean === null) {
      this.mean = milliseconds
      this.deviation = milliseconds / 2
      return
    }
    this.deviation += DEVIATION_WEIGHT * (Math.abs(milliseconds - this.mean) - this.deviation)
    this.mean += MEAN_WEIGHT * (milliseconds - this.mean)
  }
}
