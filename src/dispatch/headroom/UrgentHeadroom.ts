import type { JobRecord, StepRecord, TaskRecord } from '../../jobs/index.js'
import { fits, isEligible, type ChoiceConditions } from '../chooseWorker.js'
import type { DispatchObserver } from '../DispatchObserver.js'
import { isRestart } from '../WaitingRestarts.js'
import { getFreeCapacity, type WorkerRecord } from '../WorkerRecord.js'
import {
  getHeadroomPart, getHeadroomUse, mayStartLongRunning, type FreeResources, type HeadroomUse
} from './mayStartLongRunning.js'
import { findUrgentSteps, isUrgent, UrgentDemand } from './UrgentDemand.js'

/** Interval at which urgent work is looked for, which takes a pass over all jobs. */
const SAMPLE_INTERVAL_MILLISECONDS = 100

/** Options of a headroom. */
export interface UrgentHeadroomOptions {
  /** Returns the observer, which receives the starts that are held back. */
  getObserver (): DispatchObserver
  getServiceName (job: JobRecord): string
  /** Returns whether the tasks of a step have had ample room for so long that they must not be held back. */
  isOverdue (step: StepRecord, serviceName: string, now: number): boolean
}

/** The free resources of one service during one plan, and those of each worker in pieces that count. */
interface ServiceHeadroom {
  demand: UrgentDemand
  pieceMilli: number
  total: FreeResources
  parts: Map<WorkerRecord, FreeResources>
}

/** Keeps capacity free for urgent short tasks against first starts of long-running tasks. */
export class UrgentHeadroom {
  private readonly demands = new Map<string, UrgentDemand>()
  private readonly reported = new WeakSet<TaskRecord>()
  private services = new Map<string, ServiceHeadroom>()
  private workers: readonly WorkerRecord[] = []
  private now = -Infinity
  private refusedTask: TaskRecord | null = null
  private nextSampleAt = -Infinity

  private constructor (private readonly options: UrgentHeadroomOptions) {}

  /**
   * Creates a headroom that has seen no urgent work.
   * @param options The observer and the services of jobs.
   * @returns The headroom.
   */
  static create (options: UrgentHeadroomOptions): UrgentHeadroom {
    return new UrgentHeadroom(options)
  }

  /**
   * Begins a plan.
   * @param jobs All jobs.
   * @param workers All workers.
   * @param now The monotonic time.
   */
  beginPlan (jobs: Iterable<JobRecord>, workers: readonly WorkerRecord[], now: number): void {
    this.services = new Map()
    this.workers = workers
    this.now = now
    if (now < this.nextSampleAt) return
    this.nextSampleAt = now + SAMPLE_INTERVAL_MILLISECONDS
    const steps = new Map<string, StepRecord[]>()
    for (const step of findUrgentSteps(jobs)) {
      const serviceName = this.options.getServiceName(step.occurrence.job)
      const known = steps.get(serviceName)
      if (known === undefined) steps.set(serviceName, [step])
      else known.push(step)
    }
    for (const serviceName of steps.keys()) {
      if (!this.demands.has(serviceName)) this.demands.set(serviceName, UrgentDemand.create())
    }
    for (const [serviceName, demand] of this.demands) demand.update(steps.get(serviceName) ?? [], now)
  }

  /**
   * Returns how much of the headroom a start may use in the latest plan.
   * @param task The task.
   * @param serviceName The service whose workers may run it.
   * @returns The use; `all` for starts that are never held back.
   */
  getUse (task: TaskRecord, serviceName: string): HeadroomUse {
    const { now } = this
    if (!task.step.specification.longRunning || isRestart(task)) return 'all'
    const missing = this.demands.get(serviceName)?.missing ?? null
    if (missing === null || this.options.isOverdue(task.step, serviceName, now)) return 'all'
    return getHeadroomUse(now - task.waitingSince)
  }

  /**
   * Returns whether a task whose use is limited may start on a worker with room for it.
   * @param task The task.
   * @param worker The worker.
   * @param use The use.
   * @param conditions The conditions of the choice.
   * @returns Whether it may.
   */
  mayUse (task: TaskRecord, worker: WorkerRecord, use: HeadroomUse, conditions: ChoiceConditions): boolean {
    const { demand, total } = this.getService(conditions)
    const { missing } = demand
    if (missing === null) return true
    const mayUse = mayStartLongRunning({
      missing,
      total,
      free: getFreeCapacity(worker),
      task: task.step.specification,
      use
    })
    if (!mayUse) this.refusedTask = task
    return mayUse
  }

