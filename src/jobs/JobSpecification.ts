/** The resource requirements and scheduling rules of the tasks of one step. */
export interface StepSpecification {
  taskCount: number
  /** Thousandths of a processor. */
  processorsMilli: number
  memoryMegabytes: number
  accelerators: number
  /** The submitter's estimate of the run time of one task, which is often wrong by a large factor. */
  estimateMilliseconds: number
  /** Indexes of the earlier steps that must be done before this one starts. */
  afterSteps: number[]
  /** The tasks save checkpoints and resume from the latest one. */
  checkpointing: boolean
  /** The tasks make progress only while all of them run, so they are started together (gang scheduling). */
  gang: boolean
  /** The tasks run more slowly when they are spread over more than one rack. */
  rackSensitive: boolean
  /** A label that the worker must have; empty for any. */
  requiredLabel: string
  /** The rack that holds the input data; empty for none. */
  preferredRack: string
  /** The maximum number of tasks of the step on one worker; 0 for no limit. */
  maximumPerWorker: number
  /** Several runs of a task may execute in parallel; the first that completes decides. */
  speculative: boolean
  /** The tasks run until the job is cancelled. */
  longRunning: boolean
  /** The program that the tasks run. Tasks of one image are assumed to interfere with others in the same way. */
  image: string
  /** The tail-latency target of a serving task, in milliseconds; 0 for a task that does not serve requests. */
  targetMilliseconds: number
  /** The tasks are best-effort: they reserve no processors and use those that other tasks leave unused. */
  fills: boolean
  /** The maximum number of tasks of a long-running step that the scheduler may keep stopped at the same time. */
  maximumAway: number
}

/** The maximum number of tasks of a job over all its occurrences; a successor reads a row for each 128 of them. */
const MAXIMUM_JOB_TASKS = 10_000_000
/** The maximum number of members of a gang, which are started at the same time. */
const MAXIMUM_GANG_TASKS = 100_000

/** The part of a job that its submitter specifies. */
export interface JobSpecification {
  /** Opaque text that is passed to the worker with each start. */
  taskDescription: string
  steps: StepSpecification[]
  /** The time of day of the first occurrence, in milliseconds since 1970; 0 for a job without a schedule. */
  startAtMilliseconds: number
  /** The time between the starts of two occurrences. */
  intervalMilliseconds: number
  /** The number of occurrences; 0 for a job without a schedule. */
  repeatCount: number
}

/** A job as it was accepted, with the rules that its queue had at that time. */
export interface JobSubmission {
  jobId: string
  queueName: string
  /** The client account of the job; absent on a site without accounts and for a call without a key. */
  accountName?: string
  serviceName: string
  /** 0 is the highest priority. */
  priority: number
  /** The number of failed attempts of one task at which the job fails. */
  attemptLimit: number
  /** The latency objective is this multiple of the job's critical path, plus `targetLatencyMilliseconds`. */
  stretch: number
  targetLatencyMilliseconds: number
  /** The time of day at which the job was accepted, in milliseconds since 1970. */
  acceptedAtMilliseconds: number
  specification: JobSpecification
}

/** The state of a job that its submitter sees. */
export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled'

/** The terminal states of a job. */
export type FinalJobState = 'completed' | 'failed' | 'cancelled'

/**
 * Returns whether the owner can hold the tasks of a job.
 * @param specification The job.
 * @returns Whether its numbers of tasks and of occurrences are whole and not too large.
 */
export function hasValidTaskCount (specification: JobSpecification): boolean {
  const { steps, repeatCount } = specification
  const counts = [repeatCount, ...steps.map(step => step.taskCount)]
  const taskCount = steps.reduce((sum, step) => sum + step.taskCount, 0)
  return counts.every(count => Number.isSafeInteger(count) && count >= 0) &&
    Math.max(1, taskCount) * Math.max(1, repeatCount) <= MAXIMUM_JOB_TASKS &&
    steps.every(step => !step.gang || step.taskCount <= MAXIMUM_GANG_TASKS)
}
