/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** The share of a retry, from 0 to 1, that each first attempt adds to the budget. */
  ratio: number
  /** The maximum number of saved retries, so that a short fault after a quiet period does not exhaust the budget. */
  reserve: number
}

/** Limits retries to a fixed share of the first attempts. */
export class RetryBudget {
  private tokens: number

  private constructor (private readonly options: RetryBudgetOptions) {
    this.tokens = options.reserve
  }

  /**
   * Creates a budget with a full reserve.
   * @param options The ratio and the reserve, both in retries.
   * @returns The budget.
   */
  static create (options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options)
  }

  /** Adds the share of a retry that a first attempt earns. */
  deposit (): void {
    this.tokens = Math.min(this.options.reserve, this.tokens + this.options.ratio)
  }

  /**
   * Withdraws one retry from the budget.
   * @returns Whether the retry may be made.
   */
  tryWithdraw (): boolean {
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
