import type { JobRecord } from '../jobs/index.js'
import { getUrgency, selectLargeJobs } from './rankJobs.js'

/** The share of the starts of a priority that goes to its largest jobs first. */
const LARGE_JOB_SHARE = 0.2
/** Bounds the starts that are saved up while no large job waits, so that a later one does not delay all others. */
const MAXIMUM_SAVED_STARTS = 32

/**
 * Reserves a share of the starts of one priority for its largest jobs, one after the other.
 *
 * Answers a lasting overload: jobs with little remaining work go first, because that completes the most jobs, but then
 * the largest ones would wait until they are of no use to their submitters. The value of a job grows with its work, so
 * the share costs little. It counts the starts that were made, whether the number of orders or the capacity of the
 * workers limits them, and stays with one job until that is started, because work on several late jobs is wasted.
 */
export class LargeJobShare {
  private savedStarts = 0
  private current: JobRecord | null = null

  private constructor () {}

  /**
   * Creates the share before the first start.
   * @returns The share.
   */
  static create (): LargeJobShare {
    return new LargeJobShare()
  }

  /** The number of starts that large jobs may use before other jobs. */
  get allowance (): number {
    return Math.floor(this.savedStarts)
  }

  /**
   * Returns the jobs that may use the allowance, in this order.
   * @param jobs The jobs of the priority with waiting tasks.
   * @param wallMilliseconds The time of day.
   * @returns The job that the share stays with, unless that is too late to be of use, and the next ones.
   */
  selectJobs (jobs: readonly JobRecord[], wallMilliseconds: number): JobRecord[] {
    const { current } = this
    const isCurrentUseful = current !== null && jobs.includes(current) &&
      getUrgency(current, wallMilliseconds) !== 'useless'
    const next = selectLargeJobs(jobs, wallMilliseconds)
    const selected = isCurrentUseful ? [current, ...next.filter(job => job !== current)] : next
    this.current = selected[0] ?? null
    return selected
  }

  /**
   * Records the starts of a plan.
   * @param startCount The number of starts of the priority, without those of long-running tasks.
   * @param largeJobStartCount The number of them that used the allowance.
   */
  recordStarts (startCount: number, largeJobStartCount: number): void {
    const saved = this.savedStarts + startCount * LARGE_JOB_SHARE - largeJobStartCount
    this.savedStarts = Math.max(0, Math.min(MAXIMUM_SAVED_STARTS, saved))
  }
}
