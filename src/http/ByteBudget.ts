/** What holds bytes of a budget, and can be made to give them back. */
export interface BudgetHolder {
  /** Returns whether `evict` may be called. */
  isEvictable (): boolean
  /** Gives the bytes back, by `ByteBudget.release`. */
  evict (): void
}

interface Holding {
  bytes: number
}

/** A number of bytes that the connections of several servers share. */
export class ByteBudget {
  /** In the order in which the holders began to hold bytes. */
  private readonly holdings = new Map<BudgetHolder, Holding>()
  private heldBytes = 0

  private constructor (private readonly maximumBytes: number) {}

  /**
   * Creates a budget of which nothing is held.
   * @param maximumBytes The bytes that may be held.
   * @returns The budget.
   */
  static create (maximumBytes: number): ByteBudget {
    return new ByteBudget(maximumBytes)
  }

  /**
   * Adds bytes to what a holder holds. If the budget would be exceeded, the holder of most bytes is evicted, of equal
   * ones that which has held bytes for longest; this may be the holder itself.
   * @param holder The holder.
   * @param bytes The number of bytes.
   * @returns Whether the holder holds the bytes.
   */
  hold (holder: BudgetHolder, bytes: number): boolean {
    const holding = this.holdings.get(holder) ?? { bytes: 0 }
    holding.bytes += bytes
    this.heldBytes += bytes
    this.holdings.set(holder, holding)
    while (this.heldBytes > this.maximumBytes) {
      const largest = this.findLargest()
      if (largest === null) {
        this.release(holder, bytes)
        return false
      }
      largest.evict()
      this.release(largest)
      if (largest === holder) return false
    }
    return true
  }

  /**
   * Takes bytes back from a holder.
   * @param holder The holder.
   * @param bytes The number of bytes; by default all that it holds.
   */
  release (holder: BudgetHolder, bytes = Infinity): void {
    const holding = this.holdings.get(holder)
    if (holding === undefined) return
    const released = Math.min(bytes, holding.bytes)
    holding.bytes -= released
    this.heldBytes -= released
    if (holding.bytes === 0) this.holdings.delete(holder)
  }

  private findLargest (): BudgetHolder | null {
    let largest: BudgetHolder | null = null
    let bytes = 0
    for (const [holder, holding] of this.holdings) {
      if (holding.bytes > bytes && holder.isEvictable()) {
        largest = holder
        bytes = holding.bytes
      }
    }
    return largest
  }
}
