/** Options of a retry delay. */
export interface RetryDelayOptions {
  /** Returns a random number of at least 0 and less than 1. */
  random (): number
  /** The shortest delay, which at most doubles at random. */
  shortestMilliseconds: number
  /** No delay is longer. */
  longestMilliseconds: number
}

/**
 * Delays between the attempts of a call that fails: each is longer than the one before, up to a limit, and has a random
 * part, so that processes whose calls failed at the same time do not all repeat them at the same time.
 */
export class RetryDelay {
  private failureCount = 0

  private constructor (private readonly options: RetryDelayOptions) {}

  /**
   * Creates the delays of one kind of call.
   * @param options The random number generator and the limits.
   * @returns The delays, beginning with the shortest.
   */
  static create (options: RetryDelayOptions): RetryDelay {
    return new RetryDelay(options)
  }

  /**
   * Returns the delay after a failed call.
   * @returns The delay in milliseconds.
   */
  next (): number {
    const { random, shortestMilliseconds, longestMilliseconds } = this.options
    this.failureCount++
    const limit = Math.min(longestMilliseconds, shortestMilliseconds * 2 ** this.failureCount)
    const shortest = Math.max(shortestMilliseconds, limit / 2)
    return shortest + (limit - shortest) * random()
  }

  /** Starts again with the shortest delay, after a call that succeeded. */
  reset (): void {
    this.failureCount = 0
  }
}
