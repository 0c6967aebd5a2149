import type { JobRecord, RunRecord, StepRecord, TaskRecord } from '../../jobs/index.js'
import { isEligible, type ChoiceConditions } from '../chooseWorker.js'
import { hasPersistentViolation } from '../decidePace.js'
import type { DispatchObserver } from '../DispatchObserver.js'
import { getSizeKey } from '../getSizeKey.js'
import { getUrgency, type GetRunTimeRatio, type Urgency } from '../rankJobs.js'
import type { WaitingStep } from '../headroom/WaitingSteps.js'
import type { WorkerRecord } from '../WorkerRecord.js'
import { DisplacementBudget } from './DisplacementBudget.js'
import { mayDisplaceStep, selectRunsToDisplace, type WaitingTasks } from './selectRunsToDisplace.js'

/** The most steps for which one check looks for runs, each of which takes a pass over all workers. */
const STEP_LIMIT = 16

/** Options of a displacer. */
export interface RunDisplacerOptions {
  /** Returns the observer, which receives the stops. */
  getObserver (): DispatchObserver
  /** Returns the learned ratio of run times to estimates; 1 by default. */
  getRunTimeRatio?: GetRunTimeRatio
  /** Stops a run, so that its task waits again. */
  stop (worker: WorkerRecord, run: RunRecord): void
}

/** The plan after which a check looks for runs. */
export interface DisplacementContext {
  /** All jobs. */
  jobs: Iterable<JobRecord>
  workers: readonly WorkerRecord[]
  /** Returns the conditions of a choice for the tasks of a job. */
  getConditions (job: JobRecord): ChoiceConditions
  mayStart (task: TaskRecord): boolean
  /** The monotonic time. */
  now: number
  /** The time of day. */
  wallMilliseconds: number
}

/** Stops runs of useless jobs for tasks of jobs that can still be in time. */
export class RunDisplacer {
  private readonly budget = DisplacementBudget.create()

  private constructor (private readonly options: RunDisplacerOptions) {}

  /**
   * Creates a displacer that has stopped nothing.
   * @param options The observer and the function that stops a run.
   * @returns The displacer.
   */
  static create (options: RunDisplacerOptions): RunDisplacer {
    return new RunDisplacer(options)
  }

  /**
   * Stops runs.
   * @param waiting The steps whose tasks have waited for capacity, the first to get it first.
   * @param context The workers and the times.
   */
  displace (waiting: readonly WaitingStep[], context: DisplacementContext): void {
    if (waiting.length === 0) return
    const { workers, getConditions, mayStart, now, wallMilliseconds } = context
    const limit = this.budget.getRemaining(workers.reduce((sum, { runs }) => sum + runs.size, 0), now)
    if (limit === 0) return
    const urgencies = new Map<JobRecord, Urgency>()
    const inputs = {
      getUrgency: (job: JobRecord): Urgency => {
        const urgency = urgencies.get(job) ?? getUrgency(job, wallMilliseconds, this.options.getRunTimeRatio)
        urgencies.set(job, urgency)
        return urgency
      },
      mayDisplace: (job: JobRecord): boolean => this.budget.mayDisplace(job, now)
    }
    const lowest = getLowestPriorities(context.jobs, step => mayDisplaceStep(step, inputs))
    const helped = waiting.filter(({ step: { specification: { fills }, occurrence: { job } } }) =>
      fills ? lowest.bestEffort >= job.submission.priority : lowest.reserved > job.submission.priority)
    if (helped.length === 0) return
    const workersBySize = new Map<string, WorkerRecord[]>()
    const runs = selectRunsToDisplace(helped.slice(0, STEP_LIMIT).flatMap(({ step }): WaitingTasks[] => {
      const [task] = step.tasks.getWaiting(mayStart)
      return task === undefined ? [] : [{ task, count: step.tasks.remainingCount - step.tasks.busyTaskCount }]
    }), {
      ...inputs,
      limit,
      now,
      getWorkers: task => {
        const conditions = getConditions(task.step.occurrence.job)
        const key = `${JSON.stringify(conditions.serviceName)} ${getSizeKey(task.step)}`
        const found = workersBySize.get(key) ?? workers.filter(worker => mayTake(worker, task, conditions))
        workersBySize.set(key, found)
        return found
      }
    })
    for (const { worker, run, waiting: task, lostWork } of runs) {
      this.budget.recordStop(run.task.step.occurrence.job, now)
      this.options.getObserver().onRunDisplaced(run, task, lostWork)
      this.options.stop(worker, run)
    }
  }
}

/**
 * Returns the lowest priority, which has the highest number, of the runs of each kind of room that may be stopped;
 * -Infinity for none.
 */
function getLowestPriorities (
  jobs: Iterable<JobRecord>, mayStop: (step: StepRecord) => boolean
): { bestEffort: number, reserved: number } {
  let [bestEffort, reserved] = [-Infinity, -Infinity]
  for (const { submission: { priority }, occurrences } of jobs) {
    for (const { steps } of occurrences.values()) {
      for (const step of steps) {
        const { fills } = step.specification
        if (priority <= (fills ? bestEffort : reserved) || !step.tasks.hasBusy() || !mayStop(step)) continue
        if (fills) bestEffort = priority
        else reserved = priority
      }
    }
  }
  return { bestEffort, reserved }
}

/** Returns whether a worker would get a task if it had the capacity. */
function mayTake (worker: WorkerRecord, task: TaskRecord, conditions: ChoiceConditions): boolean {
  const { requiredLabel, fills } = task.step.specification
  if (!isEligible(worker, conditions)) return false
  if (requiredLabel !== '' && !worker.entry.labels.includes(requiredLabel)) return false
  if (!fills) return true
  return !hasPersistentViolation(worker, conditions.now) &&
    conditions.advisor.getInterferencePressure(worker, task) <= 0
}
