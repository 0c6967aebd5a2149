import type { RunTimeRatios } from '../admission/RunTimeRatios.js'
import type { RunRecord } from '../jobs/index.js'

/**
 * Records how long the run of a completed task has taken, relative to its estimate.
 * @param ratios The ratios of ended runs.
 * @param run The run; one that an earlier owner started is left out.
 * @param now The monotonic time of its end.
 */
export function recordRunTime (ratios: RunTimeRatios, run: RunRecord, now: number): void {
  const { task: { step }, isAdopted, confirmedAt, startedAt } = run
  const { specification: { longRunning, estimateMilliseconds, fills }, occurrence } = step
  if (isAdopted || longRunning || estimateMilliseconds <= 0) return
  const ratio = (now - (confirmedAt ?? startedAt)) / estimateMilliseconds
  ratios.recordRun(occurrence.job.submission.queueName, fills, ratio, now)
}
