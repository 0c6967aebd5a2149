import type { JobRecord } from '../jobs/index.js'
import { getTotalWork } from './rankJobs.js'

/** After this time, an arrival or a first start counts half. */
const HALF_LIFE_MILLISECONDS = 10_000
/** The number of jobs with which the share of all classes counts in that of a class with few jobs. */
const SMOOTHING_JOBS = 2
/** A job is worth this plus its work, relative to the mean of its queue, times the remainder, at most the maximum. */
const BASE_WORTH = 0.3
const MAXIMUM_WORTH = 4
/** The limits of the advantage of small jobs, whose worth per unit of work has none, and of large ones. */
const MAXIMUM_ADVANTAGE = 1.25
const MINIMUM_ADVANTAGE = 0.9
/** The advantage of jobs that have waited for too long to be of use. */
const STARVED_ADVANTAGE = 0.1
/** The distance between two offsets of a sequence that fills the range from 0 to 1 evenly. */
const OFFSET_STEP = 0.618034
/** A class with fewer arrivals than this has had none for minutes. */
const LEAST_COUNT = 1e-6

/** The decayed numbers of jobs of one queue whose work differs by less than a factor of two. */
interface SizeClass {
  queue: QueueTotals
  arrivedCount: number
  arrivedWork: number
  /** The number of jobs whose first task has started. */
  startedCount: number
  /** The part of a start that is added to them when shares are compared; each arrival sets another one. */
  startOffset: number
  isStarved: boolean
}

/** The decayed arrivals of one queue. */
interface QueueTotals {
  count: number
  work: number
}

/** What was counted of a job. */
interface CountedJob {
  sizeClass: SizeClass
  /** The occurrences with lower numbers are counted. */
  nextOccurrenceNumber: number
  arrivedCount: number
  startedCount: number
}

/** A job with an occurrence that has not begun. */
export interface UnstartedJob {
  job: JobRecord
  /** Whether the job has waited for so long that it counts as in time again. */
  isStarved: boolean
}

/**
 * Shares the first starts of the jobs of one priority among classes of sizes, in proportion to the jobs that arrive in
 * each class.
 *
 * Answers a lasting overload, in which only a part of the jobs can complete in time: each class gets the same part,
 * whatever the distribution of the sizes is and whatever limits the site, with an advantage for classes whose jobs have
 * more worth per unit of work. Jobs are counted rather than tasks, because work on a job that does not complete is
 * wasted. Sizes are compared within a queue only. Shares begin anew with each owner.
 */
export class SizeClassShares {
  private readonly queues = new Map<string, QueueTotals>()
  private readonly classes = new Map<string, SizeClass>()
  private readonly countedJobs = new WeakMap<JobRecord, CountedJob>()
  private updatedAt = -Infinity
  private startOffset = 0.5

  private constructor () {}

  /**
   * Creates shares without arrivals and starts.
   * @returns The shares.
   */
  static create (): SizeClassShares {
    return new SizeClassShares()
  }

  /**
   * Records the first start of an occurrence of a job.
   * @param job The job.
   */
  recordStart (job: JobRecord): void {
    const counted = this.countedJobs.get(job)
    if (counted === undefined) return
    counted.startedCount++
    counted.sizeClass.startedCount++
    // The first start was withdrawn, or an occurrence was due before an earlier owner ended.
    if (counted.startedCount > counted.arrivedCount) this.countArrivals(counted, 1, getTotalWork(job))
  }

  /**
   * Records the arrival of jobs and puts them into the order in which the shares let them start.
   * @param unstarted The jobs, within a class in the order in which they should start.
   * @param now The monotonic time.
   * @returns The jobs; starts that are recorded while they are read change the order of the next ones.
   */
  selectJobs (unstarted: readonly UnstartedJob[], now: number): Iterable<JobRecord> {
    this.decay(now)
    const waiting = new Map<SizeClass, JobRecord[]>()
    for (const { job, isStarved } of unstarted) {
      const sizeClass = this.recordArrival(job, isStarved)
      const members = waiting.get(sizeClass)
      if (members === undefined) waiting.set(sizeClass, [job])
      else members.push(job)
    }
    return this.readByShare(waiting)
  }

