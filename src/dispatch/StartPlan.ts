import type { StepRecord, TaskRecord } from '../jobs/index.js'
import type { ChoiceConditions } from './chooseWorker.js'
import { getSizeKey } from './getSizeKey.js'
import { selectGangPlacement } from './selectGangPlacement.js'
import { StartCandidates } from './StartCandidates.js'
import type { WorkerRecord } from './WorkerRecord.js'

/**
 * A restart that has waited this long may use a worker that is paused after failures: the pause can be longer than the
 * time in which a long-running task must run again. It also bounds how often a task tries such workers.
 */
const PAUSED_WORKER_WAIT_MILLISECONDS = 3000

/** Options of a plan. */
export interface StartPlanOptions {
  workers: readonly WorkerRecord[]
  /** The number of starts that can be sent soon. */
  startLimit: number
  /** The number of starts of long-running tasks, whose assignments are stored before they are sent. */
  storedStartLimit: number
  getConditions (serviceName: string): ChoiceConditions
  /** Returns whether no unknown run of a task can exist. */
  mayStart (task: TaskRecord): boolean
  start (task: TaskRecord, worker: WorkerRecord, attempt: number): void
}

/**
 * Places the waiting tasks of steps, which are passed in order of urgency.
 *
 * Bounds the work of one plan when every task has to start again, as after a takeover with expired leases: the plan
 * stops at the number of starts that can be sent soon, and once a task does not fit, others of its size are skipped.
 */
export class StartPlan {
  private readonly candidates = new Map<string, StartCandidates>()
  /** The candidates that include paused workers. */
  private readonly pausedCandidates = new Map<string, StartCandidates>()
  /** Gangs that were tried as restarts, so that one that does not fit is not tried for each of its members. */
  private readonly restartedGangs = new Set<StepRecord>()
  private placedCount = 0
  private storedCount = 0

  private constructor (private readonly options: StartPlanOptions) {}

  /**
   * Creates a plan that has placed nothing.
   * @param options The workers, the limit, and the function that starts a task.
   * @returns The plan, valid until anything other than its starts changes a worker.
   */
  static create (options: StartPlanOptions): StartPlan {
    return new StartPlan(options)
  }

  /** All workers. */
  get workers (): readonly WorkerRecord[] {
    return this.options.workers
  }

  /**
   * Returns the conditions of a choice.
   * @param serviceName The service whose workers may run the task.
   */
  getConditions (serviceName: string): ChoiceConditions {
    return this.options.getConditions(serviceName)
  }

  /** The number of starts that the plan has placed. */
  get startCount (): number {
    return this.placedCount
  }

  /** Whether the plan has reached its limit of starts. */
  get isFull (): boolean {
    return this.placedCount >= this.options.startLimit
  }

  /** Whether the plan has reached its limit of starts of long-running tasks. */
  get hasReachedStoredStartLimit (): boolean {
    return this.storedCount >= this.options.storedStartLimit
  }

  /** The processors of all workers, in thousandths. */
  get processorsMilli (): number {
    return this.options.workers.reduce((sum, { entry }) => sum + entry.capacity.processorsMilli, 0)
  }

  /**
   * Places the waiting tasks of a step while workers have free capacity.
   * @param step The step, which must be ready to start.
   * @param serviceName The service whose workers may run the step.
   */
  placeStep (step: StepRecord, serviceName: string): void {
    if (step.specification.gang) this.placeGang(step, this.options.getConditions(serviceName))
    else this.placeTasks(step, serviceName)
  }

  /**
   * Places a task that has run before, or its whole gang, while workers have free capacity. A task that has waited for
   * long and finds no other worker is placed on one that is paused after failures.
   * @param task The task, which must wait and be ready to start.
   * @param serviceName The service whose workers may run the task.
   * @returns Whether it was placed; for the further members of a gang whether the gang was.
   */
  placeRestart (task: TaskRecord, serviceName: string): boolean {
    const { step } = task
    const conditions = this.options.getConditions(serviceName)
    const mayUsePaused = conditions.now - task.waitingSince >= PAUSED_WORKER_WAIT_MILLISECONDS
    if (!step.specification.gang) {
      return this.placeTask(task, serviceName) || (mayUsePaused && this.placeTask(task, serviceName, true))
    }
    if (this.restartedGangs.has(step)) return task.runs.length > 0
    this.restartedGangs.add(step)
    return this.placeGang(step, conditions) ||
      (mayUsePaused && this.placeGang(step, { ...conditions, includesPaused: true }))
  }

  /** Returns whether the members of the gang got workers. */
  private placeGang (step: StepRecord, conditions: ChoiceConditions): boolean {
    if (this.mustWaitForStore(step)) return false
    const workers = selectGangPlacement(step, this.options.workers, conditions)
    if (workers.length === 0) return false
    const members = step.tasks.createAll()
    if (!members.every(this.options.mayStart)) return false
    const attempt = members.reduce((highest, { nextAttempt }) => Math.max(highest, nextAttempt), 0)
    for (const [index, member] of members.entries()) this.start(member, workers[index], attempt)
    return true
  }

  private placeTasks (step: StepRecord, serviceName: string): void {
    if (this.getCandidates(serviceName).unplaceableSizes.has(getSizeKey(step))) return
    for (const task of step.tasks.getWaiting(this.options.mayStart)) {
      if (this.isFull || !this.placeTask(task, serviceName)) return
    }
    this.options.getConditions(serviceName).costs.forget(step)
  }

  /** Returns whether the task got a worker. */
  private placeTask (task: TaskRecord, serviceName: string, includesPaused = false): boolean {
    if (this.mustWaitForStore(task.step)) return false
    const candidates = this.getCandidates(serviceName, includesPaused)
    const size = getSizeKey(task.step)
    if (candidates.unplaceableSizes.has(size)) return false
    const worker = candidates.choose(task)
    if (worker === null) candidates.unplaceableSizes.add(size)
    else this.start(task, worker, task.nextAttempt)
    return worker !== null
  }

  private mustWaitForStore (step: StepRecord): boolean {
    return step.specification.longRunning && this.hasReachedStoredStartLimit
  }

  private start (task: TaskRecord, worker: WorkerRecord, attempt: number): void {
    this.placedCount++
    if (task.step.specification.longRunning) this.storedCount++
    this.options.start(task, worker, attempt)
  }

  private getCandidates (serviceName: string, includesPaused = false): StartCandidates {
    const cache = includesPaused ? this.pausedCandidates : this.candidates
    const existing = cache.get(serviceName)
    if (existing !== undefined) return existing
    const conditions = { ...this.options.getConditions(serviceName), includesPaused }
    const candidates = StartCandidates.create(this.options.workers, conditions)
    cache.set(serviceName, candidates)
    return candidates
  }
}
