import { StartJudge, type StartCircumstances, type StartJudgeOptions } from './StartJudge.js'

/** Options of a judge. */
export interface RunJudgeOptions {
  /** Whether a listed completion counts as acknowledged, so that starting its task again is a violation. */
  treatsListedAsAcknowledged: boolean
  /** The rules of jobs; by default, all tasks are judged as plain ones of a job with any specification. */
  starts?: StartJudgeOptions
}

/** Observes what the workers execute. */
export interface RunObserver {
  /** Called when a worker has executed a start; `isLate` if that was long after it was sent. */
  recordStart (taskName: string, attempt: number, workerId: string, isLate: boolean): void
  /** Called when a run has ended in any way. */
  recordRunEnd (taskName: string): void
}

/** Test oracle that records the runs of all emulated workers and collects violations of the invariants on runs. */
export class RunJudge {
  readonly violations: string[] = []
  /** Further oracles, each of which judges the same runs. */
  readonly observers = new Set<RunObserver>()
  private readonly running = new Map<string, Set<string>>()
  private readonly acknowledged = new Set<string>()
  /** Tasks with a listed completion, whether or not it was acknowledged. */
  private readonly listedTasks = new Set<string>()
  /** The completions that worker processes hold until they are acknowledged, by the name of the task or gang. */
  private readonly heldCompletions = new Map<string, Set<string>>()
  /** Starts that followed a completion which was not noted by then, by task name and completed attempt. */
  private readonly startsAfterCompletion = new Map<string, Map<number, string[]>>()
  private readonly submittedJobs = new Set<string>()
  startCount = 0
  /** The worker ID of each start, in the order of the starts. */
  readonly startWorkerIds: string[] = []
  /** The worker of the last run of each task that has run. */
  readonly lastRunWorkerIds = new Map<string, string>()
  /** The worker to which the last start of each task was sent, whether or not it arrived. */
  readonly lastOrderWorkerIds = new Map<string, string>()
  /** The times at which workers received starts of each task that they have not executed, the earliest first. */
  private readonly lateOrderTimes = new Map<string, number[]>()
  /** The worker ID of each run that ended because the lease of its worker had expired. */
  readonly lapsedRunWorkerIds: string[] = []
  /** Number of failed runs of each task, over all workers. */
  readonly failureCounts = new Map<string, number>()
  /** Number of runs of each task, or gang, that have failed for any cause. */
  private readonly failedEndCounts = new Map<string, number>()
  /** The jobs with a task that has failed as often as its queue allows. */
  private readonly failedJobs = new Set<string>()
  /** The ends of gang members that waited too long for the others. */
  readonly aloneEnds: string[] = []
  private readonly startJudge: StartJudge | null
  private readonly runCountByJob = new Map<string, number>()
  private readonly startedAt = new Map<string, number>()
  private readonly lastEndAt = new Map<string, number>()

  private constructor (private readonly options: RunJudgeOptions) {
    this.startJudge = options.starts === undefined ? null : StartJudge.create(options.starts)
  }

  /**
   * Creates a judge without records.
   * @param options Which completions count as acknowledged.
   * @returns The judge.
   */
  static create (options: RunJudgeOptions = { treatsListedAsAcknowledged: false }): RunJudge {
    return new RunJudge(options)
  }

  /** Records that a client has submitted a job, so that its tasks may be started. */
  recordSubmission (jobId: string): void {
    this.submittedJobs.add(jobId)
  }

  /** Records that an owner has sent a start, which may be lost on its way. */
  recordOrder (taskName: string, workerId: string): void {
    this.lastOrderWorkerIds.set(taskName, workerId)
  }

  /** Records that a worker does not respond to a start and executes it later. */
  recordLateOrder (taskName: string, at: number): void {
    this.lateOrderTimes.set(taskName, [...this.lateOrderTimes.get(taskName) ?? [], at])
  }

  /** Returns when a worker last received a start of a task that it has not executed; -Infinity for none. */
  getLateOrderedAt (taskName: string): number {
    return this.lateOrderTimes.get(taskName)?.at(-1) ?? -Infinity
  }

