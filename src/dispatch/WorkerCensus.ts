import type { ReadOutcome } from '../table/TableService.js'

/**
 * Reports which worker processes are running, according to the platform that runs them.
 *
 * A worker that is not reported is proven to run nothing. The list of workers proves no such thing: a worker leaves it
 * only after seconds without heartbeats, and also when it is merely unreachable.
 */
export interface WorkerCensus {
  /** Reads the identifiers of all workers whose process is running. */
  listLiveWorkers (): Promise<ReadOutcome<ReadonlySet<string>>>
}
