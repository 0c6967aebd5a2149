import type { JobRecord, StepRecord } from '../jobs/index.js'

/**
 * Orders jobs for the next start.
 *
 * Answers bursts of large batch jobs beside urgent ones, with more work than the site can do in time: queues come in
 * the order of their priority. Within a queue the jobs that can still meet their objective come first, then those
 * that end late, then those that are beyond any use; within each group the job with the least work left comes first,
 * because a job earns only when all of it is done and small jobs pay more for each unit of work. A job that lasts
 * has no end to wait for, so short work of the same priority goes before it.
 */

/** A job accepted this long ago is treated as one in time, so that steady overload starves none. */
const STARVATION_MILLISECONDS = 60_000
/** A job later than this multiple of its objective is of no use to its submitter any more. */
const USELESS_MULTIPLE = 3
/** The slowest task of a step takes about this many times the mean of all. */
const SLOWEST_TASK_FACTOR = 1.6

/** What a job can still be to its submitter. */
export type Urgency = 'in-time' | 'late' | 'useless'

const URGENCY_RANK: Record<Urgency, number> = { 'in-time': 0, late: 1, useless: 2 }

/**
 * Returns the estimated work that a job has left.
 * @param job The job.
 * @returns Thousandths of a processor times milliseconds.
 */
export function getRemainingWork (job: JobRecord): number {
  let work = 0
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      work += (step.tasks.length - step.doneCount) * step.specification.processorsMilli * getDuration(step)
    }
  }
  return work
}

function getDuration (step: StepRecord): number {
  return Math.max(1, step.specification.estimateMilliseconds)
}

/**
 * Tells whether a job can still meet its objective, judged by its submitter's rough estimates.
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
      if (step.doneCount < step.tasks.length) remaining += duration
    }
  }
  const objective = submission.stretch * chain + submission.targetLatencyMilliseconds
  if (age + remaining <= objective) return 'in-time'
  return age + remaining <= objective * USELESS_MULTIPLE ? 'late' : 'useless'
}

/**
 * Sorts jobs by the order in which their tasks should start.
 * @param jobs The jobs.
 * @param wallMilliseconds The time of day.
 * @returns A new list, the first job first.
 */
export function rankJobs (jobs: Iterable<JobRecord>, wallMilliseconds: number): JobRecord[] {
  const rows = [...jobs].map(job => ({
    job,
    priority: job.submission.priority,
    lasting: job.submission.specification.steps.some(step => step.longRunning) ? 1 : 0,
    urgency: URGENCY_RANK[getUrgency(job, wallMilliseconds)],
    work: getRemainingWork(job)
  }))
  rows.sort((left, right) => left.priority - right.priority || left.lasting - right.lasting ||
    left.urgency - right.urgency || left.work - right.work)
  return rows.map(row => row.job)
}
