import { isStepReady, type JobRecord, type TaskRecord } from '../jobs/index.js'

/**
 * Finds long-running tasks that have waited for a start for long. One task of a step stands for all that no owner has
 * started.
 * @param jobs The jobs.
 * @param waitingBefore Monotonic time since when a task must have waited.
 * @param limit The maximum number of tasks.
 * @returns The tasks, in the order of the jobs.
 */
export function findWaitingLongRunningTasks (
  jobs: Iterable<JobRecord>, waitingBefore: number, limit: number
): TaskRecord[] {
  const found: TaskRecord[] = []
  for (const job of jobs) {
    if (job.finalState !== null || !job.submission.specification.steps.some(step => step.longRunning)) continue
    for (const step of [...job.occurrences.values()].flatMap(occurrence => occurrence.steps)) {
      if (!step.specification.longRunning || !isStepReady(step)) continue
      // Creates the record of the next task when no other one of the step waits.
      if (!step.tasks.hasWaiting(() => true)) continue
      for (const task of step.tasks.getAllCreated()) {
        if (task.runs.length > 0 || task.waitingSince > waitingBefore) continue
        if (found.push(task) === limit) return found
      }
    }
  }
  return found
}
