import { AccountDirectory, type AccountUsage } from '../accounts/index.js'
import {
  createJobRecord, findTask, getLastSegmentIndex, getOccurrence, getOccurrenceCount, getOccurrenceSegment,
  getProgressSegment, getSegmentIndex, getTaskSegment, hasLongRunningStep, restoreProgress, type FinalJobState,
  type JobRecord, type JobState, type JobSubmission, type OccurrenceRecord, type ProgressSegment,
  type StepSpecification, type StoredProgressRow, type TaskRecord
} from '../jobs/index.js'
import { hasStartedOccurrence } from './hasStartedTask.js'
import { isNextOccurrenceDue } from './hasWaitingTask.js'
import { WaitingRestarts } from './WaitingRestarts.js'

/** How long a durable final state can be queried before it is removed. */
const FINAL_STATE_RETENTION_MILLISECONDS = 180_000

/** The steps of occurrences without a started task that exist at once for a job with many due occurrences. */
const UNSTARTED_STEP_LIMIT = 256

/** Each epoch has its own range of attempt numbers, so that no number is used twice for a task. */
const ATTEMPTS_PER_EPOCH = 1000

/** A job to add that was loaded from the store or newly accepted. */
export interface NewJob {
  submission: JobSubmission
  /** The stored rows of the job's progress. */
  progress: readonly StoredProgressRow[]
  /** Whether an earlier owner accepted the job. */
  recovered: boolean
  /** Whether all owners since the submission of the job have stored the assignments of its long-running tasks. */
  hasStoredAssignments?: boolean
}

/** A job that has ended. */
interface FinishedJob {
  state: FinalJobState
  /** The monotonic time since which the state is durable. */
  since: number
  accountName: string | undefined
  /** The steps of a job with an account, whose runs may not be over; null when they are not known or needed. */
  steps: readonly StepSpecification[] | null
}

/** Tasks of one step that an earlier owner may have started. */
export interface EndedTasks {
  account: AccountUsage
  specification: StepSpecification
  taskCount: number
}

/** Options of a table of jobs. */
export interface JobTableOptions {
  /** The epoch of the owner, which selects the range of attempt numbers. */
  epoch: number
  /** The client accounts; none by default. */
  accounts: AccountDirectory
  /** The number of members of the largest gang that is started; no limit by default. */
  largestGang: number
}

/** The jobs of one shard and the states that are reported to their submitters. */
export class JobTable {
  readonly waitingRestarts = WaitingRestarts.create()
  private readonly jobs = new Map<string, JobRecord>()
  private readonly finalStates = new Map<string, FinishedJob>()
  /** The segments with progress that is not durable yet, those first that changed first. */
  private changed = new Set<ProgressSegment>()
  /** The tasks of cancelled and failed jobs that earlier owners accepted; empty once all workers are reconciled. */
  private endedRecoveredTasks: EndedTasks[] = []
  private recoveries = 0

  private constructor (private readonly options: JobTableOptions) {}

  /**
   * Creates an empty table.
   * @param options The epoch of the owner, and what differs from the defaults.
   * @returns The table.
   */
  static create (options: Pick<JobTableOptions, 'epoch'> & Partial<JobTableOptions>): JobTable {
    return new JobTable({ accounts: AccountDirectory.create(), largestGang: Infinity, ...options })
  }

  /** The number of the first attempt of a task under this owner. */
  get firstAttempt (): number {
    return (this.options.epoch - 1) * ATTEMPTS_PER_EPOCH + 1
  }

  /**
   * Adds a job unless the table already has it.
   * @param added The job and its stored progress.
   * @param now The monotonic time.
   */
  add (added: NewJob, now: number): void {
    const { submission } = added
    if (this.jobs.has(submission.jobId)) return
    const job = createJobRecord({ ...added, account: this.options.accounts.getUsage(submission.accountName), now })
    const finished = this.finalStates.get(submission.jobId)
    if (finished !== undefined) return this.keepEnded(job, finished)
    if (added.recovered) this.recoveries++
    const moved = restoreProgress(job, added.progress, this.firstAttempt, now, step => this.mayStart(step))
    if (job.finalState !== null) {
      this.setFinalState(submission.jobId, job.finalState, now, submission.accountName)
      return this.keepEnded(job, this.finalStates.get(submission.jobId)!)
    }
    this.jobs.set(submission.jobId, job)
    for (const segment of moved) this.markChanged(segment)
    this.completeRestored(job)
    this.waitingRestarts.addJob(job)
  }

