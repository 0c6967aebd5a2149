import { getFencingToken, replaceOwnFence, type DispatchEngine, type WorkerClient, type WorkerRecord } from '../dispatch/index.js'
import type { RunRecord } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import { isStopAnswered } from './isStopAnswered.js'

/** The most stops between two reports, so that they delay the renewal of the lease little. */
const STOPS_PER_REPORT = 4

/** The worker that has just reported, its client and the engine. */
export interface UncertainStartsContext {
  worker: WorkerRecord
  engine: DispatchEngine
  client: WorkerClient
  clock: Clock
}

/** Whether stops were answered, so that the next report shows which runs are over, or a newer owner was found. */
export type StopsOutcome = 'none-answered' | 'answered' | 'fenced'

/**
 * Stops the runs whose start or stop got no response over the connection over which their worker has just reported.
 *
 * Answers packet loss: the connections for orders may fail for seconds while reports arrive, which renew the lease, so
 * that neither a stop nor the end of the lease would end the run or settle its start.
 * @param context The worker, its client and the engine.
 * @returns The outcome.
 */
export async function stopUncertainStarts (context: UncertainStartsContext): Promise<StopsOutcome> {
  const { worker, engine, client, clock } = context
  const uncertain = [...worker.runs.values()].filter(isUncertain)
  let answeredCount = 0
  for (const run of uncertain.slice(0, STOPS_PER_REPORT)) {
    const token = getFencingToken(worker, engine.epoch)
    const response = await client.stop(run.task.name, run.attempt, token, 'reports')
    const outcome = replaceOwnFence(response, token, getFencingToken(worker, engine.epoch))
    if (outcome.kind === 'fenced') return 'fenced'
    // The connection is likely to fail for the other stops too.
    if (!isStopAnswered(outcome)) break
    run.isStopUnanswered = false
    engine.applyStopOutcome(run, { kind: 'accepted', workerMilliseconds: null }, clock.monotonicMilliseconds())
    answeredCount++
  }
  return answeredCount > 0 ? 'answered' : 'none-answered'
}

/**
 * Returns whether a worker has runs whose start or stop got no response.
 * @param worker The worker.
 * @returns Whether `stopUncertainStarts` has something to stop.
 */
export function hasUncertainStarts (worker: WorkerRecord): boolean {
  for (const run of worker.runs.values()) if (isUncertain(run)) return true
  return false
}

function isUncertain (run: RunRecord): boolean {
  return run.state === 'stopping' && (run.isStopUnanswered || (run.startUncertain && run.confirmedAt === null))
}
