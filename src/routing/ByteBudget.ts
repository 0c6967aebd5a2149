/** Options of a byte budget. */
export interface ByteBudgetOptions {
  bytesPerSecond: number
  /** How many seconds of unused budget may accumulate. */
  burstSeconds: number
}

/** Limits the bytes sent over a link with a token bucket: unused budget accumulates up to a burst. */
export class ByteBudget {
  private available: number
  private updatedAt = 0

  private constructor (private readonly options: ByteBudgetOptions) {
    this.available = options.bytesPerSecond * options.burstSeconds
  }

  /**
   * Creates a full budget.
   * @param options The rate and the burst.
   * @returns The budget.
   */
  static create (options: ByteBudgetOptions): ByteBudget {
    return new ByteBudget(options)
  }

  /**
   * Spends bytes if the budget covers them.
   * @param bytes The number of bytes.
   * @param now The monotonic time in milliseconds.
   * @returns Whether the bytes were spent.
   */
  trySpend (bytes: number, now: number): boolean {
    const { bytesPerSecond, burstSeconds } = this.options
    const earned = Math.max(0, now - this.updatedAt) / 1000 * bytesPerSecond
    this.available = Math.min(bytesPerSecond * burstSeconds, this.available + earned)
    this.updatedAt = now
    if (this.available < bytes) return false
    this.available -= bytes
    return true
  }
}
