import type { AccountResources } from '../accounts/index.js'
import { compareConfigurations } from './compareConfigurations.js'
import type { ConfigurationFinding } from './ConfigurationFinding.js'
import type { DescribedConfiguration } from './DescribedConfiguration.js'
import { findAccountFaults } from './findAccountFaults.js'
import { findQueueFaults } from './findQueueFaults.js'

/** What a configuration is checked against. */
export interface CheckOptions {
  /** The version in force; null when there is none to compare with. */
  inForce: DescribedConfiguration | null
  /** The resources of the largest task that callers send; null when they are not known. */
  largestTask: AccountResources | null
}

/**
 * Checks a configuration before it is written.
 * @param described The configuration.
 * @param options The version in force and the largest task.
 * @returns The findings: errors and warnings of the configuration itself, then its differences from that in force.
 */
export function checkConfiguration (
  described: DescribedConfiguration, { inForce, largestTask }: CheckOptions
): ConfigurationFinding[] {
  return [
    ...described.faults.map((message): ConfigurationFinding => ({
      severity: 'error', kind: 'malformed', subject: { list: 'configuration', index: null, name: '' }, message
    })),
    ...findQueueFaults(described),
    ...findAccountFaults(described, largestTask),
    ...findUnusedServices(described),
    ...inForce === null ? [] : compareConfigurations(inForce, described)
  ]
}

function findUnusedServices ({ configuration, serviceNames }: DescribedConfiguration): ConfigurationFinding[] {
  const used = new Set(configuration.queues.map(({ serviceName }) => serviceName))
  return serviceNames.flatMap((name, index): ConfigurationFinding[] => used.has(name)
    ? []
    : [{
        severity: 'warning', kind: 'unused', subject: { list: 'services', index, name }, message: 'No queue uses the service.'
      }])
}