  /** Records a start that a worker has executed, and checks the invariants. */
  recordStart (
    taskName: string, attempt: number, workerId: string, isWithinCapacity: boolean, circumstances?: StartCircumstances
  ): void {
    this.startCount++
    if (circumstances?.isLate === true) this.lateOrderTimes.get(taskName)?.shift()
    for (const observer of this.observers) {
      observer.recordStart(taskName, attempt, workerId, circumstances?.isLate === true)
    }
    this.startWorkerIds.push(workerId)
    this.lastRunWorkerIds.set(taskName, workerId)
    const runs = this.running.get(taskName) ?? new Set()
    const step = this.startJudge?.getRules(taskName)?.step
    if (runs.size > 0 && step?.speculative !== true) {
      this.violations.push(`twice: ${taskName} run ${attempt} on ${workerId} beside ${[...runs].join()}`)
    }
    if (step?.speculative !== true && step?.longRunning !== true) this.checkEarlierEnds(taskName, attempt, workerId)
    if (circumstances !== undefined && this.startJudge !== null) {
      this.violations.push(...this.startJudge.recordStart(taskName, attempt, workerId, circumstances))
    }
    if (!isWithinCapacity) this.violations.push(`limit: ${workerId} is over its capacity with ${taskName}`)
    const jobId = taskName.split('.', 1)[0]
    if (!this.submittedJobs.has(jobId)) this.violations.push(`unasked: ${taskName}`)
    runs.add(`${workerId}#${attempt}`)
    this.running.set(taskName, runs)
    this.runCountByJob.set(jobId, (this.runCountByJob.get(jobId) ?? 0) + 1)
    this.recordTime(this.startedAt, taskName)
  }

  /** Records that a run has ended in any way. */
  recordRunEnd (taskName: string, attempt: number, workerId: string): void {
    if (this.running.get(taskName)?.delete(`${workerId}#${attempt}`) !== true) return
    for (const observer of this.observers) observer.recordRunEnd(taskName)
    const jobId = taskName.split('.', 1)[0]
    this.runCountByJob.set(jobId, (this.runCountByJob.get(jobId) ?? 0) - 1)
    this.startJudge?.recordRunEnd(taskName, workerId)
    this.recordTime(this.lastEndAt, taskName)
  }

  /** Records that a run has ended because the lease of its worker has expired. */
  recordLapse (workerId: string): void {
    this.lapsedRunWorkerIds.push(workerId)
  }

  /** Records that a run has completed; its completion is not yet listed or acknowledged. */
  recordCompletion (taskName: string, attempt: number): void {
    this.startJudge?.recordCompletion(taskName)
    const startsByAttempt = this.startsAfterCompletion.get(taskName) ?? new Map<number, string[]>()
    this.startsAfterCompletion.set(taskName, startsByAttempt.set(attempt, []))
  }

  /** Records that a worker process lists a completion until the owner acknowledges it or the process ends. */
  recordHeldCompletion (taskName: string, attempt: number, workerId: string): void {
    const unitName = this.getUnitName(taskName)
    const held = this.heldCompletions.get(unitName) ?? new Set()
    this.heldCompletions.set(unitName, held.add(`${taskName}#${attempt} ${workerId}`))
  }

  /** Records that the worker process that listed a completion has ended. */
  recordDroppedCompletion (taskName: string, attempt: number, workerId: string): void {
    this.heldCompletions.get(this.getUnitName(taskName))?.delete(`${taskName}#${attempt} ${workerId}`)
  }

  /**
   * Returns whether a task is done, but each worker process that could report it ended before its completion was
   * acknowledged, so that the owner may have to run it again.
   */
  mayBeLostCompletion (taskName: string): boolean {
    const held = this.heldCompletions.get(this.getUnitName(taskName))
    return this.isDone(taskName) && !this.isAcknowledged(taskName) && (held === undefined || held.size === 0)
  }

  /**
   * Records that the owner has acknowledged a completion.
   * @param taskName The task.
   * @param attempt The run that completed, if the lease of its worker has not lapsed since; otherwise null.
   */
  recordAcknowledgedCompletion (taskName: string, attempt: number | null = null): void {
    this.acknowledged.add(this.getUnitName(taskName))
    this.startJudge?.recordAcknowledgedCompletion(taskName)
    if (attempt !== null) this.reportStartsAfter(taskName, attempt, 'acknowledged')
  }

