import type { RunRecord } from '../jobs/index.js'
import { chooseWorker, type ChoiceConditions } from './chooseWorker.js'
import { mayMoveSlowedRun } from './findRunsToMove.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Interval at which slowed runs are looked for, which takes a pass over all runs of the site. */
const CHECK_INTERVAL_MILLISECONDS = 200

/** Finds best-effort runs that stay slowed by interference and that another worker can take. */
export class SlowedRunMover {
  private nextCheckAt = -Infinity

  private constructor () {}

  /**
   * Creates a mover that has not looked for runs yet.
   * @returns The mover.
   */
  static create (): SlowedRunMover {
    return new SlowedRunMover()
  }

  /**
   * Passes on each run to move, at intervals.
   * @param workers All workers.
   * @param getConditions Returns the conditions of a choice among the workers of a service.
   * @param move Stops the run, so that its task starts elsewhere.
   * @param now The monotonic time.
   */
  moveRuns (
    workers: readonly WorkerRecord[], getConditions: (serviceName: string) => ChoiceConditions,
    move: (worker: WorkerRecord, run: RunRecord) => void, now: number
  ): void {
    if (now < this.nextCheckAt) return
    this.nextCheckAt = now + CHECK_INTERVAL_MILLISECONDS
    for (const worker of workers) {
      for (const run of worker.runs.values()) {
        if (!mayMoveSlowedRun(run, now)) continue
        // The cap could keep the task from starting again.
        if (run.task.step.occurrence.job.account?.isAtCap === true) continue
        const { workerId, serviceName } = worker.entry
        const conditions = { ...getConditions(serviceName), excludedWorkerId: workerId }
        const other = chooseWorker(run.task, workers, conditions)
        if (other === null || conditions.advisor.getInterferencePressure(other, run.task) > 0) continue
        run.slowedSince = null
        move(worker, run)
      }
    }
  }
}
