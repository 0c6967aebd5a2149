import type { RunRecord } from '../jobs/index.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** A draining worker's resumable tasks leave this long before its least remaining time ends. */
const DRAIN_MARGIN_MILLISECONDS = 1200
/** A run that was slowed for this long is moved, where another worker can take it without harm. */
const SLOWED_MILLISECONDS = 1600
/** A run without checkpoints is moved only while it would lose at most this much of its work. */
const MAXIMUM_LOST_PERCENT = 35

/**
 * Finds runs that must leave a draining worker: those that can resume, or that never end. Others get the time that is
 * left.
 * @param worker The draining worker.
 * @returns The runs to be stopped there.
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
 * Tells whether a run was slow for so long that it may go on elsewhere, where that costs little work.
 *
 * Answers tasks that fill and must stay slow beside what they disturb.
 * @param run The run.
 * @param now The monotonic time.
 * @returns Whether another worker may be looked for.
 */
export function mayMoveSlowedRun (run: RunRecord, now: number): boolean {
  if (run.slowedSince === null || now - run.slowedSince < SLOWED_MILLISECONDS || run.state !== 'running') return false
  const { fills, checkpointing } = run.task.step.specification
  return fills && (checkpointing || run.percent <= MAXIMUM_LOST_PERCENT)
}
