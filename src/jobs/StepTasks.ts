import { IndexRanges } from './IndexRanges.js'
import type { StepRecord, TaskRecord } from './JobRecord.js'

/** Creates the record of a task that has not been started. */
export type CreateTask = (step: StepRecord, index: number) => TaskRecord

/**
 * The tasks of one step of an occurrence.
 *
 * A step may have far more tasks than the workers can run, and the owner holds the steps of all jobs. A task has a
 * record only from its first start, or from stored progress, until it is done.
 */
export class StepTasks {
  private records: Map<number, TaskRecord> | null = null
  private done: IndexRanges | null = null
  /** The number of records whose task has a run. */
  private busyCount = 0
  /** No task with a higher index was created by a search for waiting tasks. */
  private nextIndex = 0
  /** The workers on which a run of a task has failed under this owner. */
  private failedWorkerIds: Set<string> | null = null
  /** The record that the last search created. */
  private lastCreated: TaskRecord | null = null

  private constructor (private readonly step: StepRecord, private readonly createTask: CreateTask) {}

  /**
   * Creates the tasks of a step, none of which has been started.
   * @param step The step, which may have many thousand others beside it.
   * @param createTask Creates the record of a task; common to all steps of an occurrence.
   * @returns The tasks.
   */
  static create (step: StepRecord, createTask: CreateTask): StepTasks {
    return new StepTasks(step, createTask)
  }

  /** The number of tasks. */
  get count (): number {
    return this.step.specification.taskCount
  }

  /** The number of tasks that are not done. */
  get remainingCount (): number {
    return this.count - (this.done?.size ?? 0)
  }

  /**
   * Returns the record of a task and creates it on first use.
   * @param index The index of the task.
   * @returns The record, or undefined when the step has no such task or the task is done.
   */
  get (index: number): TaskRecord | undefined {
    const isPossible = Number.isInteger(index) && index >= 0 && index < this.count
    return isPossible && !this.isDone(index) ? this.getOrCreate(index) : undefined
  }

  /** Returns the record of a task if it has one. */
  getCreated (index: number): TaskRecord | undefined {
    return this.records?.get(index)
  }

  /** The number of tasks that have records. */
  get createdCount (): number {
    return this.records?.size ?? 0
  }

  /** Returns the tasks that have records; the other ones are done or have not been started. */
  getAllCreated (): Iterable<TaskRecord> {
    return this.records?.values() ?? []
  }

  /** Returns whether a task is done. */
  isDone (index: number): boolean {
    return this.done?.has(index) === true
  }

  /** Returns whether a task has no run and is not done, whether it may start or not. */
  hasIdle (): boolean {
    return this.nextIndex < this.count || this.busyCount < (this.records?.size ?? 0)
  }

  /** The number of tasks that have no run and are not done, whether they may start or not. */
  get idleCount (): number {
    return this.remainingCount - this.busyCount
  }

  /** Returns whether a task that is not done has a run. */
  hasBusy (): boolean {
    return this.busyCount > 0
  }

  /** The number of tasks that are not done and have a run. */
  get busyTaskCount (): number {
    return this.busyCount
  }

  /** The number of workers on which a run of a task has failed under this owner. */
  get failedWorkerCount (): number {
    return this.failedWorkerIds?.size ?? 0
  }

  /** Records that a run of a task has failed on a worker. */
  addFailedWorker (workerId: string): void {
    this.failedWorkerIds ??= new Set()
    this.failedWorkerIds.add(workerId)
  }

  /** Returns whether a run of a task has failed on a worker under this owner. */
  hasFailedOn (workerId: string): boolean {
    return this.failedWorkerIds?.has(workerId) === true
  }

  /** Records that a task that had no run has one now. */
  addBusy (task: TaskRecord): void {
    if (!task.done) this.busyCount++
  }

  /** Records that a task has no run any more. */
  removeBusy (task: TaskRecord): void {
    if (!task.done) this.busyCount--
  }

  /**
   * Returns whether a task waits for a start; creates at most one record.
   * @param mayStart Returns whether a task may start now, which is the same for all tasks without a record.
   * @returns Whether a task may start and has no run.
   */
  hasWaiting (mayStart: (task: TaskRecord) => boolean): boolean {
    if (this.busyCount < (this.records?.size ?? 0)) {
      for (const task of this.getAllCreated()) if (task.runs.length === 0 && mayStart(task)) return true
    }
    const next = this.createNext(mayStart)
    return next !== null && mayStart(next)
  }

  /**
   * Returns the tasks that wait for a start, and creates their records one by one.
   * @param mayStart Returns whether a task may start now, which is the same for all tasks without a record.
   * @returns The tasks that may start and have no run, those with records first.
   */
  * getWaiting (mayStart: (task: TaskRecord) => boolean): Generator<TaskRecord> {
    if (this.busyCount < (this.records?.size ?? 0)) {
      for (const task of [...this.getAllCreated()]) if (task.runs.length === 0 && mayStart(task)) yield task
    }
    for (let next = this.createNext(mayStart); next !== null; next = this.createNext(mayStart)) {
      if (!mayStart(next)) return
      yield next
    }
  }

  /**
   * Creates the record of the next task if only tasks that have run before wait for a start, so that they precede it.
   * @param mayStart Returns whether a task may start now, which is the same for all tasks without a record.
   */
  createBehindRestarts (mayStart: (task: TaskRecord) => boolean): void {
    let hasRestart = false
    for (const { hasRun, runs } of this.getAllCreated()) {
      if (runs.length > 0) continue
      if (!hasRun) return
      hasRestart = true
    }
    if (hasRestart) this.createNext(mayStart)
  }

  /** Returns all tasks that are not done, and creates their records. */
  createAll (): TaskRecord[] {
    return [...this.getRemainingIndexes()].map(index => this.getOrCreate(index))
  }

  /** Returns the indexes of the tasks that are not done, which may become done meanwhile. */
  * getRemainingIndexes (): Generator<number> {
    for (let index = 0; index < this.count; index++) if (!this.isDone(index)) yield index
  }

  /**
   * Records that a task is done, and drops its record.
   * @param index The index of the task.
   */
  markDone (index: number): void {
    const task = this.records?.get(index)
    if (task !== undefined) {
      if (task.runs.length > 0) this.busyCount--
      task.done = true
    }
    this.records?.delete(index)
    if (task === this.lastCreated) this.lastCreated = null
    this.done ??= IndexRanges.create()
    this.done.add(index)
  }

  /** Creates the record of the next task; returns null when there is none, or when the last one may not start yet. */
  private createNext (mayStart: (task: TaskRecord) => boolean): TaskRecord | null {
    const { lastCreated } = this
    const isUntouched = lastCreated !== null && !lastCreated.hasRun && lastCreated.runs.length === 0
    if (isUntouched && !mayStart(lastCreated)) return null
    while (this.records?.has(this.nextIndex) === true || this.isDone(this.nextIndex)) this.nextIndex++
    if (this.nextIndex >= this.count) return null
    this.lastCreated = this.getOrCreate(this.nextIndex++)
    return this.lastCreated
  }

  private getOrCreate (index: number): TaskRecord {
    const existing = this.records?.get(index)
    if (existing !== undefined) return existing
    const task = this.createTask(this.step, index)
    this.records ??= new Map()
    this.records.set(index, task)
    return task
  }
}
