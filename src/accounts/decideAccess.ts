import type { ClientAccount } from './ClientAccount.js'

/** What decides whether a call may use its queue. */
export interface AccessConditions {
  /** Whether callers of this site need keys. */
  areKeysRequired: boolean
  /** Whether the queue is open to callers without a key. */
  isPublic: boolean
  /** The account of the key of the call; null without a key and for an unknown one. */
  account: ClientAccount | null
  /** The milliseconds since the newest read of the configuration was sent. */
  configurationAge: number
  /** The age above which the configuration may still name keys that were removed too long ago; Infinity for none. */
  configurationAgeLimit: number
}

/**
 * Whether a call may use its queue: `outdated` means that this instance cannot tell, because the key may have been
 * removed, or added, by a configuration that it has not read.
 */
export type AccessDecision =
  | { kind: 'allowed', account: ClientAccount | null }
  | { kind: 'unknown-key' }
  | { kind: 'outdated' }

/**
 * Decides whether a call may use its queue.
 *
 * Answers instances that are cut off from the store while keys are removed: a call is allowed only if its key was valid
 * at a read of the configuration that was sent less than the limit before.
 * @param conditions The queue, the key and the age of the configuration.
 * @returns The decision; the account is null on a site without accounts, and for a public queue without a known key.
 */
export function decideAccess (conditions: AccessConditions): AccessDecision {
  const { areKeysRequired, isPublic, account, configurationAge, configurationAgeLimit } = conditions
  if (!areKeysRequired) return { kind: 'allowed', account: null }
  if (isPublic) return { kind: 'allowed', account }
  if (configurationAge >= configurationAgeLimit) return { kind: 'outdated' }
  return account === null ? { kind: 'unknown-key' } : { kind: 'allowed', account }
}
