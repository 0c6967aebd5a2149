import type { JobRecord } from '../jobs/index.js'

/**
 * Orders jobs for the next start.
 *
 * Answers bursts of large batch jobs beside urgent ones: queues come in the order of their priority, and within a
 * queue the job with the least work left comes first, because a job earns only when all of it is done and small
 * jobs pay more for each unit of work. A job that has waited long moves ahead, so that none starves.
 */

/** A job known for this long comes before all others of its priority. */
const STARVATION_MILLISECONDS = 20_000

/**
 * Returns the estimated work that a job has left.
 * @param job The job.
 * @returns Thousandths of a processor times milliseconds.
 */
export function getRemainingWork (job: JobRecord): number {
  let work = 0
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      const { processorsMilli, estimateMilliseconds } = step.specification
      work += (step.tasks.length - step.doneCount) * processorsMilli * Math.max(1, estimateMilliseconds)
    }
  }
  return work
}

/**
 * Sorts jobs by the order in which their tasks should start.
 * @param jobs The jobs.
 * @param now The monotonic time.
 * @returns A new list, the first job first.
 */
export function rankJobs (jobs: Iterable<JobRecord>, now: number): JobRecord[] {
  const rows = [...jobs].map(job => ({
    job,
    priority: job.submission.priority,
    starved: now - job.knownSince > STARVATION_MILLISECONDS ? 0 : 1,
    work: getRemainingWork(job)
  }))
  rows.sort((left, right) => left.priority - right.priority || left.starved - right.starved || left.work - right.work)
  return rows.map(row => row.job)
}
