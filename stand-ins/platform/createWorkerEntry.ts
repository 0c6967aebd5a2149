import type { WorkerEntry } from '../../src/dispatch/index.js'

/**
 * Creates the list entry of a small worker that is ready to run tasks.
 * @param entry The fields that differ from the default entry.
 * @returns The entry.
 */
export function createWorkerEntry (entry: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    workerId: 'worker-0',
    serviceName: 'desk',
    address: 'host:1',
    dataCentre: 'south-a',
    state: 'ready',
    labels: ['a'],
    capacity: { processorsMilli: 4000, memoryMegabytes: 16_000, accelerators: 0 },
    bornAtMilliseconds: 1,
    remainingMilliseconds: null,
    ...entry
  }
}
