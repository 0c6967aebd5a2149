import type { ReadOutcome } from '../table/TableService.js'

/**
 * Tells which workers' processes live, as the platform that runs them knows it.
 *
 * Unlike the list of workers, which a worker leaves only after it was silent for seconds and also when it is merely cut
 * off, the census proves that a worker which it does not name runs nothing.
 */
export interface WorkerCensus {
  /** Reads the identifiers of all workers that live. */
  listLiveWorkers (): Promise<ReadOutcome<ReadonlySet<string>>>
}
