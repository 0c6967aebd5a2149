import { isStepReady, type JobRecord, type TaskRecord } from '../jobs/index.js'

/**
 * Returns whether the next start of a task is a restart: a long-running task must run again soon after its run ended.
 * @param task The task.
 * @returns Whether the task is long-running and has run before.
 */
export function isRestart (task: TaskRecord): boolean {
  return task.hasRun && task.step.specification.longRunning
}

/**
 * The long-running tasks that have run before and wait to run again, in the order in which their runs ended.
 *
 * An index, because most tasks of a site with many long-running jobs are running.
 */
export class WaitingRestarts {
  private readonly tasks = new Set<TaskRecord>()

  private constructor () {}

  /**
   * Creates an empty index.
   * @returns The index.
   */
  static create (): WaitingRestarts {
    return new WaitingRestarts()
  }

  /** Adds a task whose run is over if its next start is a restart; a task that waits already keeps its place. */
  add (task: TaskRecord): void {
    if (isRestart(task)) this.tasks.add(task)
  }

  /** Adds the tasks of a loaded job that have run under an earlier owner. */
  addJob (job: JobRecord): void {
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) for (const task of step.tasks.getAllCreated()) this.add(task)
    }
  }

  /** Returns the tasks that wait, and removes those that run or whose job has ended. */
  * getWaiting (): Generator<TaskRecord> {
    for (const task of this.tasks) {
      const { step, runs } = task
      const isOver = task.done || step.occurrence.job.finalState !== null
      // A start that is not confirmed may fail, and the task then keeps its place.
      if (isOver || runs.some(run => run.confirmedAt !== null)) this.tasks.delete(task)
      else if (runs.length === 0 && isStepReady(step)) yield task
    }
  }
}
