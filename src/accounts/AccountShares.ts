import type { AccountResources } from './ClientAccount.js'
import type { AccountUsage } from './AccountUsage.js'

/**
 * Decides which accounts are within their share of a site, by weighted dominant shares.
 *
 * Load addressed: a site that is full while one account sends many times its usual rate. The starts of the accounts
 * that use less than their part come first, so the account that sends too much delays itself. What they leave goes to
 * the others, so no capacity stays idle.
 */
export class AccountShares {
  private constructor (private readonly capacity: AccountResources, private readonly weightSum: number) {}

  /**
   * Creates the shares of a plan.
   * @param capacity The resources of all workers.
   * @param active The accounts that have waiting or running work.
   * @returns The shares.
   */
  static create (capacity: AccountResources, active: Iterable<AccountUsage>): AccountShares {
    let weightSum = 0
    for (const { weight } of active) weightSum += weight
    return new AccountShares(capacity, weightSum)
  }

  /**
   * Returns the dominant share of an account.
   * @param account The account.
   * @returns The larger one of its fractions of all processors and of all memory; each start changes it at once.
   */
  getDominantShare ({ used }: AccountUsage): number {
    const { processorsMilli, memoryMegabytes } = this.capacity
    return Math.max(
      used.processorsMilli / Math.max(1, processorsMilli), used.memoryMegabytes / Math.max(1, memoryMegabytes))
  }

  /**
   * Returns the share that an even split by weight gives to an account.
   * @param account The account.
   * @returns Its weight divided by the weights of all active accounts.
   */
  getEvenShare ({ weight }: AccountUsage): number {
    return weight / Math.max(weight, this.weightSum)
  }

  /**
   * Returns whether an account has no more than its part.
   * @param account The account.
   * @returns Whether its dominant share is at most its even share.
   */
  isWithinShare (account: AccountUsage): boolean {
    return this.getDominantShare(account) <= this.getEvenShare(account)
  }
}
