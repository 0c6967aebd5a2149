import { isUnsettledStart } from './fenceUncertainStarts.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Time after the deadline of a start, on the worker's clock, from which a report shows that it was not executed. */
const DEADLINE_MARGIN_MILLISECONDS = 100

/**
 * Marks the starts without a response as known to the worker whose deadline has passed on its clock: it rejects them
 * from then on, so that they are over unless its report lists them.
 * @param worker The worker, in the incarnation that reports.
 * @param workerMilliseconds The reading of the worker's clock in the report.
 */
export function settleExpiredStarts (worker: WorkerRecord, workerMilliseconds: number): void {
  for (const run of worker.runs.values()) {
    const isExpired = workerMilliseconds > run.startDeadline + DEADLINE_MARGIN_MILLISECONDS
    if (isExpired && isUnsettledStart(run)) run.confirmedAt = run.sentAt
  }
}
