import type { QueueConfiguration } from './SiteConfiguration.js'

/** The queues of one host. */
interface HostQueues {
  /** The first queue of each prefix. */
  readonly byPrefix: Map<string, QueueConfiguration>
  /** The different lengths of the prefixes, the longest first. */
  readonly prefixLengths: number[]
}

/**
 * Finds queues by host and longest path prefix, with one look-up for each length of a prefix.
 *
 * Answers a site with thousands of queues: a scan of all of them for each request delays every other activity of an
 * instance with a fraction of a processor.
 */
export class QueueIndex {
  private readonly hosts = new Map<string, HostQueues>()

  private constructor () {}

  /**
   * Creates an index.
   * @param queues The queues, in the order of the configuration.
   * @returns The index.
   */
  static create (queues: Iterable<QueueConfiguration>): QueueIndex {
    const index = new QueueIndex()
    for (const queue of queues) index.add(queue)
    return index
  }

  /**
   * Finds the queue of a host with the longest prefix of a path.
   * @param host The host of the request.
   * @param path The path of the request.
   * @returns The queue, the first one of those with equal prefixes, or undefined when none matches.
   */
  find (host: string, path: string): QueueConfiguration | undefined {
    const queues = this.hosts.get(host)
    if (queues === undefined) return undefined
    for (const length of queues.prefixLengths) {
      if (length > path.length) continue
      const found = queues.byPrefix.get(path.slice(0, length))
      if (found !== undefined) return found
    }
    return undefined
  }

  private add (queue: QueueConfiguration): void {
    const { host, pathPrefix } = queue
    let queues = this.hosts.get(host)
    if (queues === undefined) {
      queues = { byPrefix: new Map(), prefixLengths: [] }
      this.hosts.set(host, queues)
    }
    if (queues.byPrefix.has(pathPrefix)) return
    queues.byPrefix.set(pathPrefix, queue)
    const { prefixLengths } = queues
    if (prefixLengths.includes(pathPrefix.length)) return
    const position = prefixLengths.findIndex(length => length < pathPrefix.length)
    prefixLengths.splice(position < 0 ? prefixLengths.length : position, 0, pathPrefix.length)
  }
}
