import { createHash } from 'node:crypto'
import type { ClientAccount } from './ClientAccount.js'

/**
 * Returns the digest by which a key is kept and compared.
 * @param key The key as a caller sends it.
 * @returns The SHA-256 digest in hexadecimal.
 */
export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Finds the client account of a key with one digest and one look-up, however many accounts and keys there are. */
export class AccountKeys {
  private readonly accounts = new Map<string, ClientAccount>()

  private constructor () {}

  /**
   * Creates an index of the keys of accounts.
   * @param accounts The accounts; a key that several of them hold belongs to the first.
   * @returns The index.
   */
  static create (accounts: Iterable<ClientAccount>): AccountKeys {
    const keys = new AccountKeys()
    for (const account of accounts) {
      for (const digest of account.keyDigests) if (!keys.accounts.has(digest)) keys.accounts.set(digest, account)
    }
    return keys
  }

  /**
   * Finds the account of a key.
   * @param key The key as a caller sends it.
   * @returns The account, or null for an unknown key.
   */
  find (key: string): ClientAccount | null {
    return this.accounts.get(digestKey(key)) ?? null
  }
}