  /** Keeps a durable final state for queries. */
  setFinalState (jobId: string, state: FinalJobState, now: number, accountName?: string): void {
    this.finalStates.set(jobId, { state, since: now, accountName, steps: null })
  }

  /** The number of added jobs that earlier owners may have started. */
  get recoveryCount (): number {
    return this.recoveries
  }

  /** Returns the tasks of ended jobs that earlier owners accepted, and that may run on unreconciled workers. */
  getEndedRecoveredTasks (): readonly EndedTasks[] {
    return this.endedRecoveredTasks
  }

  /** Returns a job that is live or whose final state is not durable yet. */
  getJob (jobId: string): JobRecord | undefined {
    return this.jobs.get(jobId)
  }

  /** Returns all jobs that are live or whose final state is not durable yet. */
  getJobs (): IterableIterator<JobRecord> {
    return this.jobs.values()
  }

  /** The number of jobs that are live or whose final state is not durable yet. */
  get liveCount (): number {
    return this.jobs.size
  }

  /** Records that the runs of all earlier owners are known, so that every task without a run may start. */
  confirmRecovered (): void {
    this.endedRecoveredTasks = []
    for (const job of this.jobs.values()) {
      if (!job.recovered) continue
      job.recovered = false
      for (const { steps } of job.occurrences.values()) {
        for (const step of steps) for (const task of step.tasks.getAllCreated()) task.earlierRuns = 'none'
      }
      if (!job.hasStoredAssignments && hasLongRunningStep(job)) this.markAssignmentsChanged(job)
      job.hasStoredAssignments = true
    }
  }

  /**
   * Returns the state of a job as reported to its submitter.
   * @param jobId The job.
   * @returns The state, or null when the job is unknown.
   */
  getState (jobId: string): JobState | null {
    const job = this.jobs.get(jobId)
    if (job === undefined) return this.finalStates.get(jobId)?.state ?? null
    return job.hasStarted ? 'running' : 'pending'
  }

  /**
   * Returns the client account of a job.
   * @param jobId The job.
   * @returns The name, or undefined when the job has none or is unknown.
   */
  getAccountName (jobId: string): string | undefined {
    return this.jobs.get(jobId)?.submission.accountName ?? this.finalStates.get(jobId)?.accountName
  }

  /**
   * Finds what a run counts for that belongs to no live task.
   * @param taskName The name of its task.
   * @returns The account and what the run reserves, or null when the job or its account is unknown.
   */
  findEndedTask (taskName: string): { account: AccountUsage, resources: StepSpecification } | null {
    const [jobId, , stepIndex] = taskName.split('.')
    const finished = this.finalStates.get(jobId)
    const submission = this.jobs.get(jobId)?.submission
    const accountName = submission?.accountName ?? finished?.accountName
    const steps = submission?.specification.steps ?? finished?.steps
    const resources = steps?.[Number(stepIndex)]
    if (accountName === undefined || resources === undefined) return null
    return { account: this.options.accounts.getUsage(accountName), resources }
  }

  /**
   * Counts the jobs of a queue that are live or whose final state is not durable yet.
   * @param queueName The queue.
   * @returns The jobs for which no task has started, those for which one has, and those with a final state.
   */
  countByProgress (queueName: string): { waiting: number, started: number, ended: number } {
    const counts = { waiting: 0, started: 0, ended: 0 }
    for (const job of this.jobs.values()) {
      if (job.submission.queueName !== queueName) continue
      if (job.finalState !== null) counts.ended++
      else if (job.hasStarted) counts.started++
      else counts.waiting++
    }
    return counts
  }

