import type { AccountUsage } from '../accounts/index.js'
import { IndexRanges } from './IndexRanges.js'
import type { FinalJobState, JobSubmission, StepSpecification } from './JobSpecification.js'
import { getOccurrenceTaskCount, type ProgressSegment } from './ProgressSegment.js'
import { StepTasks } from './StepTasks.js'

/** The states of one run. A run that is over has no state: it is removed from the runs of its task. */
export type RunState = 'starting' | 'running' | 'stopping'

/** One run of a task on one worker, identified by its attempt. */
export interface RunRecord {
  task: TaskRecord
  /** The attempt number, unique for the task across all owners. */
  attempt: number
  workerId: string
  /** Whether an earlier owner started the run; `startedAt` is then the time of the first report of it. */
  isAdopted: boolean
  state: RunState
  /** Monotonic time at which the owner decided the start. */
  startedAt: number
  /** Monotonic time at which the start order was last sent; -Infinity before it is sent for the first time. */
  sentAt: number
  /**
   * The deadline that all sends of the start order carry, on the clock of the worker, which rejects later ones;
   * Infinity when it is not known.
   */
  startDeadline: number
  /** The number of sends of the start order without a response, which the worker may still receive. */
  openSendCount: number
  /** Whether a send of the start order got no response although its connection did not break. */
  isUnanswered: boolean
  /** Whether a report has listed the run as running. */
  isListed: boolean
  /** Whether a best-effort run asks for more than the unused processors of its worker, see `hasUnusedProcessors`. */
  exceedsUnusedProcessors: boolean
  /** Whether the worker did not respond to the start, so that it may execute it at any time before a confirmed stop. */
  startUncertain: boolean
  /** Whether a stop over the connections for orders got no response, so that it is sent with the reports as well. */
  isStopUnanswered: boolean
  /** Monotonic time at which the worker confirmed that it executed the start or the stop; null before that. */
  confirmedAt: number | null
  /** Progress in percent, as reported by the worker. A serving task is at 100 once it has started up. */
  percent: number
  /** Monotonic time at which `percent` last changed. */
  progressedAt: number
  /** The tail latency in milliseconds of a serving task; the usage in thousandths of a processor of any other task. */
  usageFigure: number
  /** The share of full speed, in percent, that the last pace order sets; -1 when it is not known. */
  pacePercent: number
  /** Monotonic time since when the tail latency of a serving task exceeds its target, or null. */
  overTargetSince: number | null
  /** Monotonic time since when the pace of the run is too low to leave it on its worker, or null. */
  slowedSince: number | null
}

/**
 * Where a run that an earlier owner started and that this owner does not know of may exist: nowhere (`none`), only on
 * the worker to which the task is assigned (`assigned`), or on any worker of earlier owners (`any`).
 */
export type EarlierRunScope = 'none' | 'assigned' | 'any'

/** One task of one step of an occurrence. */
export interface TaskRecord {
  step: StepRecord
  index: number
  /** The task name that workers use, see `getTaskName`. */
  name: string
  done: boolean
  /** The failed attempts. A set, because workers repeat a completion to each new owner until it is acknowledged. */
  failedAttempts: Set<number>
  /** The number of the next attempt; attempt numbers only increase. */
  nextAttempt: number
  /** The latest checkpoint; empty when there is none. */
  checkpoint: string
  runs: RunRecord[]
  /** The worker of the latest start of a long-running task, stored before the start is sent; null for no start. */
  assignedWorkerId: string | null
  earlierRuns: EarlierRunScope
  /** Whether a worker has executed a start of the task, or may have executed one without a response. */
  hasRun: boolean
  /** Workers on which a run of the task failed or stalled; the next run avoids them. */
  failedWorkerIds: Set<string>
  /** Workers that refused a start of the task; the next run avoids them even more. */
  refusingWorkerIds: Set<string>
  /** Monotonic time at which the latest start that never ran was refused or not sent; -Infinity for none. */
  startRefusedAt: number
  /** The number of runs that were stopped because they made no visible progress. */
  stallCount: number
  /**
   * Monotonic time at which the last run ended, or at which the task was created; starts that never ran do not count.
   */
  waitingSince: number
}

/** One step of an occurrence. */
export interface StepRecord {
  occurrence: OccurrenceRecord
  index: number
  specification: StepSpecification
  /** The number of the step's first task among all tasks of the job, see `ProgressSegment`. */
  firstTaskNumber: number
  tasks: StepTasks
}

/** One execution of all steps of a job. */
export interface OccurrenceRecord {
  job: JobRecord
  number: number
  steps: StepRecord[]
  /** Whether all of its starts by this owner exceeded unused processors, so that it does not count as begun. */
  hasOnlyExcessStarts: boolean
}

/** A job that has no final state yet, or whose final state is not durable yet. */
export interface JobRecord {
  submission: JobSubmission
  /** What the client account of the job has running; null when it is not counted. */
  account: AccountUsage | null
  occurrences: Map<number, OccurrenceRecord>
  /** Each occurrence with a lower number is created or done. */
  nextOccurrenceNumber: number
  finishedOccurrences: IndexRanges
  /** The segments of the progress that have changed or are stored, by index. */
  progressSegments: Map<number, ProgressSegment>
  /** The keys of the stored rows of the progress beside the job's first one, which are deleted after its end. */
  furtherProgressKeys: Set<string>
  /** Whether a worker has executed a start of one of its tasks. */
  hasStarted: boolean
  /** Whether an earlier owner accepted the job and some of its workers are not reconciled yet. */
  recovered: boolean
  /** Whether this owner knows which long-running tasks earlier owners have started, and on which workers. */
  hasStoredAssignments: boolean
  finalState: FinalJobState | null
  /** Monotonic time at which this process accepted or loaded the job. */
  addedAt: number
}

