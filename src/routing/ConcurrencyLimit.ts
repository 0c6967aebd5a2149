/** Counts the concurrent uses of a resource and keeps them within a limit. */
export class ConcurrencyLimit {
  private used = 0

  private constructor (private limit: number) {}

  /**
   * Creates a limit without uses.
   * @param options The maximum number of concurrent uses, an integer.
   * @returns The limit.
   */
  static create (options: { limit: number }): ConcurrencyLimit {
    return new ConcurrencyLimit(options.limit)
  }

  /**
   * Acquires one use if the limit allows it.
   * @returns Whether the use was acquired; each acquired use must be released once with `release`.
   */
  tryAcquire (): boolean {
    if (this.used >= this.limit) return false
    this.used++
    return true
  }

  /** Releases one use; throws when there is none, because the count is then wrong. */
  release (): void {
    if (this.used === 0) throw new Error('release was called more often than tryAcquire succeeded')
    this.used--
  }

  /**
   * Changes the limit; uses above a lower limit stay until they are released.
   * @param limit The maximum number of concurrent uses.
   */
  setLimit (limit: number): void {
    this.limit = limit
  }

  /**
   * Returns the number of uses.
   * @returns The current number of uses.
   */
  getUsed (): number {
    return this.used
  }

  /**
   * Returns the limit.
   * @returns The maximum number of concurrent uses.
   */
  getLimit (): number {
    return this.limit
  }
}
