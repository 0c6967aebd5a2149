/** Options of a judge. */
export interface RunJudgeOptions {
  /** Whether a listed end as done counts as taken note of, as an acknowledged one does. */
  treatsListedAsAcknowledged: boolean
}

/** Watches all emulated workers and notes each promise that a run breaks. */
export class RunJudge {
  readonly violations: string[] = []
  private readonly running = new Map<string, Set<string>>()
  private readonly acknowledged = new Set<string>()
  /** Tasks whose end as done was listed, whether or not it was acknowledged. */
  private readonly listedTasks = new Set<string>()
  /** Starts after an end as done that has not been taken note of, by the task's name and the attempt that ended. */
  private readonly startsAfterCompletion = new Map<string, Map<number, string[]>>()
  private readonly submittedJobs = new Set<string>()
  startCount = 0
  /** The worker of each start, in the order of the starts. */
  readonly startWorkerIds: string[] = []
  /** How many runs of each task have failed, on any worker. */
  readonly failureCounts = new Map<string, number>()

  private constructor (private readonly options: RunJudgeOptions) {}

  /**
   * Creates a judge that has seen nothing.
   * @param options What counts as a broken promise.
   * @returns The judge.
   */
  static create (options: RunJudgeOptions = { treatsListedAsAcknowledged: false }): RunJudge {
    return new RunJudge(options)
  }

  /** Notes that a client's submission may have been stored. */
  recordSubmission (jobId: string): void {
    this.submittedJobs.add(jobId)
  }

  /** Notes a start that a worker carried out. */
  recordStart (taskName: string, attempt: number, workerId: string, isWithinCapacity: boolean): void {
    this.startCount++
    this.startWorkerIds.push(workerId)
    const runs = this.running.get(taskName) ?? new Set()
    if (runs.size > 0) this.violations.push(`twice: ${taskName} run ${attempt} on ${workerId} beside ${[...runs].join()}`)
    if (this.acknowledged.has(taskName)) this.violations.push(`again: ${taskName} run ${attempt} after its acknowledged end`)
    else if (this.listedTasks.has(taskName)) this.violations.push(`again: ${taskName} run ${attempt} after its listed end`)
    for (const starts of this.startsAfterCompletion.get(taskName)?.values() ?? []) {
      starts.push(`run ${attempt} on ${workerId}`)
    }
    if (!isWithinCapacity) this.violations.push(`limit: ${workerId} is over its capacity with ${taskName}`)
    const jobId = taskName.split('.', 1)[0]
    if (!this.submittedJobs.has(jobId)) this.violations.push(`unasked: ${taskName}`)
    runs.add(`${workerId}#${attempt}`)
    this.running.set(taskName, runs)
  }

  /** Notes that a run is over. */
  recordRunEnd (taskName: string, attempt: number, workerId: string): void {
    this.running.get(taskName)?.delete(`${workerId}#${attempt}`)
  }

  /** Notes that a run has ended as done, which nobody has taken note of yet. */
  recordCompletion (taskName: string, attempt: number): void {
    if (!this.options.treatsListedAsAcknowledged) return
    const startsByAttempt = this.startsAfterCompletion.get(taskName) ?? new Map<number, string[]>()
    this.startsAfterCompletion.set(taskName, startsByAttempt.set(attempt, []))
  }

  /** Notes that an end as done was acknowledged. */
  recordAcknowledgedCompletion (taskName: string): void {
    this.acknowledged.add(taskName)
  }

  /** Notes that an end as done was listed a while ago, under a lease that did not lapse since the end. */
  recordListedCompletion (taskName: string, attempt: number): void {
    if (!this.options.treatsListedAsAcknowledged) return
    this.listedTasks.add(taskName)
    const startsByAttempt = this.startsAfterCompletion.get(taskName)
    for (const start of startsByAttempt?.get(attempt) ?? []) {
      this.violations.push(`again: ${taskName} ${start} after run ${attempt} was done, which was listed later`)
    }
    startsByAttempt?.delete(attempt)
  }

  /** Returns the names of the tasks at work. */
  getRunningTasks (): string[] {
    return [...this.running].filter(([, runs]) => runs.size > 0).map(([name]) => name).sort()
  }
}
