import type { WorkerCapacity } from '../../src/dispatch/index.js'

/** A worker of an emulated site. */
export interface EmulatedWorkerDescription {
  workerId: string
  capacity: WorkerCapacity
  /** The kind and the rack of the worker. */
  labels: string[]
  dataCentre: string
  /** The service whose queues it runs; by default that of the first queue. */
  serviceName?: string
  /** Whether it rejects starts that do not fit; by default, it starts whatever is ordered. */
  guardsCapacity?: boolean
}
