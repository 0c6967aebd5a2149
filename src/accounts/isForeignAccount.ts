/**
 * Returns whether a caller may not see a job because it belongs to another client account.
 * @param callerAccount The account of the caller; null without a key, when only the queue decides.
 * @param jobAccount The account of the job; undefined for a job without one, or when it is not known.
 * @returns Whether both have accounts and these differ.
 */
export function isForeignAccount (callerAccount: string | null, jobAccount: string | undefined): boolean {
  return callerAccount !== null && jobAccount !== undefined && callerAccount !== jobAccount
}
