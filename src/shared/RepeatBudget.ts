import type { Clock } from './Clock.js'

/** Options of a repeat budget. */
export interface RepeatBudgetOptions {
  clock: Clock
  /** The number of repeats per second that the budget gains. */
  repeatsPerSecond: number
  /** The maximum number of saved repeats. */
  reserve: number
  /** Returns whether this process is short of processor time, so that missing responses may be waiting to be read. */
  isOverloaded (): boolean
}

/**
 * Limits the repeats of calls without a response over time.
 *
 * Any share of the responses may be lost, so the share of calls that need repeats is not bounded. The limit is a rate
 * that the process can bear beside its other work, and nothing is repeated while the process itself is late.
 */
export class RepeatBudget {
  private tokens: number
  private updatedAt: number

  private constructor (private readonly options: RepeatBudgetOptions) {
    this.tokens = options.reserve
    this.updatedAt = options.clock.monotonicMilliseconds()
  }

  /**
   * Creates a budget with a full reserve.
   * @param options The clock and the limits.
   * @returns The budget.
   */
  static create (options: RepeatBudgetOptions): RepeatBudget {
    return new RepeatBudget(options)
  }

  /**
   * Withdraws one repeat from the budget.
   * @param keptShare The share of the reserve, from 0 to 1, that is left to more important repeats.
   * @returns Whether the repeat may be made.
   */
  tryWithdraw (keptShare = 0): boolean {
    const { clock, repeatsPerSecond, reserve, isOverloaded } = this.options
    const now = clock.monotonicMilliseconds()
    this.tokens = Math.min(reserve, this.tokens + (now - this.updatedAt) / 1000 * repeatsPerSecond)
    this.updatedAt = now
    if (this.tokens < 1 + keptShare * reserve || isOverloaded()) return false
    this.tokens--
    return true
  }
}
