import { getOccurrenceCount, isStepReady, type JobRecord } from '../jobs/index.js'

/**
 * Tells whether a job has a task that waits to start, so that its place among the jobs matters.
 *
 * Answers sites where most jobs last: their tasks run for long, and ranking them for each plan costs more than
 * finding out that nothing of them waits.
 * @param job The job.
 * @param wallMilliseconds The time of day.
 * @returns Whether a task of a ready step waits, or an occurrence is due that was not opened yet.
 */
export function hasWaitingTask (job: JobRecord, wallMilliseconds: number): boolean {
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      const isWaiting = step.doneCount < step.tasks.length &&
        step.tasks.some(task => !task.done && task.runs.length === 0)
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
