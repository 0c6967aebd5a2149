import type { ResourceSize } from '../workers/WorkerProtocol.js'

/** The role of an instance in the platform's instance list. */
export type InstanceRole = 'upstream' | 'worker' | 'entry' | 'scheduler'

/** An instance in the platform's instance list, which lags behind the actual state. */
export interface ListedInstance {
  instanceId: string
  role: InstanceRole
  /** Host and port, for example `127.0.0.1:8001`. */
  address: string
  dataCentre: string
  region: string
  rack: string
  state: 'live' | 'leaving'
  /** The capacity of a worker; other roles have none. */
  capacity?: ResourceSize
  /** The service that an upstream serves; other roles have none. */
  service?: string
  slots?: number
  connections?: number
}

/** The outcome of reading the platform's list. */
export type InstanceListOutcome =
  | { kind: 'ok', instances: ListedInstance[] }
  | { kind: 'unavailable', reason: string }

/** Reads the platform's list of live and leaving instances, which lags behind the actual state. */
export interface InstanceListSource {
  readInstances (): Promise<InstanceListOutcome>
}
