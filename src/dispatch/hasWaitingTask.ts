import { getOccurrenceCount, isStepReady, type JobRecord, type TaskRecord } from '../jobs/index.js'

/**
 * Returns whether a job has a task that waits to start, so that the job must be ranked.
 *
 * On sites with mostly long-running jobs, ranking all jobs in each plan costs more than this check.
 * @param job The job.
 * @param wallMilliseconds The time of day.
 * @param mayStart Returns whether no unknown run of a task can exist.
 * @returns Whether a task of a ready step waits, or an occurrence is due whose tasks are not created yet.
 */
export function hasWaitingTask (
  job: JobRecord, wallMilliseconds: number, mayStart: (task: TaskRecord) => boolean
): boolean {
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      if (step.tasks.hasIdle() && isStepReady(step) && step.tasks.hasWaiting(mayStart)) return true
    }
  }
  return isNextOccurrenceDue(job, wallMilliseconds)
}

/**
 * Returns whether an occurrence of a job is due and not created yet.
 * @param job The job, whose next occurrence is updated.
 * @param wallMilliseconds The time of day.
 * @returns Whether the next occurrence is due.
 */
export function isNextOccurrenceDue (job: JobRecord, wallMilliseconds: number): boolean {
  const { startAtMilliseconds, intervalMilliseconds, repeatCount } = job.submission.specification
  while (job.occurrences.has(job.nextOccurrenceNumber) || job.finishedOccurrences.has(job.nextOccurrenceNumber)) {
    job.nextOccurrenceNumber++
  }
  const number = job.nextOccurrenceNumber
  if (number >= getOccurrenceCount(job.submission)) return false
  return repeatCount === 0 || startAtMilliseconds + number * intervalMilliseconds <= wallMilliseconds
}
