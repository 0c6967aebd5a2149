import { hasLongRunningStep, type JobRecord, type StepRecord } from '../jobs/index.js'

/**
 * Ranks jobs for the next start.
 *
 * Designed for bursts of large batch jobs beside urgent ones, with more work than the site can complete in time. Jobs
 * are ranked by priority first; within a priority, jobs with long-running steps come last, because they never complete
 * and short work should not wait for them. Jobs that can still meet their objective come next, then late ones, then
 * those too late to be useful. Within each group the job with the least remaining work comes first, because a job has
 * value only when it is complete and small jobs have more value per unit of work.
 */

/** A job accepted this long ago is ranked as in time, so that a lasting overload does not starve it. */
const STARVATION_MILLISECONDS = 60_000
/** A job that exceeds its objective by more than this factor is useless to its submitter. */
const USELESS_MULTIPLE = 3
/** The slowest task of a step takes about this many times the mean run time. */
const SLOWEST_TASK_FACTOR = 1.6

/** Whether a job can still meet its objective, can only complete late, or is too late to be useful. */
export type Urgency = 'in-time' | 'late' | 'useless'

const URGENCY_RANK: Record<Urgency, number> = { 'in-time': 0, late: 1, useless: 2 }

/**
 * Returns the estimated remaining work of a job.
 * @param job The job.
 * @returns Thousandths of a processor times milliseconds.
 */
export function getRemainingWork (job: JobRecord): number {
  let work = 0
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      work += step.tasks.remainingCount * step.specification.processorsMilli * getDuration(step)
    }
  }
  return work
}

function getDuration (step: StepRecord): number {
  return Math.max(1, step.specification.estimateMilliseconds)
}

/**
 * Returns whether a job can still meet its objective, based on its submitter's estimates.
 * @param job The job.
 * @param wallMilliseconds The time of day.
 * @returns Its urgency.
 */
export function getUrgency (job: JobRecord, wallMilliseconds: number): Urgency {
  const { submission } = job
  if (submission.specification.repeatCount > 0) return 'in-time'
  const age = Math.max(0, wallMilliseconds - submission.acceptedAtMilliseconds)
  if (age > STARVATION_MILLISECONDS) return 'in-time'
  let chain = 0
  let remaining = 0
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      const duration = getDuration(step) * SLOWEST_TASK_FACTOR
      chain += duration
      if (step.tasks.remainingCount > 0) remaining += duration
    }
  }
  const objective = submission.stretch * chain + submission.targetLatencyMilliseconds
  if (age + remaining <= objective) return 'in-time'
  return age + remaining <= objective * USELESS_MULTIPLE ? 'late' : 'useless'
}

/**
 * Returns the estimated work of a job, whether it is done or not.
 * @param job The job.
 * @returns Thousandths of a processor times milliseconds.
 */
export function getTotalWork (job: JobRecord): number {
  const { steps } = job.submission.specification
  return steps.reduce((work, step) =>
    work + step.taskCount * step.processorsMilli * Math.max(1, step.estimateMilliseconds), 0)
}

/**
 * Selects the jobs that may use the share of large jobs.
 * @param jobs The jobs.
 * @param wallMilliseconds The time of day.
 * @returns The jobs that complete by themselves and can still do so in time, the largest one first.
 */
export function selectLargeJobs (jobs: readonly JobRecord[], wallMilliseconds: number): JobRecord[] {
  const rows = jobs
    .filter(job => !hasLongRunningStep(job) && getUrgency(job, wallMilliseconds) === 'in-time')
    .map(job => ({ job, work: getTotalWork(job) }))
  rows.sort((left, right) => right.work - left.work)
  return rows.map(row => row.job)
}

/**
 * Sorts jobs into the order in which their tasks should start.
 * @param jobs The jobs.
 * @param wallMilliseconds The time of day.
 * @returns A new list, highest rank first.
 */
export function rankJobs (jobs: Iterable<JobRecord>, wallMilliseconds: number): JobRecord[] {
  const rows = [...jobs].map(job => ({
    job,
    priority: job.submission.priority,
    longRunning: hasLongRunningStep(job) ? 1 : 0,
    urgency: URGENCY_RANK[getUrgency(job, wallMilliseconds)],
    work: getRemainingWork(job)
  }))
  rows.sort((left, right) => left.priority - right.priority || left.longRunning - right.longRunning ||
    left.urgency - right.urgency || left.work - right.work)
  return rows.map(row => row.job)
}
