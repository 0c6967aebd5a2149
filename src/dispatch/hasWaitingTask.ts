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
      const isWaiting = step.doneCount < step.tasks.length &&
        step.tasks.some(task => !task.done && task.runs.length === 0 && mayStart(task))
      if (isWaiting && isStepReady(step)) return true
    }
  }
  return hasUncreatedOccurrence(job, wallMilliseconds)
}

function hasUncreatedOccurrence (job: JobRecord, wallMilliseconds: number): boolean {
  const { startAtMilliseconds, intervalMilliseconds, repeatCount } = job.submission.specification
  for (let number = 0; number < getOccurrenceCount(job.submission); number++) {
    if (repeatCount > 0 && startAtMilliseconds + number * intervalMilliseconds > wallMilliseconds) return false
    if (!job.occurrences.has(number) && !job.finishedOccurrences.has(number)) return true
  }
  return false
}
