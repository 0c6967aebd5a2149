import type { FinalJobState, JobSubmission, StepSpecification } from './JobSpecification.js'

/** The states of one run; a run is over when it is no longer listed with its task. */
export type RunState = 'starting' | 'running' | 'stopping'

/** One run of a task on one worker. */
export interface RunRecord {
  task: TaskRecord
  attempt: number
  workerId: string
  state: RunState
  /** Monotonic time of the start order. */
  startedAt: number
  /** Monotonic time at which the start order was last sent, -Infinity while it was not. */
  sentAt: number
  /** The start got no answer, so it may be carried out later unless a stop rules it out. */
  startUncertain: boolean
  /** Monotonic time from which the start is known to have been carried out or stopped, or null. */
  confirmedAt: number | null
  /** Progress in percent as the worker reports it. */
  percent: number
  /** Monotonic time at which `percent` last changed. */
  progressedAt: number
  /** Tail latency in milliseconds of a serving task, processors in use (thousandths) of any other. */
  usageFigure: number
  /** The share of full speed, in percent, that the worker was told. */
  pacePercent: number
  /** Monotonic time since when the tail of a serving task is over its target, or null. */
  overTargetSince: number | null
  /** Monotonic time since when the run is slowed, or null. */
  slowedSince: number | null
}

/** One task of one occurrence of a step. */
export interface TaskRecord {
  step: StepRecord
  index: number
  name: string
  done: boolean
  /** The attempts that failed; a set, as an end is listed again to the next owner until it is acknowledged. */
  failedAttempts: Set<number>
  /** The number of the next start; numbers only rise. */
  nextAttempt: number
  /** The newest checkpoint; empty when there is none. */
  checkpoint: string
  runs: RunRecord[]
  /** Workers on which a run failed, to be avoided by the next one. */
  failedWorkerIds: Set<string>
  /** Monotonic time of the last end of a run, or of the moment when the task became ready. */
  waitingSince: number
}

/** One step of one occurrence. */
export interface StepRecord {
  occurrence: OccurrenceRecord
  index: number
  specification: StepSpecification
  tasks: TaskRecord[]
  doneCount: number
}

/** One execution of all steps of a job. */
export interface OccurrenceRecord {
  job: JobRecord
  number: number
  steps: StepRecord[]
  doneCount: number
}

/** A job that has not reached a final state, or whose final state is not yet durable. */
export interface JobRecord {
  submission: JobSubmission
  occurrences: Map<number, OccurrenceRecord>
  finishedOccurrences: Set<number>
  hasStarted: boolean
  /** Accepted before this process became owner, so tasks may run on workers that have not answered yet. */
  recovered: boolean
  finalState: FinalJobState | null
  /** Monotonic time at which this process learned of the job. */
  addedAt: number
}

/**
 * Returns the workers' name of a task.
 * @param jobId The job.
 * @param occurrence The number of the occurrence.
 * @param step The index of the step.
 * @param index The index of the task in its step.
 * @returns The name, unique among all tasks.
 */
export function getTaskName (jobId: string, occurrence: number, step: number, index: number): string {
  return `${jobId}.${occurrence}.${step}.${index}`
}

/**
 * Returns the number of occurrences of a job; a job without schedule has one.
 * @param submission The job.
 * @returns The number, at least 1.
 */
export function getOccurrenceCount (submission: JobSubmission): number {
  return Math.max(1, submission.specification.repeatCount)
}

/**
 * Creates an occurrence with all its tasks waiting.
 * @param job The job.
 * @param number The number of the occurrence.
 * @param firstAttempt The number of the first start of each task.
 * @param now The monotonic time.
 * @returns The occurrence.
 */
export function createOccurrence (
  job: JobRecord, number: number, firstAttempt: number, now: number
): OccurrenceRecord {
  const occurrence: OccurrenceRecord = { job, number, steps: [], doneCount: 0 }
  occurrence.steps = job.submission.specification.steps.map((specification, index) => {
    const step: StepRecord = { occurrence, index, specification, tasks: [], doneCount: 0 }
    for (let taskIndex = 0; taskIndex < specification.taskCount; taskIndex++) {
      step.tasks.push({
        step,
        index: taskIndex,
        name: getTaskName(job.submission.jobId, number, index, taskIndex),
        done: false,
        failedAttempts: new Set(),
        nextAttempt: firstAttempt,
        checkpoint: '',
        runs: [],
        failedWorkerIds: new Set(),
        waitingSince: now
      })
    }
    return step
  })
  return occurrence
}

/**
 * Creates a run that is about to start.
 * @param task The task.
 * @param workerId The worker.
 * @param attempt The number of the start.
 * @param now The monotonic time.
 * @returns The run, not yet among those of its task and worker.
 */
export function createRun (task: TaskRecord, workerId: string, attempt: number, now: number): RunRecord {
  return {
    task,
    attempt,
    workerId,
    state: 'starting',
    startedAt: now,
    sentAt: -Infinity,
    startUncertain: false,
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
 * Tells whether all steps before a step are done.
 * @param step The step.
 * @returns Whether the tasks of the step may start.
 */
export function isStepReady (step: StepRecord): boolean {
  return step.specification.afterSteps.every(index => {
    const earlier = step.occurrence.steps[index]
    return earlier !== undefined && earlier.doneCount === earlier.tasks.length
  })
}