  /**
   * Reads jobs of the class next whose share would be the lowest, with a part of a start more. That part varies, so
   * that a class with a single job in a while gets the same part of its jobs started as others, neither none nor all.
   */
  private * readByShare (waiting: ReadonlyMap<SizeClass, readonly JobRecord[]>): Generator<JobRecord, void> {
    const rows = [...waiting].map(([sizeClass, jobs]) =>
      ({ sizeClass, jobs, nextIndex: 0, advantage: getAdvantage(sizeClass) }))
    const smoothing = SMOOTHING_JOBS * this.getExpectedShare()
    while (rows.length > 0) {
      let first = 0
      let lowest = Infinity
      for (let index = 0; index < rows.length; index++) {
        const { sizeClass: { startedCount, arrivedCount, startOffset }, advantage } = rows[index]
        const share = ((startedCount + startOffset) / advantage + smoothing) / (arrivedCount + SMOOTHING_JOBS)
        if (share >= lowest) continue
        first = index
        lowest = share
      }
      const row = rows[first]
      const { startedCount } = row.sizeClass
      // Jobs that do not fit leave the shares as they are.
      while (row.nextIndex < row.jobs.length && row.sizeClass.startedCount === startedCount) {
        yield row.jobs[row.nextIndex++]
      }
      if (row.nextIndex === row.jobs.length) rows.splice(first, 1)
    }
  }

  /** Returns the part of the jobs that are started of a class without an advantage. */
  private getExpectedShare (): number {
    let started = 0
    let arrived = 0
    for (const sizeClass of this.classes.values()) {
      started += sizeClass.startedCount
      arrived += sizeClass.arrivedCount * getAdvantage(sizeClass)
    }
    return arrived > 0 ? started / arrived : 1
  }

  /** Counts a job, and each further occurrence of a scheduled one, when it is passed for the first time. */
  private recordArrival (job: JobRecord, isStarved: boolean): SizeClass {
    const existing = this.countedJobs.get(job)
    const isKnown = existing !== undefined && existing.sizeClass.isStarved === isStarved
    const { nextOccurrenceNumber } = job
    const newCount = isKnown ? nextOccurrenceNumber - existing.nextOccurrenceNumber : 1
    if (isKnown && newCount === 0) return existing.sizeClass
    const work = getTotalWork(job)
    const counted = isKnown ? existing : { arrivedCount: 0, startedCount: 0 }
    // The class of a job whose last occurrence was long ago may be a new one.
    const updated = { ...counted, nextOccurrenceNumber, sizeClass: this.getClass(job, work, isStarved) }
    this.countedJobs.set(job, updated)
    this.countArrivals(updated, newCount, work)
    return updated.sizeClass
  }

  private countArrivals (counted: CountedJob, count: number, work: number): void {
    const { sizeClass } = counted
    this.startOffset = (this.startOffset + OFFSET_STEP) % 1
    sizeClass.startOffset = this.startOffset
    counted.arrivedCount += count
    sizeClass.arrivedCount += count
    sizeClass.arrivedWork += count * work
    if (sizeClass.isStarved) return
    sizeClass.queue.count += count
    sizeClass.queue.work += count * work
  }

  private getClass (job: JobRecord, work: number, isStarved: boolean): SizeClass {
    const { queueName, specification } = job.submission
    const fills = specification.steps.some(step => step.fills)
    const key = `${isStarved ? 'starved' : Math.floor(Math.log2(work))} ${fills} ${queueName}`
    const existing = this.classes.get(key)
    if (existing !== undefined) return existing
    const queue = this.queues.get(queueName) ?? { count: 0, work: 0 }
    this.queues.set(queueName, queue)
    const sizeClass = { queue, arrivedCount: 0, arrivedWork: 0, startedCount: 0, startOffset: 0, isStarved }
    this.classes.set(key, sizeClass)
    return sizeClass
  }

  private decay (now: number): void {
    const factor = 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MILLISECONDS)
    this.updatedAt = now
    for (const [queueName, queue] of this.queues) {
      queue.count *= factor
      queue.work *= factor
      if (queue.count < LEAST_COUNT) this.queues.delete(queueName)
    }
    for (const [key, sizeClass] of this.classes) {
      sizeClass.arrivedCount *= factor
      sizeClass.arrivedWork *= factor
      sizeClass.startedCount *= factor
      if (sizeClass.arrivedCount < LEAST_COUNT) this.classes.delete(key)
    }
  }
}

/** Returns the worth per unit of work of the jobs of a class, relative to a job of the mean size of its queue. */
function getAdvantage ({ queue, arrivedCount, arrivedWork, isStarved }: SizeClass): number {
  if (isStarved) return STARVED_ADVANTAGE
  if (arrivedCount < LEAST_COUNT || queue.count < LEAST_COUNT) return 1
  const relativeWork = arrivedWork / arrivedCount / (queue.work / queue.count)
  const worth = Math.min(MAXIMUM_WORTH, BASE_WORTH + (1 - BASE_WORTH) * relativeWork)
  return Math.max(MINIMUM_ADVANTAGE, Math.min(MAXIMUM_ADVANTAGE, worth / relativeWork))
}
