import { hasLongRunningStep, type JobRecord, type StepRecord } from '../jobs/index.js'

/**
 * Ranks jobs for the next start.
 *
 * Designed for bursts of large batch jobs beside urgent ones, with more work than the site can complete in time. Jobs
 * are ranked by priority first; within a priority, jobs with long-running steps come last, because they never complete
 * and short work should not wait for them. Jobs that can still meet their objective come next, then late ones, then
 * those too late to be useful. Within each group the job with the least remaining work comes first, except that jobs
 * that can meet their objective and have not begun are started in the order of `SizeClassShares`.
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
/** A job with this share of the time left in which it can wait, or more, precedes others of its size. */
const AMPLE_SLACK_SHARE = 0.5
/** Ranks jobs with long-running steps after all others. */
const LONG_RUNNING_RANK = 3

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

/** How much time a job has left. */
export interface Timeliness {
  urgency: Urgency
  /** The part of the time that the job could wait from its submission on and still be in time that is left. */
  slackShare: number
  /** The time until the objective; Infinity when that does not count. */
  remainingMilliseconds: number
  /** Whether the job counts as in time only because it has waited for long. */
  isStarved: boolean
}

/**
 * Returns the ratio of run times to the estimates of submitters, learned from ended runs.
 * @param queueName The queue of the job.
 * @param fills Whether the tasks are best-effort.
 * @returns The ratio, 1 when nothing is learned.
 */
export type GetRunTimeRatio = (queueName: string, fills: boolean) => number

const getUnlearnedRatio: GetRunTimeRatio = () => 1

/**
 * Returns whether a job can still meet its objective, based on its submitter's estimates.
 * @param job The job.
 * @param wallMilliseconds The time of day.
 * @param getRunTimeRatio Returns by how much the estimates of a queue are wrong; 1 by default.
 * @returns Its urgency.
 */
export function getUrgency (
  job: JobRecord, wallMilliseconds: number, getRunTimeRatio: GetRunTimeRatio = getUnlearnedRatio
): Urgency {
  return getTimeliness(job, wallMilliseconds, getRunTimeRatio).urgency
}

function getTimeliness (job: JobRecord, wallMilliseconds: number, getRunTimeRatio: GetRunTimeRatio): Timeliness {
  const { submission } = job
  if (submission.specification.repeatCount > 0) {
    return { urgency: 'in-time', slackShare: AMPLE_SLACK_SHARE, remainingMilliseconds: Infinity, isStarved: false }
  }
  const age = Math.max(0, wallMilliseconds - submission.acceptedAtMilliseconds)
  if (age > STARVATION_MILLISECONDS) {
    return { urgency: 'in-time', slackShare: 0, remainingMilliseconds: Infinity, isStarved: true }
  }
  let chain = 0
  let remaining = 0
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      const duration = getDuration(step) * SLOWEST_TASK_FACTOR
      chain += duration
      if (step.tasks.remainingCount > 0) {
        remaining += duration * getRunTimeRatio(submission.queueName, step.specification.fills)
      }
    }
  }
  const objective = submission.stretch * chain + submission.targetLatencyMilliseconds
  const slackShare = (objective - age - remaining) / Math.max(1, objective - chain)
  const isUseful = age + remaining <= objective * USELESS_MULTIPLE
  const urgency = age + remaining <= objective ? 'in-time' : isUseful ? 'late' : 'useless'
  return { urgency, slackShare, remainingMilliseconds: objective - age, isStarved: false }
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

/** A job with what its rank depends on. */
export interface RankedJob {
  job: JobRecord
  priority: number
  isLongRunning: boolean
  timeliness: Timeliness
  /** The estimated remaining work, see `getRemainingWork`. */
  remainingWork: number
  /** The rank of the urgency; jobs with long-running steps come last. */
  group: number
}

/**
 * Sorts jobs into the order in which their tasks should start, regardless of the shares of sizes.
 * @param jobs The jobs.
 * @param wallMilliseconds The time of day.
 * @param getRunTimeRatio Returns by how much the estimates of a queue are wrong; 1 by default.
 * @returns A new list, highest rank first.
 */
export function rankJobs (
  jobs: Iterable<JobRecord>, wallMilliseconds: number, getRunTimeRatio: GetRunTimeRatio = getUnlearnedRatio
): RankedJob[] {
  const rows: RankedJob[] = []
  for (const job of jobs) {
    const isLongRunning = hasLongRunningStep(job)
    const timeliness = getTimeliness(job, wallMilliseconds, getRunTimeRatio)
    const group = URGENCY_RANK[timeliness.urgency] + (isLongRunning ? LONG_RUNNING_RANK : 0)
    const { priority } = job.submission
    rows.push({ job, priority, isLongRunning, timeliness, remainingWork: getRemainingWork(job), group })
  }
  return rows.sort((left, right) => left.priority - right.priority || left.group - right.group ||
    left.remainingWork - right.remainingWork)
}

/**
 * Compares jobs none of which has begun and all of which can still meet their objective, for the order within a class
 * of sizes. Those that have most of their time to wait left come first, beginning with the one that has the least of
 * it. The others come after them, beginning with the one that has the most left: in an overload, a job that starts at
 * the last moment often completes late, because its run time is an estimate.
 * @param left A job.
 * @param right Another job.
 * @returns A negative number when the first one should start first, a positive one when the second one should.
 */
export function compareSlack (left: RankedJob, right: RankedJob): number {
  const [leftShare, rightShare] = [left.timeliness.slackShare, right.timeliness.slackShare]
  const isLeftAmple = leftShare >= AMPLE_SLACK_SHARE
  const isRightAmple = rightShare >= AMPLE_SLACK_SHARE
  if (isLeftAmple !== isRightAmple) return isLeftAmple ? -1 : 1
  return isLeftAmple ? leftShare - rightShare : rightShare - leftShare
}