  /**
   * Returns whether a gang of long-running tasks may start, which counts as if each member took a larger piece.
   * @param members The members.
   * @param conditions The conditions of the choice.
   * @returns Whether it may.
   */
  mayStartGang (members: readonly TaskRecord[], conditions: ChoiceConditions): boolean {
    const [task] = members
    const use = this.getUse(task, conditions.serviceName)
    if (use === 'all' || members.some(isRestart)) return true
    const { demand: { missing }, total } = this.getService(conditions)
    if (missing === null) return true
    const taken = use === 'none' ? members.length : 0
    const { processorsMilli } = task.step.specification
    if (total.processorsMilli - taken * processorsMilli >= missing.processorsMilli) return true
    this.refusedTask = task
    this.recordRefusal(task, conditions)
    return false
  }

  /**
   * Records a start of the plan.
   * @param task The task.
   * @param worker The worker, which has the run.
   */
  recordStart (task: TaskRecord, worker: WorkerRecord): void {
    const { specification } = task.step
    const demand = this.demands.get(worker.entry.serviceName)
    if (demand !== undefined && isUrgent(task.step)) {
      demand.used.processorsMilli += specification.processorsMilli
      demand.used.memoryMegabytes += specification.memoryMegabytes
    }
    const service = this.services.get(worker.entry.serviceName)
    const earlier = service?.parts.get(worker)
    if (service === undefined || earlier === undefined) return
    const part = getHeadroomPart(getFreeCapacity(worker), service.pieceMilli)
    service.parts.set(worker, part)
    service.total.processorsMilli += part.processorsMilli - earlier.processorsMilli
    service.total.memoryMegabytes += part.memoryMegabytes - earlier.memoryMegabytes
  }

  /**
   * Reports a task that has found no worker, once, when a worker with room was refused to it.
   * @param task The task.
   * @param conditions The conditions of the choice.
   */
  recordRefusal (task: TaskRecord, conditions: ChoiceConditions): void {
    const isRefused = this.refusedTask === task
    this.refusedTask = null
    if (!isRefused || this.reported.has(task)) return
    this.reported.add(task)
    const { demand: { missing }, total } = this.getService(conditions)
    this.options.getObserver().onStartHeldBack(task, {
      missingMilli: missing?.processorsMilli ?? 0,
      pieceMilli: missing?.pieceMilli ?? 0,
      freeMilli: total.processorsMilli,
      waitMilliseconds: conditions.now - task.waitingSince
    })
  }

  /**
   * Returns whether a waiting task is held back on each worker with room for it.
   * @param task The task.
   * @param workers All workers.
   * @param conditions The conditions of the choice.
   * @returns Whether it is.
   */
  holdsBack (task: TaskRecord, workers: readonly WorkerRecord[], conditions: ChoiceConditions): boolean {
    const use = this.getUse(task, conditions.serviceName)
    if (use === 'all') return false
    this.services = new Map()
    this.workers = workers
    const withRoom = workers.filter(worker => isEligible(worker, conditions) && fits(worker, task))
    return withRoom.length > 0 && withRoom.every(worker => !this.mayUse(task, worker, use, conditions))
  }

  private getService (conditions: ChoiceConditions): ServiceHeadroom {
    const { serviceName } = conditions
    const known = this.services.get(serviceName)
    if (known !== undefined) return known
    const demand = this.demands.get(serviceName) ?? UrgentDemand.create()
    const pieceMilli = demand.missing?.pieceMilli ?? 0
    const parts = new Map<WorkerRecord, FreeResources>()
    const total = { processorsMilli: 0, memoryMegabytes: 0 }
    for (const worker of this.workers) {
      if (!isEligible(worker, conditions)) continue
      const part = getHeadroomPart(getFreeCapacity(worker), pieceMilli)
      parts.set(worker, part)
      total.processorsMilli += part.processorsMilli
      total.memoryMegabytes += part.memoryMegabytes
    }
    const service = { demand, pieceMilli, total, parts }
    this.services.set(serviceName, service)
    return service
  }
}
