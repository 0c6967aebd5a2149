/** Amounts of the resources that tasks ask for. */
export interface AccountResources {
  /** Thousandths of a processor. */
  processorsMilli: number
  memoryMegabytes: number
  accelerators: number
}

/** A client account, as operators configure it. */
export interface ClientAccount {
  name: string
  /** The SHA-256 digests of the keys of its callers, in hexadecimal; the keys themselves are not kept. */
  keyDigests: string[]
  /** The share of the account, relative to the other accounts, when a site has no room for all work. */
  weight: number
  /** The most that its tasks may have reserved on all workers together; 0 for no limit. */
  cap: AccountResources
}
