import { AccountKeys, type ClientAccount } from '../accounts/index.js'
import { QueueIndex } from './QueueIndex.js'

/** A queue of jobs, as operators configure it. */
export interface QueueConfiguration {
  name: string
  host: string
  pathPrefix: string
  serviceName: string
  priority: number
  attemptLimit: number
  stretch: number
  targetLatencyMilliseconds: number
  timeoutMilliseconds: number
  /** Whether callers need no key; by default they do on a site with client accounts. */
  isPublic?: boolean
}

/** The configuration of a site, which operators write. */
export interface SiteConfiguration {
  version: number
  queues: QueueConfiguration[]
  maximumBodyBytes: number
  /** The client accounts; absent or null for a configuration that has no list of them. */
  accounts?: ClientAccount[] | null
}

/** The index of each configuration that has been searched. */
const indexes = new WeakMap<SiteConfiguration, QueueIndex>()

/**
 * Finds the queue of a request, which has the host of the request and the longest prefix of its path.
 * @param configuration The configuration, which does not change.
 * @param host The host of the request.
 * @param path The path of the request.
 * @returns The queue, the first one of those with equal prefixes, or undefined when none matches.
 */
export function findQueue (
  configuration: SiteConfiguration, host: string, path: string
): QueueConfiguration | undefined {
  let index = indexes.get(configuration)
  if (index === undefined) {
    index = QueueIndex.create(configuration.queues)
    indexes.set(configuration, index)
  }
  return index.find(host, path)
}

/** The index of the keys of each configuration that has been searched. */
const keyIndexes = new WeakMap<SiteConfiguration, AccountKeys>()

/**
 * Finds the client account of a key.
 * @param configuration The configuration, which does not change.
 * @param key The key as a caller sends it.
 * @returns The account, or null for an unknown key.
 */
export function findAccount (configuration: SiteConfiguration, key: string): ClientAccount | null {
  let keys = keyIndexes.get(configuration)
  if (keys === undefined) {
    keys = AccountKeys.create(configuration.accounts ?? [])
    keyIndexes.set(configuration, keys)
  }
  return keys.find(key)
}
