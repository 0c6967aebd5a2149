import { AccountUsage } from './AccountUsage.js'
import type { ClientAccount } from './ClientAccount.js'

/** The client accounts of a site with what they have running, by name. */
export class AccountDirectory {
  /** All jobs without an account, which together count as one account without a cap. */
  private readonly withoutAccount = AccountUsage.create(null)
  private readonly usages = new Map<string, AccountUsage>()
  private hasConfiguredAccounts = false
  private hasConfiguredCaps = false

  private constructor () {}

  /**
   * Creates a directory without accounts.
   * @returns The directory.
   */
  static create (): AccountDirectory {
    return new AccountDirectory()
  }

  /** Whether the newest configuration has accounts. */
  get hasAccounts (): boolean {
    return this.hasConfiguredAccounts
  }

  /** Whether any account has a cap. */
  get hasCaps (): boolean {
    return this.hasConfiguredCaps
  }

  /**
   * Applies the accounts of a configuration. An account that it does not have keeps its last known cap and weight.
   * @param accounts The accounts; null for a configuration that has no list of them.
   */
  setAccounts (accounts: readonly ClientAccount[] | null): void {
    for (const account of accounts ?? []) this.getUsage(account.name).configure(account)
    this.hasConfiguredAccounts = accounts !== null && accounts.length > 0
    this.hasConfiguredCaps = [...this.usages.values()].some(usage => usage.hasCap)
  }

  /**
   * Returns the usage of an account.
   * @param name The name; undefined for jobs without an account.
   * @returns The usage, the same object for each call; one without a cap for a name that no configuration had.
   */
  getUsage (name: string | undefined): AccountUsage {
    if (name === undefined) return this.withoutAccount
    let usage = this.usages.get(name)
    if (usage === undefined) {
      usage = AccountUsage.create(name)
      this.usages.set(name, usage)
    }
    return usage
  }

  /** Whether any configuration, or any job, has named an account. */
  get hasKnownAccounts (): boolean {
    return this.usages.size > 0
  }

  /** Returns the usages of all accounts, last that of the jobs without one. */
  getAll (): AccountUsage[] {
    return [...this.usages.values(), this.withoutAccount]
  }
}
