import type { JobRecord } from '../../jobs/index.js'

/** The share of the running tasks that may be stopped within the interval. */
const BUDGET_SHARE = 0.05
const INTERVAL_MILLISECONDS = 1000
/** A job is displaced at most this often; the stops within one interval count as one displacement. */
const JOB_LIMIT = 2

/** Limits the stops of displaced runs, so that little work is lost and each job goes on. */
export class DisplacementBudget {
  /** The monotonic times of the stops in the current interval. */
  private stopTimes: number[] = []
  private readonly jobs = new WeakMap<JobRecord, { count: number, startedAt: number }>()

  private constructor () {}

  /**
   * Creates a budget of which nothing is used.
   * @returns The budget.
   */
  static create (): DisplacementBudget {
    return new DisplacementBudget()
  }

  /**
   * Returns how many runs may be stopped now.
   * @param runningCount The number of running tasks.
   * @param now The monotonic time.
   * @returns The number.
   */
  getRemaining (runningCount: number, now: number): number {
    this.stopTimes = this.stopTimes.filter(time => now - time < INTERVAL_MILLISECONDS)
    return Math.max(0, Math.floor(runningCount * BUDGET_SHARE) - this.stopTimes.length)
  }

  /**
   * Returns whether runs of a job may be stopped.
   * @param job The job.
   * @param now The monotonic time.
   * @returns Whether it was not displaced too often.
   */
  mayDisplace (job: JobRecord, now: number): boolean {
    const known = this.jobs.get(job)
    return known === undefined || known.count < JOB_LIMIT || now - known.startedAt < INTERVAL_MILLISECONDS
  }

  /**
   * Records the stop of a run.
   * @param job The job of the run.
   * @param now The monotonic time.
   */
  recordStop (job: JobRecord, now: number): void {
    this.stopTimes.push(now)
    const known = this.jobs.get(job)
    if (known !== undefined && now - known.startedAt < INTERVAL_MILLISECONDS) return
    this.jobs.set(job, { count: (known?.count ?? 0) + 1, startedAt: now })
  }
}
