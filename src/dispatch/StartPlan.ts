import type { StepRecord, TaskRecord } from '../jobs/index.js'
import type { ChoiceConditions } from './chooseWorker.js'
import { fitsAccountCap } from './fitsAccountCap.js'
import type { HeadroomUse } from './headroom/mayStartLongRunning.js'
import type { UrgentHeadroom } from './headroom/UrgentHeadroom.js'
import type { GangObstacle } from './gangs/GangAttempts.js'
import { getSizeKey } from './getSizeKey.js'
import { selectGangPlacement } from './selectGangPlacement.js'
import { StartCandidates } from './StartCandidates.js'
import { isRestart } from './WaitingRestarts.js'
import { sumCapacity, type WorkerCapacity, type WorkerRecord } from './WorkerRecord.js'

/**
 * A restart that has waited this long may use a worker that is paused after failures: the pause can be longer than the
 * time in which a long-running task must run again.
 */
const PAUSED_WORKER_WAIT_MILLISECONDS = 3000

/** A task of a step without runs that has waited this long may start against preferences, see `placeOverdue`. */
const PREFERENCE_WAIT_MILLISECONDS = 1500
/**
 * Above this share of the processors in use, tasks wait for preferred workers however long that takes: there is other
 * work for the room.
 */
const IDLE_SHARE = 0.5

/** A long-running task tries a paused worker no sooner than this after the latest refusal of its start. */
const REFUSED_START_RETRY_MILLISECONDS = 1000

/** What a choice permits that it does not by preference, see `ChoiceConditions`. */
type Relaxation = Pick<ChoiceConditions, 'includesPaused' | 'acceptsInterference' | 'exceedsUnusedProcessors'>

const NO_RELAXATION: Relaxation = {}

/** Options of a plan. */
export interface StartPlanOptions {
  workers: readonly WorkerRecord[]
  /** The number of starts that can be sent soon. */
  startLimit: number
  /** The number of starts of long-running tasks, whose assignments are stored before they are sent. */
  storedStartLimit: number
  /** The number of starts of members of gangs that can be sent in time; they do not count for the other limits. */
  gangStartLimit: number
  /** The capacity that is kept free for urgent work; none by default. */
  headroom?: UrgentHeadroom
  getConditions (serviceName: string): ChoiceConditions
  /** Returns whether no unknown run of a task can exist. */
  mayStart (task: TaskRecord): boolean
  /** Returns what keeps a gang from being started, whatever capacity is free; null for nothing and other steps. */
  getGangObstacle (step: StepRecord): GangObstacle | null
  start (task: TaskRecord, worker: WorkerRecord, attempt: number): void
}

/**
 * Places the waiting tasks of steps, which are passed in order of urgency.
 *
 * Bounds the work of one plan when every task has to start again, as after a takeover with expired leases: the plan
 * stops at the number of starts that can be sent soon, and once a task does not fit, others of its size are skipped.
 */
