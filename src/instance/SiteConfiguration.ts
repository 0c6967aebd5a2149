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
}

/** The configuration of a site, which operators write. */
export interface SiteConfiguration {
  version: number
  queues: QueueConfiguration[]
  maximumBodyBytes: number
}

/**
 * Finds the queue of a request, which has the host of the request and the longest prefix of its path.
 * @param configuration The configuration.
 * @param host The host of the request.
 * @param path The path of the request.
 * @returns The queue, or undefined when none matches.
 */
export function findQueue (
  configuration: SiteConfiguration, host: string, path: string
): QueueConfiguration | undefined {
  let found: QueueConfiguration | undefined
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
    if (found === undefined || queue.pathPrefix.length > found.pathPrefix.length) found = queue
  }
  return found
}
