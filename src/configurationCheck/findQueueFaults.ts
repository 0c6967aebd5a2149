import type { QueueConfiguration } from '../instance/index.js'
import type { ConfigurationFinding, FindingKind, FindingSeverity } from './ConfigurationFinding.js'
import type { DescribedConfiguration } from './DescribedConfiguration.js'

/**
 * Finds queues that no request reaches, that no worker serves, or whose limits contradict each other.
 * @param described The configuration.
 * @returns The findings, in the order of the queues.
 */
export function findQueueFaults ({ configuration, serviceNames }: DescribedConfiguration): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = []
  const firstByName = new Map<string, number>()
  const firstByAddress = new Map<string, QueueConfiguration>()
  for (const [index, queue] of configuration.queues.entries()) {
    const add = (severity: FindingSeverity, kind: FindingKind, message: string): void => {
      findings.push({ severity, kind, subject: { list: 'queues', index, name: queue.name }, message })
    }
    if (queue.name === '') add('error', 'malformed', 'The queue has no name.')
    const earlierIndex = firstByName.get(queue.name)
    if (earlierIndex !== undefined) add('error', 'duplicate', `Entry ${earlierIndex} has the same name.`)
    else firstByName.set(queue.name, index)
    if (!serviceNames.includes(queue.serviceName)) {
      add('error', 'missing-service', `The configuration describes no service ${JSON.stringify(queue.serviceName)}.`)
    }
    const obstacle = getMatchObstacle(queue)
    if (obstacle !== null) add('warning', 'never-matches', obstacle)
    const address = `${queue.host} ${queue.pathPrefix}`
    const hiding = firstByAddress.get(address)
    if (hiding !== undefined) {
      add('warning', 'never-matches', `Queue ${hiding.name} precedes it with the same host and prefix.`)
    } else {
      firstByAddress.set(address, queue)
    }
    for (const contradiction of getContradictions(queue)) add('warning', 'contradiction', contradiction)
  }
  return findings
}

/** Returns why no request can reach a queue, whatever the other queues are; null when one can. */
function getMatchObstacle ({ host, pathPrefix }: QueueConfiguration): string | null {
  if (host === '' || host.includes(':')) return 'The host is empty or has a port; it is compared without the port.'
  if (!pathPrefix.startsWith('/')) return 'The prefix does not begin with "/", as each path does.'
  if (pathPrefix.includes('?') || pathPrefix.includes('#')) return 'The prefix has a query, which is not compared.'
  return null
}

function getContradictions (queue: QueueConfiguration): string[] {
  const { attemptLimit, priority, stretch, targetLatencyMilliseconds, timeoutMilliseconds } = queue
  const contradictions: string[] = []
  if (stretch < 1 && targetLatencyMilliseconds <= 0) {
    contradictions.push('No job can end in time: the stretch is below 1 and there is no target latency.')
  }
  if (timeoutMilliseconds > 0 && targetLatencyMilliseconds > timeoutMilliseconds) {
    contradictions.push('The target latency is above the timeout, so that callers leave before it.')
  }
  if (attemptLimit < 1 || !Number.isInteger(attemptLimit)) {
    contradictions.push('The limit of attempts is not a whole number of at least 1.')
  }
  if (priority < 0 || !Number.isInteger(priority)) contradictions.push('The priority is not a whole number of at least 0.')
  return contradictions
}
