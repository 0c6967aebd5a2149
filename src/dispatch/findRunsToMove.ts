import type { RunRecord } from '../jobs/index.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Checkpointing tasks are stopped unless they can complete this long before a draining worker may shut down. */
const DRAIN_MARGIN_MILLISECONDS = 1200
/** A run that was slowed for this long is moved when another worker can take it without interference. */
const SLOWED_MILLISECONDS = 1600
/** A run without checkpoints is moved only while its progress, which is lost, is at most this. */
const MAXIMUM_LOST_PERCENT = 35

/**
 * Returns the runs to move off a draining worker: long-running ones, and those that can resume elsewhere and are not
 * expected to complete in time. Other runs continue for the remaining time.
 * @param worker The draining worker.
 * @returns The runs to stop on it.
 */
export function findRunsToDrain (worker: WorkerRecord): RunRecord[] {
  const remaining = worker.entry.remainingMilliseconds ?? 0
  return [...worker.runs.values()].filter(run => {
    const { checkpointing, longRunning, estimateMilliseconds } = run.task.step.specification
    const isTooLong = estimateMilliseconds > remaining - DRAIN_MARGIN_MILLISECONDS
    return run.state === 'running' && (longRunning || (checkpointing && isTooLong))
  })
}

/**
 * Returns whether a best-effort run may be moved because its pace was low for too long and little work would be lost.
 *
 * Such a run interferes with serving tasks on its worker and would stay slow there.
 * @param run The run.
 * @param now The monotonic time.
 * @returns Whether the run may be moved if another worker can take it.
 */
export function mayMoveSlowedRun (run: RunRecord, now: number): boolean {
  if (run.slowedSince === null || now - run.slowedSince < SLOWED_MILLISECONDS || run.state !== 'running') return false
  const { fills, checkpointing } = run.task.step.specification
  return fills && (checkpointing || run.percent <= MAXIMUM_LOST_PERCENT)
}
