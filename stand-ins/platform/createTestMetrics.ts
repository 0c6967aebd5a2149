import { Registry } from 'prom-client'
import { createInstanceMetrics, type InstanceMetrics } from '../../src/instance/InstanceMetrics.js'

/**
 * Creates the metrics of an instance without jobs and workers, in a registry of their own.
 * @param isOwner Whether the instance reports itself as owner.
 * @returns The metrics.
 */
export function createTestMetrics (isOwner: boolean): InstanceMetrics {
  return createInstanceMetrics(new Registry(), {
    isOwner: () => isOwner, countLiveJobs: () => 0, countUnreconciledWorkers: () => 0, countOpenStarts: () => 0
  })
}
