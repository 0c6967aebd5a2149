import type { RunRecord } from '../jobs/index.js'
import { pauseWorker, type WorkerRecord } from './WorkerRecord.js'

/** A task of 5 s advances by one percent every 50 ms, so a run without progress for this long is not merely slow. */
const STALL_MILLISECONDS = 1500
/**
 * A task that stalled on one worker may be a long one, whose progress in whole percent is not visible for longer: each
 * stall multiplies the limit for its next run.
 */
const STALL_LIMIT_FACTOR = 4
/** After so many stalls, the limit of the next run is 1.7 hours. */
const LONGEST_LIMIT_STALLS = 6
/** A run without progress for this many times its average time for one percent is not merely uneven. */
const UNEVEN_PROGRESS_FACTOR = 4
/** A worker with stalled runs gets no new work for this time; the next task then probes whether it works. */
const STALLED_PAUSE_MILLISECONDS = 3000
/** A run with a pace below this may make no visible progress for long. */
const MINIMUM_PACE_PERCENT = 10

/**
 * Returns runs that make no progress although their worker reports them as running.
 *
 * Detects workers that hang: they respond to calls, so only the progress of their runs shows the fault. Best-effort
 * runs may make no progress for lack of processors, so they count only if a run with reserved processors stalls too.
 * @param worker The worker, with the latest report applied.
 * @param now The monotonic time.
 * @returns The stalled runs.
 */
export function findStalledRuns (worker: WorkerRecord, now: number): RunRecord[] {
  const stalled = [...worker.runs.values()].filter(run => {
    const isThrottled = run.pacePercent < MINIMUM_PACE_PERCENT
    if (run.state !== 'running' || run.task.step.specification.longRunning || isThrottled) return false
    return now - run.progressedAt > getStallLimit(run)
  })
  return stalled.some(run => !run.task.step.specification.fills) ? stalled : []
}

/**
 * Pauses a worker with stalled runs, and lets their tasks avoid it.
 * @param worker The worker.
 * @param stalled The stalled runs, of which there is at least one.
 * @param now The monotonic time.
 */
export function pauseStalledWorker (worker: WorkerRecord, stalled: readonly RunRecord[], now: number): void {
  pauseWorker(worker, now + STALLED_PAUSE_MILLISECONDS)
  for (const { task } of stalled) {
    task.failedWorkerIds.add(worker.entry.workerId)
    task.stallCount++
  }
}

/** Returns how long a run may show no progress, in milliseconds. */
function getStallLimit (run: RunRecord): number {
  const limit = STALL_MILLISECONDS * STALL_LIMIT_FACTOR ** Math.min(LONGEST_LIMIT_STALLS, run.task.stallCount)
  if (run.percent <= 0) return limit
  const percentMilliseconds = (run.progressedAt - run.startedAt) / run.percent
  return Math.max(limit, percentMilliseconds * UNEVEN_PROGRESS_FACTOR)
}
