import type { WorkerReport } from './WorkerProtocol.js'

/** The maximum number of ends in one report; further ones follow after an acknowledgement. */
const MAXIMUM_LISTED_ENDS = 500

/**
 * Returns whether a report lists all ends that its worker holds. Only then does it show that a run which it lists
 * neither as running nor as ended is not on the worker.
 * @param report The report.
 * @returns False if further ends may follow after an acknowledgement.
 */
export function listsAllEnds ({ ended }: WorkerReport): boolean {
  return ended.length < MAXIMUM_LISTED_ENDS
}
