import type { JobRecord, OccurrenceRecord } from '../jobs/index.js'

/**
 * Returns whether a task of an occurrence is done, runs, or has run. Starts that exceed unused processors do not count:
 * they do not wait for the turn of their job, so they do not change it.
 * @param occurrence The occurrence.
 * @returns Whether it has begun.
 */
export function hasStartedOccurrence ({ steps, hasOnlyExcessStarts }: OccurrenceRecord): boolean {
  return !hasOnlyExcessStarts && steps.some(({ tasks }) => {
    if (tasks.remainingCount < tasks.count) return true
    for (const task of tasks.getAllCreated()) if (task.runs.length > 0 || task.hasRun) return true
    return false
  })
}

/**
 * Returns whether a job has an occurrence that has begun and is not complete.
 * @param job The job.
 * @returns Whether a task of such an occurrence is done, runs, or has run.
 */
export function hasStartedTask (job: JobRecord): boolean {
  for (const occurrence of job.occurrences.values()) if (hasStartedOccurrence(occurrence)) return true
  return false
}