  /**
   * Finds a task by the name that workers use.
   * @param taskName The name.
   * @param now The monotonic time.
   * @returns The task, or undefined when it belongs to no live job.
   */
  findTask (taskName: string, now: number): TaskRecord | undefined {
    const separator = taskName.indexOf('.')
    const job = this.jobs.get(taskName.slice(0, separator))
    if (separator < 0 || job === undefined || job.finalState !== null) return undefined
    return findTask(job, taskName.slice(separator + 1), this.firstAttempt, now)
  }

  /**
   * Creates occurrences that are due, and finishes those without tasks. All occurrences of a job have steps of the same
   * sizes, so while some find no worker for any task, later ones find none either and are not created yet.
   * @param job The job.
   * @param wallMilliseconds The time of day.
   * @param now The monotonic time.
   */
  createDueOccurrences (job: JobRecord, wallMilliseconds: number, now: number): void {
    if (!isNextOccurrenceDue(job, wallMilliseconds)) return
    const stepCount = job.submission.specification.steps.length
    const limit = Math.max(1, Math.floor(UNSTARTED_STEP_LIMIT / stepCount))
    let unstarted = 0
    for (const occurrence of job.occurrences.values()) if (!hasStartedOccurrence(occurrence)) unstarted++
    while (unstarted < limit && isNextOccurrenceDue(job, wallMilliseconds)) {
      const occurrence = getOccurrence(job, job.nextOccurrenceNumber, this.firstAttempt, now)
      if (occurrence !== undefined) this.finishIfComplete(occurrence)
      unstarted++
    }
  }

  /**
   * Marks a task as done, and with its last task the occurrence and with its last occurrence the job.
   * @param task The task.
   */
  markDone (task: TaskRecord): void {
    if (task.done) return
    const { step } = task
    const { occurrence } = step
    step.tasks.markDone(task.index)
    this.markChanged(getTaskSegment(task))
    this.finishIfComplete(occurrence)
  }

  /** Sets the final state of a job, which is reported to the submitter once it is durable. */
  finish (job: JobRecord, state: FinalJobState): void {
    if (job.finalState !== null) return
    job.finalState = state
    for (const segment of job.progressSegments.values()) this.changed.delete(segment)
    this.markChanged(getProgressSegment(job, 0))
  }

  /** Marks the segment of a task as having progress that is not durable yet. */
  markTaskChanged (task: TaskRecord): void {
    this.markChanged(getTaskSegment(task))
  }

  /**
   * Marks a segment as having progress that is not durable yet. The first segment is stored with any other one, because
   * its row tells callers that the job has started.
   */
  markChanged (segment: ProgressSegment): void {
    const first = getProgressSegment(segment.job, 0)
    this.changed.add(getChangedSegment(segment))
    if (!first.isStored) this.changed.add(first)
  }

  /**
   * Marks segments again that were taken and not written; they precede those that have changed since.
   * @param segments The segments, in the order in which they were taken.
   */
  returnChanged (segments: readonly ProgressSegment[]): void {
    this.changed = new Set([...segments.map(getChangedSegment), ...this.changed])
  }

  /**
   * Takes segments whose progress must be made durable.
   * @param limit The maximum number of segments.
   * @returns The segments, which are no longer marked as changed.
   */
  takeChanged (limit: number): ProgressSegment[] {
    const taken: ProgressSegment[] = []
    for (const segment of this.changed) {
      if (taken.length === limit) break
      taken.push(segment)
      this.changed.delete(segment)
    }
    return taken
  }

  /** The number of segments with progress that is not durable yet. */
  get changedCount (): number {
    return this.changed.size
  }

  /** Counts the jobs with progress that is not durable yet. */
  countChangedJobs (): number {
    return new Set([...this.changed].map(({ job }) => job)).size
  }

  /**
   * Records that the encoded progress of segments is durable.
   * @param written The segments and the final states that were written.
   * @param now The monotonic time.
   */
  confirmDurable (written: Array<{ segment: ProgressSegment, state: FinalJobState | null }>, now: number): void {
    for (const { segment, state } of written) {
      segment.isStored = true
      const { job } = segment
      if (state === null) continue
      this.jobs.delete(job.submission.jobId)
      this.changed.delete(getProgressSegment(job, 0))
      this.setFinalState(job.submission.jobId, state, now, job.submission.accountName)
      this.keepEnded(job, this.finalStates.get(job.submission.jobId)!)
    }
  }

