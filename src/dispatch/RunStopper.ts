import type { JobRecord, TaskRecord } from '../jobs/index.js'
import type { PendingOrders } from './PendingOrders.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Options of a stopper. */
export interface RunStopperOptions {
  /** All workers of the owner, which may change. */
  workers: ReadonlyMap<string, WorkerRecord>
  orders: PendingOrders
}

/** Orders the stops of the runs of tasks and jobs. */
export class RunStopper {
  private constructor (private readonly options: RunStopperOptions) {}

  /**
   * Creates a stopper.
   * @param options The workers and the orders.
   * @returns The stopper.
   */
  static create (options: RunStopperOptions): RunStopper {
    return new RunStopper(options)
  }

  /** Stops all runs of a task. */
  stopTask (task: TaskRecord): void {
    for (const run of [...task.runs]) {
      const worker = this.options.workers.get(run.workerId)
      if (worker !== undefined && run.state !== 'stopping') this.options.orders.stop(worker, run)
    }
  }

  /** Stops all runs of a job. */
  stopJob (job: JobRecord): void {
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) for (const task of step.tasks.getAllCreated()) this.stopTask(task)
    }
  }
}
