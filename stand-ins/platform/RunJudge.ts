/** Watches all emulated workers and notes each promise that a run breaks. */
export class RunJudge {
  readonly violations: string[] = []
  private readonly running = new Map<string, Set<string>>()
  private readonly done = new Set<string>()
  private readonly accepted = new Set<string>()
  startCount = 0
  /** The worker of each start, in the order of the starts. */
  readonly startedOn: string[] = []
  /** How many runs of each task have failed, on any worker. */
  readonly failureCounts = new Map<string, number>()

  private constructor () {}

  /**
   * Creates a judge that has seen nothing.
   * @returns The judge.
   */
  static create (): RunJudge {
    return new RunJudge()
  }

  /** Notes that a client's submission may have been stored. */
  noteSubmission (jobId: string): void {
    this.accepted.add(jobId)
  }

  /** Notes a start that a worker carried out. */
  noteStart (taskName: string, attempt: number, workerId: string, isWithinCapacity: boolean): void {
    this.startCount++
    this.startedOn.push(workerId)
    const runs = this.running.get(taskName) ?? new Set()
    if (runs.size > 0) this.violations.push(`twice: ${taskName} run ${attempt} on ${workerId} beside ${[...runs].join()}`)
    if (this.done.has(taskName)) this.violations.push(`again: ${taskName} run ${attempt} after its acknowledged end`)
    if (!isWithinCapacity) this.violations.push(`limit: ${workerId} is over its capacity with ${taskName}`)
    const jobId = taskName.split('.', 1)[0]
    if (!this.accepted.has(jobId)) this.violations.push(`unasked: ${taskName}`)
    runs.add(`${workerId}#${attempt}`)
    this.running.set(taskName, runs)
  }

  /** Notes that a run is over. */
  noteEnd (taskName: string, attempt: number, workerId: string): void {
    this.running.get(taskName)?.delete(`${workerId}#${attempt}`)
  }

  /** Notes that an end as done was acknowledged. */
  noteAcknowledgedDone (taskName: string): void {
    this.done.add(taskName)
  }

  /** Returns the names of the tasks at work. */
  getRunningTasks (): string[] {
    return [...this.running].filter(([, runs]) => runs.size > 0).map(([name]) => name).sort()
  }
}
