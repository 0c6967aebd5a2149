import type { RunRecord } from '../jobs/index.js'
import type { RunLossCause } from './DispatchObserver.js'
import { isSentOnce } from './OpenStarts.js'
import type { OrderOutcome } from './WorkerProtocol.js'
import { pauseWorker, recordFailure, type WorkerRecord } from './WorkerRecord.js'

/** How long a worker gets no new work after it rejected a start as unhealthy. */
const UNHEALTHY_PAUSE_MILLISECONDS = 1500
/** How long a worker gets no new work after a start could not be sent; by then its next report call has failed too. */
const UNSENT_PAUSE_MILLISECONDS = 300

/** The time and the callbacks for applying the outcome of a start. */
export interface StartOutcomeContext {
  /** The monotonic time. */
  now: number
  stop (run: RunRecord): void
  markRunLost (run: RunRecord, cause: RunLossCause): void
}

/**
 * Applies the outcome of a start order to a run that is not over.
 * @param worker The worker.
 * @param run The run.
 * @param outcome The outcome.
 * @param context The time and the callbacks.
 */
export function applyStartOutcome (
  worker: WorkerRecord, run: RunRecord, outcome: OrderOutcome, context: StartOutcomeContext
): void {
  const { now } = context
  if (outcome.kind === 'accepted') {
    run.startUncertain = false
    run.task.hasRun = true
    run.task.step.occurrence.job.hasStarted = true
    if (run.state === 'starting') run.state = 'running'
    run.confirmedAt = now
    run.progressedAt = now
    return
  }
  if (outcome.kind === 'not-sent') pauseWorker(worker, now + UNSENT_PAUSE_MILLISECONDS)
  if (outcome.kind === 'unhealthy') pauseWorker(worker, now + UNHEALTHY_PAUSE_MILLISECONDS)
  // Reports, which have a connection of their own, may arrive while connections for orders fail.
  const hasConnectionFailed = outcome.kind === 'not-sent' && outcome.hasConnectionFailed === true
  if (outcome.kind === 'unknown' || hasConnectionFailed) recordFailure(worker, now)
  if (outcome.kind === 'unknown' || run.startUncertain) {
    run.startUncertain = true
    run.task.hasRun = true
    // A report shows whether the worker has executed the only send; a stop would end a run whose response was lost.
    const awaitsReport = run.isUnanswered && isSentOnce(run.task)
    if (run.state === 'starting' && !awaitsReport) context.stop(run)
    return
  }
  // The worker executed an earlier sending of this start, or confirmed a stop; reports show when the run is over.
  if (run.confirmedAt !== null) return
  // The reason may last, such as less free capacity than the owner knows of.
  if (outcome.kind !== 'not-sent') run.task.refusingWorkerIds.add(run.workerId)
  context.markRunLost(run, outcome.kind === 'not-sent' ? 'not-sent' : 'start-refused')
}
