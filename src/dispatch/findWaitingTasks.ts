import { isStepReady, type JobRecord, type StepRecord, type TaskRecord } from '../jobs/index.js'
import { getSizeKey } from './getSizeKey.js'

/**
 * Finds tasks that wait for a start, one of each step, which stands for the others of the step, and at most one of each
 * size. Long-running tasks are left out, see `findWaitingLongRunningTasks`.
 * @param jobs The jobs.
 * @param waitingBefore Monotonic time since when a task must have waited.
 * @returns The tasks in the order of the jobs, found while they are read.
 */
export function * findWaitingTasks (jobs: Iterable<JobRecord>, waitingBefore: number): Generator<TaskRecord, void> {
  const sizes = new Set<string>()
  for (const job of jobs) {
    if (job.finalState !== null || job.addedAt > waitingBefore) continue
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) {
        const task = findWaitingTask(step, waitingBefore)
        if (task === null) continue
        const { serviceName, queueName, accountName = '' } = job.submission
        const size = `${serviceName} ${queueName} ${getSizeKey(step)} ${accountName}`
        if (sizes.has(size)) continue
        sizes.add(size)
        yield task
      }
    }
  }
}

function findWaitingTask (step: StepRecord, waitingBefore: number): TaskRecord | null {
  const { tasks, specification } = step
  if (specification.longRunning || !tasks.hasIdle() || !isStepReady(step)) return null
  // Creates the record of the next task when no other one of the step waits.
  if (!tasks.hasWaiting(() => true)) return null
  for (const task of tasks.getAllCreated()) {
    if (task.runs.length === 0 && task.waitingSince <= waitingBefore) return task
  }
  return null
}