  /** Records that the owner has acknowledged a failed end. */
  recordAcknowledgedFailure (taskName: string, attempt: number): void {
    this.startJudge?.recordAcknowledgedFailure(taskName, attempt)
  }

  /** Records that a run of a task has failed, for whatever cause. */
  recordFailedEnd (taskName: string): void {
    const unitName = this.getUnitName(taskName)
    const count = (this.failedEndCounts.get(unitName) ?? 0) + 1
    this.failedEndCounts.set(unitName, count)
    const rules = this.startJudge?.getRules(taskName) ?? null
    if (rules === null || rules.step.longRunning || count < rules.queue.attemptLimit) return
    this.failedJobs.add(taskName.split('.', 1)[0])
  }

  /** Returns whether a task of a job has failed as often as its queue allows; false without rules. */
  mayHaveFailed (jobId: string): boolean {
    return this.failedJobs.has(jobId)
  }

  /** Records that a member of a gang has ended because it waited too long for the others. */
  recordAloneEnd (taskName: string, attempt: number, workerId: string): void {
    this.aloneEnds.push(`${taskName} run ${attempt} on ${workerId}`)
  }

  /** Returns whether the owner has acknowledged a completion of a task, or of another member of its gang. */
  isAcknowledged (taskName: string): boolean {
    return this.acknowledged.has(this.getUnitName(taskName))
  }

  /** Returns whether a run of a task has completed, although the owner may never learn of it; false without rules. */
  isDone (taskName: string): boolean {
    return this.startJudge?.isDone(taskName) === true
  }

  /** Returns whether the earlier steps of a task have completed and its time has come; false without rules. */
  isTurn (taskName: string): boolean {
    return this.startJudge?.isTurn(taskName) === true
  }

  /** Returns whether a task runs. */
  isRunning (taskName: string): boolean {
    return (this.running.get(taskName)?.size ?? 0) > 0
  }

  /** Returns whether any task of a job runs. */
  hasRunning (jobId: string): boolean {
    return (this.runCountByJob.get(jobId) ?? 0) > 0
  }

  /** Returns the monotonic time of the last start of a task, or null if it never started; null without rules. */
  getStartedAt (taskName: string): number | null {
    return this.startedAt.get(taskName) ?? null
  }

  /** Returns the monotonic time at which a run of a task last ended, or null if none has; null without rules. */
  getLastEndAt (taskName: string): number | null {
    return this.lastEndAt.get(taskName) ?? null
  }

  /** Records that a completion has been listed for a while, under a lease that has not lapsed since the run ended. */
  recordListedCompletion (taskName: string, attempt: number): void {
    if (!this.options.treatsListedAsAcknowledged) return
    this.listedTasks.add(this.getUnitName(taskName))
    this.reportStartsAfter(taskName, attempt, 'listed')
  }

  /** Returns the names of the running tasks, sorted. */
  getRunningTasks (): string[] {
    return [...this.running].filter(([, runs]) => runs.size > 0).map(([name]) => name).sort()
  }

  private checkEarlierEnds (taskName: string, attempt: number, workerId: string): void {
    if (this.isAcknowledged(taskName)) this.violations.push(`again: ${taskName} run ${attempt} after its acknowledged end`)
    else if (this.listedTasks.has(this.getUnitName(taskName))) {
      this.violations.push(`again: ${taskName} run ${attempt} after its listed end`)
    }
    for (const starts of this.startsAfterCompletion.get(taskName)?.values() ?? []) {
      starts.push(`run ${attempt} on ${workerId}`)
    }
  }

  private reportStartsAfter (taskName: string, attempt: number, noted: 'listed' | 'acknowledged'): void {
    const startsByAttempt = this.startsAfterCompletion.get(taskName)
    for (const start of startsByAttempt?.get(attempt) ?? []) {
      this.violations.push(`again: ${taskName} ${start} after run ${attempt} was done, which was ${noted} later`)
    }
    startsByAttempt?.delete(attempt)
  }

  private getUnitName (taskName: string): string {
    return this.startJudge?.getUnitName(taskName) ?? taskName
  }

  private recordTime (times: Map<string, number>, taskName: string): void {
    const { starts } = this.options
    if (starts !== undefined) times.set(taskName, starts.clock.monotonicMilliseconds())
  }
}
