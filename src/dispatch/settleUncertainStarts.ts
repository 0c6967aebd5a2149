import { settleFencedStarts } from './fenceUncertainStarts.js'
import { settleExpiredStarts } from './settleExpiredStarts.js'
import type { WorkerReport } from './WorkerProtocol.js'
import type { WorkerRecord } from './WorkerRecord.js'

/**
 * Marks the starts without a response as known to the worker that a report shows to be rejected by its process.
 * @param worker The worker, in the incarnation that reports.
 * @param report The report.
 * @param sentAt Monotonic time at which the call was sent.
 */
export function settleUncertainStarts (worker: WorkerRecord, report: WorkerReport, sentAt: number): void {
  settleFencedStarts(worker, sentAt)
  settleExpiredStarts(worker, report.workerMilliseconds)
}
