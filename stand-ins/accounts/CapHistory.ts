import type { AccountResources, ClientAccount } from '../../src/accounts/index.js'

/** The resources that a cap limits. */
export const CAPPED_RESOURCES = ['processorsMilli', 'memoryMegabytes', 'accelerators'] as const

/** Times that decide which versions of a configuration may be in force. */
export interface CapHistoryOptions {
  /** The monotonic time in milliseconds. */
  now (): number
  /** Returns the monotonic time at which the store was last disturbed, -Infinity if it never was. */
  getStoreDisturbedAt (): number
}

/** A version of the accounts, and when the next one replaced it. */
interface AccountsVersion {
  caps: ReadonlyMap<string, AccountResources>
  replacedAt: number
}

/** A version must be applied within this time, on the pages `configApplyMs`. */
const APPLY_MILLISECONDS = 4000
/** A version must be applied within this time when the store was disturbed after it was written. */
const DISTURBED_APPLY_MILLISECONDS = 10_000

/** The caps of all versions of a configuration, and which of them may be in force. */
export class CapHistory {
  private readonly versions: AccountsVersion[] = []

  private constructor (private readonly options: CapHistoryOptions) {}

  /**
   * Creates a history without versions.
   * @param options The clock and the disturbances of the store.
   * @returns The history.
   */
  static create (options: CapHistoryOptions): CapHistory {
    return new CapHistory(options)
  }

  /** Records that a version has been written; accounts that it does not name keep their last caps. */
  recordVersion (accounts: readonly ClientAccount[]): void {
    const previous = this.versions.at(-1)
    if (previous !== undefined) previous.replacedAt = this.options.now()
    const caps = new Map(previous?.caps ?? [])
    for (const { name, cap } of accounts) caps.set(name, cap)
    this.versions.push({ caps, replacedAt: Infinity })
  }

  /**
   * Returns the highest caps of the versions that may be in force now.
   * @param accountName The account.
   * @returns The limit of each resource, Infinity for none; null if no such version names the account.
   */
  getHighest (accountName: string): AccountResources | null {
    return this.combine(accountName, Math.max)
  }

  /** Returns the lowest caps of the versions that may be in force now, in the form of `getHighest`. */
  getLowest (accountName: string): AccountResources | null {
    return this.combine(accountName, Math.min)
  }

  private combine (
    accountName: string, choose: (left: number, right: number) => number
  ): AccountResources | null {
    let combined: AccountResources | null = null
    for (const version of this.versions) {
      const cap = version.caps.get(accountName)
      if (cap === undefined || !this.mayBeInForce(version)) continue
      const limits = { ...cap }
      for (const resource of CAPPED_RESOURCES) {
        const limit = cap[resource] === 0 ? Infinity : cap[resource]
        limits[resource] = combined === null ? limit : choose(combined[resource], limit)
      }
      combined = limits
    }
    return combined
  }

  /** Returns whether an instance may still apply a version: its successor need not have been applied yet. */
  private mayBeInForce ({ replacedAt }: AccountsVersion): boolean {
    const now = this.options.now()
    if (now - replacedAt <= APPLY_MILLISECONDS) return true
    const disturbedAt = this.options.getStoreDisturbedAt()
    if (disturbedAt < replacedAt || now - disturbedAt > APPLY_MILLISECONDS) return false
    return now - replacedAt <= DISTURBED_APPLY_MILLISECONDS
  }
}