/** Options of a job record. */
export interface JobRecordOptions {
  submission: JobSubmission
  /** What the client account of the job has running; null, the default, when it is not counted. */
  account?: AccountUsage | null
  /** Whether an earlier owner accepted the job. */
  recovered?: boolean
  /** Whether all owners since the submission of the job have stored the assignments of its long-running tasks. */
  hasStoredAssignments?: boolean
  /** The monotonic time. */
  now: number
}

/**
 * Creates the record of a job that has made no progress.
 * @param options The submission and what earlier owners have stored.
 * @returns The record, without occurrences.
 */
export function createJobRecord (options: JobRecordOptions): JobRecord {
  const { submission, account = null, recovered = false, hasStoredAssignments = false, now } = options
  return {
    submission,
    account,
    occurrences: new Map(),
    nextOccurrenceNumber: 0,
    finishedOccurrences: IndexRanges.create(),
    progressSegments: new Map(),
    furtherProgressKeys: new Set(),
    hasStarted: false,
    recovered,
    hasStoredAssignments: !recovered || hasStoredAssignments,
    finalState: null,
    addedAt: now
  }
}

/**
 * Returns the name that identifies a task to workers.
 * @param jobId The job.
 * @param occurrence The number of the occurrence.
 * @param step The index of the step in the job.
 * @param index The index of the task in its step.
 * @returns The name, unique among all tasks.
 */
export function getTaskName (jobId: string, occurrence: number, step: number, index: number): string {
  return `${jobId}.${occurrence}.${step}.${index}`
}

/**
 * Returns the number of occurrences of a job; a job without a schedule has one.
 * @param submission The job.
 * @returns The number, at least 1.
 */
export function getOccurrenceCount (submission: JobSubmission): number {
  return Math.max(1, submission.specification.repeatCount)
}

/**
 * Creates an occurrence none of whose tasks has been started.
 * @param job The job.
 * @param number The number of the occurrence.
 * @param firstAttempt The number of the first attempt of each task.
 * @param now The monotonic time.
 * @returns The occurrence.
 */
export function createOccurrence (
  job: JobRecord, number: number, firstAttempt: number, now: number
): OccurrenceRecord {
  const occurrence: OccurrenceRecord = { job, number, steps: [], hasOnlyExcessStarts: false }
  const createWaitingTask = (step: StepRecord, index: number) => createTask(step, index, firstAttempt, now)
  let firstTaskNumber = number * getOccurrenceTaskCount(job)
  occurrence.steps = job.submission.specification.steps.map((specification, index) => {
    const step = { occurrence, index, specification, firstTaskNumber } as StepRecord
    step.tasks = StepTasks.create(step, createWaitingTask)
    firstTaskNumber += specification.taskCount
    return step
  })
  return occurrence
}

/**
 * Creates the record of a task that this owner has not started.
 * @param step The step.
 * @param index The index of the task in its step.
 * @param firstAttempt The number of the first attempt.
 * @param waitingSince Monotonic time since when the task waits.
 * @returns The record.
 */
function createTask (step: StepRecord, index: number, firstAttempt: number, waitingSince: number): TaskRecord {
  const { job, number } = step.occurrence
  return {
    step,
    index,
    name: getTaskName(job.submission.jobId, number, step.index, index),
    done: false,
    failedAttempts: new Set(),
    nextAttempt: firstAttempt,
    checkpoint: '',
    assignedWorkerId: null,
    earlierRuns: getInitialScope(job, step.specification),
    runs: [],
    hasRun: false,
    failedWorkerIds: new Set(),
    refusingWorkerIds: new Set(),
    startRefusedAt: -Infinity,
    stallCount: 0,
    waitingSince
  }
}

/**
 * Returns whether a job has long-running tasks.
 * @param job The job.
 * @returns Whether a step of it is long-running.
 */
export function hasLongRunningStep (job: JobRecord): boolean {
  return job.submission.specification.steps.some(step => step.longRunning)
}

function getInitialScope (job: JobRecord, step: StepSpecification): EarlierRunScope {
  if (!job.recovered) return 'none'
  return step.longRunning && job.hasStoredAssignments ? 'assigned' : 'any'
}

/**
 * Creates the record of a run whose start was decided but not sent.
 * @param task The task.
 * @param workerId The worker.
 * @param attempt The attempt number.
 * @param now The monotonic time.
 * @returns The run, which `addRun` adds to its task and worker.
 */
export function createRun (task: TaskRecord, workerId: string, attempt: number, now: number): RunRecord {
  return {
    task,
    attempt,
    workerId,
    isAdopted: false,
    state: 'starting',
    startedAt: now,
    sentAt: -Infinity,
    startDeadline: Infinity,
    openSendCount: 0,
    isUnanswered: false,
    isListed: false,
    exceedsUnusedProcessors: false,
    startUncertain: false,
    isStopUnanswered: false,
    confirmedAt: null,
    percent: 0,
    progressedAt: now,
    usageFigure: 0,
    pacePercent: 100,
    overTargetSince: null,
    slowedSince: null
  }
}

/**
 * Returns whether all steps that a step depends on are done.
 * @param step The step.
 * @returns Whether the tasks of the step may start.
 */
export function isStepReady (step: StepRecord): boolean {
  return step.specification.afterSteps.every(index => {
    const earlier = step.occurrence.steps[index]
    return earlier?.tasks.remainingCount === 0
  })
}
