import type { RunRecord } from '../jobs/index.js'
import { hasOpenSend } from './OpenStarts.js'
import { clearProcessState, type WorkerRecord } from './WorkerRecord.js'

/** The callbacks for the runs of an earlier incarnation of a worker. */
export interface EarlierIncarnationContext {
  stop (run: RunRecord): void
  /** Handles a run that has ended with its process. */
  markRunLost (run: RunRecord): void
}

/**
 * Handles a new incarnation of a worker, which runs nothing of the earlier one. A start that was sent after the last
 * report of the earlier incarnation, or got no response, may still reach the new one, so its run is stopped and is over
 * only when a later report does not list it. The same holds for a start of which one of several sends got no response.
 * @param worker The worker.
 * @param context The callbacks.
 */
export function endEarlierIncarnation (worker: WorkerRecord, context: EarlierIncarnationContext): void {
  for (const run of [...worker.runs.values()]) {
    if (run.sentAt <= worker.reportedAt && !run.startUncertain && !hasOpenSend(run)) {
      context.markRunLost(run)
    } else {
      run.startUncertain = true
      // The clock of the new incarnation starts anew.
      run.startDeadline = Infinity
      context.stop(run)
    }
  }
  clearProcessState(worker)
  worker.mayHaveRestarted = true
}