  /**
   * Removes final states whose retention time is over.
   * @param now The monotonic time.
   * @returns The jobs whose rows may be removed.
   */
  expireFinalStates (now: number): string[] {
    const expired: string[] = []
    for (const [jobId, { since }] of this.finalStates) {
      if (now - since < FINAL_STATE_RETENTION_MILLISECONDS) break
      this.finalStates.delete(jobId)
      expired.push(jobId)
    }
    return expired
  }

  /** Keeps what the runs of an ended job count for in its account, until a report shows that they are over. */
  private keepEnded (job: JobRecord, finished: FinishedJob): void {
    const { account, submission: { accountName, specification: { steps } } } = job
    if (accountName === undefined || account === null || finished.steps !== null) return
    finished.steps = steps
    // The tasks of a completed job are done, and the runs that this owner knows of count by themselves.
    if (!job.recovered || finished.state === 'completed') return
    this.recoveries++
    if (job.occurrences.size === 0) {
      for (const specification of steps) {
        this.endedRecoveredTasks.push({ account, specification, taskCount: specification.taskCount })
      }
      return
    }
    for (const occurrence of job.occurrences.values()) {
      for (const { specification, tasks } of occurrence.steps) {
        this.endedRecoveredTasks.push({ account, specification, taskCount: tasks.idleCount })
      }
    }
  }

  /**
   * Completes what the stored progress implies: the members of a gang are done together, but are stored in several
   * rows, not all of which may have been written.
   */
  private completeRestored (job: JobRecord): void {
    for (const occurrence of [...job.occurrences.values()]) {
      for (const step of occurrence.steps) {
        const { tasks, specification } = step
        if (!specification.gang || tasks.remainingCount === tasks.count) continue
        for (const index of tasks.getRemainingIndexes()) {
          tasks.markDone(index)
          this.markChanged(getProgressSegment(job, getSegmentIndex(step, index)))
        }
      }
      this.finishIfComplete(occurrence)
    }
  }

  /** Returns whether this owner starts the tasks of a step; a gang that is too large never runs. */
  private mayStart ({ gang, taskCount }: StepSpecification): boolean {
    return !gang || taskCount <= this.options.largestGang
  }

  /** Finishes an occurrence all of whose tasks are done, and with the last occurrence the job. */
  private finishIfComplete ({ job, number, steps }: OccurrenceRecord): void {
    if (steps.some(({ tasks }) => tasks.remainingCount > 0)) return
    job.occurrences.delete(number)
    job.finishedOccurrences.add(number)
    this.markOccurrenceFinished(job, number)
    if (job.finishedOccurrences.size === getOccurrenceCount(job.submission)) this.finish(job, 'completed')
  }

  /**
   * Marks the segment that holds that an occurrence is done. It is stored before the other ones of the occurrence,
   * whose rows no longer list its done tasks.
   */
  private markOccurrenceFinished (job: JobRecord, number: number): void {
    const segment = getOccurrenceSegment(job, number)
    const lastIndex = getLastSegmentIndex(job, number)
    this.markChanged(segment)
    for (let index = segment.index + 1; index <= lastIndex; index++) {
      const other = job.progressSegments.get(index)
      if (other !== undefined && this.changed.delete(other)) this.changed.add(other)
    }
  }

  /** Marks all segments of a job that hold assignments, or hold in the store that these are unknown. */
  private markAssignmentsChanged (job: JobRecord): void {
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) {
        for (const task of step.tasks.getAllCreated()) if (task.assignedWorkerId !== null) getTaskSegment(task)
      }
    }
    // The rows of the other segments are stored first, because the first one tells that the assignments are known.
    const first = getProgressSegment(job, 0)
    this.changed.delete(first)
    for (const segment of job.progressSegments.values()) if (segment !== first) this.changed.add(segment)
    this.changed.add(first)
  }
}

/** Returns the segment to store for a change: that of the final state once the job has ended. */
function getChangedSegment (segment: ProgressSegment): ProgressSegment {
  return segment.job.finalState === null ? segment : getProgressSegment(segment.job, 0)
}
