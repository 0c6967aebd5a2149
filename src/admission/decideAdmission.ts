import type { JobSubmission } from '../jobs/index.js'
import { isPlainStep, isSameClass, type ClassLoad, type LoadSummary } from './LoadSummary.js'

/** What decides whether a job is admitted. */
export interface AdmissionConditions {
  /** The latest summary of the load; null for none. */
  summary: LoadSummary | null
  /** The milliseconds since the load was measured. */
  summaryAge: number
  /** The epoch of the latest owner that this process knows of. */
  ownerEpoch: number
  submission: JobSubmission
  /** A number from 0 to 1 that all copies of a submission share, see `getDraw`. */
  draw: number
  /** A number from 0 to 1 that spreads the retries of refused callers. */
  random: number
}

/** Whether a job is admitted. */
export type AdmissionDecision =
  | { kind: 'admitted' }
  | {
    kind: 'refused'
    retryAfterMilliseconds: number
    /** The load, the age of its summary and the epoch of the owner that has sent it. */
    load: ClassLoad
    summaryAge: number
    epoch: number
  }

/** Probes are 0.4 s apart, so a summary of this age means that the owner does not respond. */
const SUMMARY_AGE_LIMIT_MILLISECONDS = 3000
/** A job that exceeds its objective by more than this factor is useless to its submitter. */
const USELESS_MULTIPLE = 3
/** The slowest task of a step takes about this many times the mean run time. */
const SLOWEST_TASK_FACTOR = 1.6
/**
 * A class is served, whatever is ahead of it, when less than this share of its arriving work does not end: work of
 * higher priority may wait for something else than room, such as the limit of its client account.
 */
const LEAST_EXCESS_SHARE = 0.5
/** The part of the jobs of a class that is admitted whatever is predicted, relative to the part that ends. */
const LEAST_ADMITTED_PART = 0.5
/** A later request is told from a copy of the refused one by the clocks of two instances, which may differ by 2 s. */
const SHORTEST_RETRY_MILLISECONDS = 4000
const LONGEST_RETRY_MILLISECONDS = 30_000
/** A refusal names the time of the drain, less or more than this part of it. */
const RETRY_SPREAD_SHARE = 0.25

const ADMITTED: AdmissionDecision = { kind: 'admitted' }

/**
 * Decides whether a job is admitted.
 *
 * Designed for lasting overloads by urgent work, in which jobs of lower priorities are not served in time to be of use:
 * their callers learn that at once. A job is refused only when the work that certainly precedes it makes it useless,
 * since refusing the excess of arrivals by chance lowered what callers got (see docs/design/admission.md). Without a
 * recent summary of the present owner each job is admitted.
 * @param conditions The load, the queue and the job.
 * @returns The decision, with the time after which the caller should try again.
 */
export function decideAdmission (conditions: AdmissionConditions): AdmissionDecision {
  const { summary, summaryAge, ownerEpoch, submission, draw, random } = conditions
  if (summary === null || summary.epoch < ownerEpoch) return ADMITTED
  if (!(summaryAge >= 0 && summaryAge <= SUMMARY_AGE_LIMIT_MILLISECONDS)) return ADMITTED
  const { steps, repeatCount, startAtMilliseconds } = submission.specification
  if (repeatCount > 0 || startAtMilliseconds > 0) return ADMITTED
  if (steps.some(step => step.longRunning || !isPlainStep(step))) return ADMITTED
  const load = findLoad(summary, submission)
  if (load === null || load.excessShare < LEAST_EXCESS_SHARE) return ADMITTED
  const chain = getLongestChain(submission)
  const objective = submission.stretch * chain * SLOWEST_TASK_FACTOR + submission.targetLatencyMilliseconds
  const excess = load.aheadMilliseconds + chain - objective * USELESS_MULTIPLE
  if (excess <= 0 || draw >= 1 - (1 - load.excessShare) * LEAST_ADMITTED_PART) return ADMITTED
  const drain = Math.min(LONGEST_RETRY_MILLISECONDS, Math.max(SHORTEST_RETRY_MILLISECONDS, excess))
  // Half of the spread is random, so that callers don't return together, and half lets smaller jobs return first.
  const work = getWork(submission)
  const position = (random + work / Math.max(1, work + load.meanWork)) / 2
  const retryAfterMilliseconds = Math.round(drain * (1 + RETRY_SPREAD_SHARE * (2 * position - 1)))
  return { kind: 'refused', retryAfterMilliseconds, load, summaryAge, epoch: summary.epoch }
}

/** Returns the load of the kinds of room that a job needs; that of the one with less work ahead for a job with both. */
function findLoad ({ classes }: LoadSummary, submission: JobSubmission): ClassLoad | null {
  const { serviceName, accountName = null, priority, specification: { steps } } = submission
  let least: ClassLoad | null = null
  for (const fills of new Set(steps.map(step => step.fills))) {
    const load = classes.find(candidate => isSameClass(candidate, { serviceName, accountName, priority, fills }))
    if (load === undefined) return null
    if (least === null || load.aheadMilliseconds < least.aheadMilliseconds) least = load
  }
  return least
}

/** Returns the estimated time of the longest chain of steps that wait for each other. */
function getLongestChain ({ specification: { steps } }: JobSubmission): number {
  const ends: number[] = []
  for (const { afterSteps, estimateMilliseconds } of steps) {
    const start = afterSteps.reduce((latest, index) => Math.max(latest, ends[index] ?? 0), 0)
    ends.push(start + Math.max(1, estimateMilliseconds))
  }
  return ends.reduce((latest, end) => Math.max(latest, end), 0)
}

function getWork ({ specification: { steps } }: JobSubmission): number {
  return steps.reduce((work, step) => work + step.taskCount * step.processorsMilli * step.estimateMilliseconds, 0)
}

/**
 * Returns the draw of a job. It depends on the job alone, so that all instances decide alike about the copies of a
 * submission while the load is the same.
 * @param jobId The job.
 * @returns A number from 0 to 1, below 1.
 */
export function getDraw (jobId: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < jobId.length; index++) hash = Math.imul(hash ^ jobId.charCodeAt(index), 0x01000193)
  // Without this, identifiers that differ in their last characters only get draws close to each other.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / 2 ** 32
}
