import type { RunRecord } from '../jobs/index.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** A task of 5 s shows a new percent each 50 ms, so this long without one is no slow task. */
const STALL_MILLISECONDS = 1500
/** A run that is paced below this may show no progress for long. */
const MINIMUM_PACE_PERCENT = 10

/**
 * Finds runs that stand still although their worker lists them as running.
 *
 * Answers workers that hang: their calls are answered and their tasks make no progress, so only the percentages tell.
 * Tasks that fill may stand still for want of processors, so they count only beside a task that has its own.
 * @param worker The worker, with the newest report applied.
 * @param now The monotonic time.
 * @returns The runs that made no progress for too long.
 */
export function findStalledRuns (worker: WorkerRecord, now: number): RunRecord[] {
  const stalled = [...worker.runs.values()].filter(run => {
    const isThrottled = run.pacePercent < MINIMUM_PACE_PERCENT
    if (run.state !== 'running' || run.task.step.specification.longRunning || isThrottled) return false
    return now - run.progressedAt > STALL_MILLISECONDS
  })
  return stalled.some(run => !run.task.step.specification.fills) ? stalled : []
}
