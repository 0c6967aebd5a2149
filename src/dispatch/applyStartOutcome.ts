import type { RunRecord } from '../jobs/index.js'
import type { RunLossCause } from './DispatchObserver.js'
import type { OrderOutcome } from './WorkerProtocol.js'
import { pauseWorker, type WorkerRecord } from './WorkerRecord.js'

/** How long a worker gets no new work after it turned a start away as unhealthy. */
const UNHEALTHY_PAUSE_MILLISECONDS = 1500
/** A worker that a start could not be sent to gets none for this long; by then a call for its lists has failed too. */
const UNSENT_PAUSE_MILLISECONDS = 300

/** What applying an outcome needs beside the run. */
export interface StartOutcomeContext {
  now: number
  stop (run: RunRecord): void
  markRunLost (run: RunRecord, cause: RunLossCause): void
}

/**
 * Applies the outcome of a start to a run that is not known to be over.
 * @param worker The worker.
 * @param run The run.
 * @param outcome What the worker answered.
 * @param context The time, and what follows from a start that failed.
 */
export function applyStartOutcome (
  worker: WorkerRecord, run: RunRecord, outcome: OrderOutcome, context: StartOutcomeContext
): void {
  const { now } = context
  if (outcome.kind === 'accepted') {
    run.startUncertain = false
    run.task.step.occurrence.job.hasStarted = true
    if (run.state === 'starting') run.state = 'running'
    run.confirmedAt = now
    run.progressedAt = now
    return
  }
  if (outcome.kind === 'not-sent') pauseWorker(worker, now + UNSENT_PAUSE_MILLISECONDS)
  if (outcome.kind === 'unhealthy') pauseWorker(worker, now + UNHEALTHY_PAUSE_MILLISECONDS)
  if (outcome.kind === 'unknown' || run.startUncertain) {
    run.startUncertain = true
    if (run.state === 'starting') context.stop(run)
    return
  }
  // Another try of the same start was carried out, or a stop was answered: lists tell when the run is over.
  if (run.confirmedAt !== null) return
  context.markRunLost(run, outcome.kind === 'not-sent' ? 'not-sent' : 'start-refused')
}