export class StartPlan {
  /** The candidates of each service, with and without each relaxation. */
  private readonly candidates = new Map<string, StartCandidates>()
  private readonly idleServices = new Map<string, boolean>()
  private respondingWorkers: ReadonlySet<string> | null = null
  /** Gangs that were tried as restarts, so that one that does not fit is not tried for each of its members. */
  private readonly restartedGangs = new Set<StepRecord>()
  private placedCount = 0
  private gangStartCount = 0
  /** Whether a gang that has the capacity waits for earlier starts of gangs; the gangs behind it wait as well. */
  private hasQueuedGang = false
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
    return this.placedCount + this.gangStartCount
  }

  /** Whether the plan has reached its limit of starts. */
  get isFull (): boolean {
    return this.placedCount >= this.options.startLimit
  }

  /** Whether the plan has reached its limit of starts of long-running tasks. */
  get hasReachedStoredStartLimit (): boolean {
    return this.storedCount >= this.options.storedStartLimit
  }

  /**
   * Returns whether a step is a gang that is not started now whatever capacity is free.
   * @param step The step.
   */
  isGangHeld (step: StepRecord): boolean {
    return this.options.getGangObstacle(step) !== null
  }

  /** The processors of all workers, in thousandths. */
  get processorsMilli (): number {
    return this.options.workers.reduce((sum, { entry }) => sum + entry.capacity.processorsMilli, 0)
  }

  /** The resources of all workers. */
  get capacity (): WorkerCapacity {
    return sumCapacity(this.options.workers)
  }

  /**
   * Places the waiting tasks of a step while workers have free capacity.
   * @param step The step, which must be ready to start.
   * @param serviceName The service whose workers may run the step.
   */
  placeStep (step: StepRecord, serviceName: string): void {
    if (!fitsAccountCap(step)) return
    if (!step.specification.gang) return this.placeTasks(step, serviceName)
    if (this.isGangHeld(step)) return
    // By preference, the gang would go back to workers that refuse it rather than to paused ones.
    if (hasRefusedTask(step)) this.placeOverdue(step, serviceName)
    if (!this.placeGang(step, this.options.getConditions(serviceName))) this.placeOverdue(step, serviceName)
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
    const waitMilliseconds = conditions.now - task.waitingSince
    const mayUsePaused = waitMilliseconds >= PAUSED_WORKER_WAIT_MILLISECONDS && isRetryDue(task, conditions.now)
    if (!step.specification.gang) {
      const acceptsInterference = step.specification.fills && waitMilliseconds >= PREFERENCE_WAIT_MILLISECONDS &&
        this.isIdle(serviceName)
      const exceedsUnusedProcessors = acceptsInterference && !this.isAtWork(step)
      const relaxation = { acceptsInterference, exceedsUnusedProcessors }
      return this.placeTask(task, serviceName) ||
        (acceptsInterference && this.placeTask(task, serviceName, relaxation)) ||
        (mayUsePaused && this.placeTask(task, serviceName, { ...relaxation, includesPaused: true }))
    }
    if (this.restartedGangs.has(step)) return task.runs.length > 0
    this.restartedGangs.add(step)
    return this.placeGang(step, conditions) ||
      (mayUsePaused && this.placeGang(step, { ...conditions, includesPaused: true }))
  }

  /**
   * Places a short task for which a worker was reserved.
   * @param task The task, which must wait and be ready to start.
   * @param serviceName The service whose workers may run the task.
   * @returns Whether it was placed.
   */
  placeReserved (task: TaskRecord, serviceName: string): boolean {
    return this.placeTask(task, serviceName)
  }

  /** Returns whether the members of the gang got workers. */
  private placeGang (step: StepRecord, conditions: ChoiceConditions): boolean {
    if (this.hasQueuedGang || this.mustWaitForStore(step) || this.isGangHeld(step)) return false
    const shares = selectGangPlacement(step, this.options.workers, conditions)
    if (shares.length === 0) return false
    this.hasQueuedGang = this.gangStartCount + step.tasks.count > this.options.gangStartLimit
    if (this.hasQueuedGang) return false
    const members = step.tasks.createAll()
    if (!members.every(this.options.mayStart)) return false
    if (this.options.headroom?.mayStartGang(members, conditions) === false) return false
    const attempt = members.reduce((highest, { nextAttempt }) => Math.max(highest, nextAttempt), 0)
    const waiting = members.values()
    for (const { worker, count } of shares) {
      for (let index = 0; index < count; index++) this.start(waiting.next().value!, worker, attempt)
    }
    return true
  }

  private placeTasks (step: StepRecord, serviceName: string): void {
    if (!this.getCandidates(serviceName).unplaceableSizes.has(getSizeKey(step))) {
      let isComplete = true
      for (const task of step.tasks.getWaiting(this.options.mayStart)) {
        // By preference, the task would go back to a worker that refuses it rather than to a paused one.
        if (task.refusingWorkerIds.size > 0) this.placeOverdue(step, serviceName)
        isComplete = !this.isFull && (task.runs.length > 0 || this.placeTask(task, serviceName))
        if (!isComplete) break
      }
      if (isComplete) return this.options.getConditions(serviceName).costs.forget(step)
    }
    this.placeOverdue(step, serviceName)
  }

  /**
   * Places a task that finds no worker by preference and has waited for long, if no other task of its step runs on a
   * worker that responds. So the step goes on, while its other tasks wait for better workers. Each long-running task
   * has to run, whether others do or not, and has no limit of attempts; its restarts are placed by `placeRestart`.
   */
  private placeOverdue (step: StepRecord, serviceName: string): void {
    const { specification: { longRunning, fills }, tasks } = step
    if (!fitsAccountCap(step)) return
    if (!longRunning && (!this.isIdle(serviceName) || this.isAtWork(step))) return
    const conditions = this.options.getConditions(serviceName)
    // The next task would get no record while tasks wait that have run before.
    if (longRunning) tasks.createBehindRestarts(this.options.mayStart)
    for (const task of tasks.getAllCreated()) {
      if (this.isFull) return
      if (task.runs.length > 0 || conditions.now - task.waitingSince < PREFERENCE_WAIT_MILLISECONDS) continue
      if (isRestart(task) || !this.options.mayStart(task)) continue
      if (longRunning && !isRetryDue(task, conditions.now)) continue
      const relaxation = { acceptsInterference: fills, exceedsUnusedProcessors: fills, includesPaused: true }
      const isPlaced = this.placeDespitePreference(task, conditions, relaxation)
      if (!isPlaced || !longRunning) return
    }
  }

  /** Returns whether a task of a step has a run whose start got a response, on a worker that responds. */
  private isAtWork ({ tasks }: StepRecord): boolean {
    if (!tasks.hasBusy()) return false
    this.respondingWorkers ??= new Set(this.options.workers
      .filter(({ syncState }) => syncState === 'synchronized').map(({ entry }) => entry.workerId))
    for (const { runs } of tasks.getAllCreated()) {
      for (const { workerId, startUncertain } of runs) {
        if (!startUncertain && this.respondingWorkers.has(workerId)) return true
      }
    }
    return false
  }

  /** Returns whether the task, or its gang, got workers that it does not get by preference. */
  private placeDespitePreference (task: TaskRecord, conditions: ChoiceConditions, relaxation: Relaxation): boolean {
    if (task.step.specification.gang) return this.placeGang(task.step, { ...conditions, ...relaxation })
    return this.placeTask(task, conditions.serviceName, relaxation)
  }

  /** Returns whether so little of a service is in use that tasks should not wait for preferred workers. */
  private isIdle (serviceName: string): boolean {
    const existing = this.idleServices.get(serviceName)
    if (existing !== undefined) return existing
    const { dataCentresOut } = this.options.getConditions(serviceName)
    // Workers that do not respond are part of the service: what they run counts as in use until it is over.
    const isIdle = getUsedShare(this.options.workers.filter(({ listed, entry }) =>
      listed && entry.state === 'ready' && entry.serviceName === serviceName && !dataCentresOut.has(entry.dataCentre)
    )) < IDLE_SHARE
    this.idleServices.set(serviceName, isIdle)
    return isIdle
  }

  /** Returns whether the task got a worker. */
  private placeTask (task: TaskRecord, serviceName: string, relaxation = NO_RELAXATION): boolean {
    // A task that its cap keeps from starting says nothing about the room for others of its size.
    if (this.mustWaitForStore(task.step) || !fitsAccountCap(task.step)) return false
    const { headroom } = this.options
    const candidates = this.getCandidates(serviceName, relaxation, headroom?.getUse(task, serviceName))
    const size = getSizeKey(task.step)
    if (candidates.unplaceableSizes.has(size)) return false
    const worker = candidates.choose(task)
    if (worker !== null) {
      this.start(task, worker, task.nextAttempt)
    } else {
      candidates.unplaceableSizes.add(size)
      headroom?.recordRefusal(task, this.options.getConditions(serviceName))
    }
    return worker !== null
  }

  private mustWaitForStore (step: StepRecord): boolean {
    return step.specification.longRunning && this.hasReachedStoredStartLimit
  }

  private start (task: TaskRecord, worker: WorkerRecord, attempt: number): void {
    if (task.step.specification.gang) this.gangStartCount++
    else this.placedCount++
    if (task.step.specification.longRunning) this.storedCount++
    this.options.start(task, worker, attempt)
    this.options.headroom?.recordStart(task, worker)
  }

  private getCandidates (
    serviceName: string, relaxation = NO_RELAXATION, headroomUse: HeadroomUse = 'all'
  ): StartCandidates {
    const { includesPaused = false, acceptsInterference = false, exceedsUnusedProcessors = false } = relaxation
    const key = `${includesPaused} ${acceptsInterference} ${exceedsUnusedProcessors} ${headroomUse} ${serviceName}`
    const existing = this.candidates.get(key)
    if (existing !== undefined) return existing
    const conditions: ChoiceConditions = {
      ...this.options.getConditions(serviceName), includesPaused, acceptsInterference, exceedsUnusedProcessors
    }
    const { headroom } = this.options
    if (headroom !== undefined && headroomUse !== 'all') {
      conditions.mayUse = (task, worker) => headroom.mayUse(task, worker, headroomUse, conditions)
    }
    const candidates = StartCandidates.create(this.options.workers, conditions)
    this.candidates.set(key, candidates)
    return candidates
  }
}

/** Returns the share of the processors of workers that is reserved. */
function getUsedShare (workers: readonly WorkerRecord[]): number {
  let used = 0
  let total = 0
  for (const { reserved, entry: { capacity } } of workers) {
    used += reserved.processorsMilli
    total += capacity.processorsMilli
  }
  return used / Math.max(1, total)
}

/** Returns whether the latest refusal of a start of a task is long ago. */
function isRetryDue ({ startRefusedAt }: TaskRecord, now: number): boolean {
  return now - startRefusedAt >= REFUSED_START_RETRY_MILLISECONDS
}

/** Returns whether a worker has refused a start of a waiting task of a step. */
function hasRefusedTask ({ tasks }: StepRecord): boolean {
  for (const { runs, refusingWorkerIds } of tasks.getAllCreated()) {
    if (runs.length === 0 && refusingWorkerIds.size > 0) return true
  }
  return false
}
