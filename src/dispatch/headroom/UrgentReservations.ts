import type { JobRecord, TaskRecord } from '../../jobs/index.js'
import { isEligible, type ChoiceConditions } from '../chooseWorker.js'
import { fitsAccountCap } from '../fitsAccountCap.js'
import type { RestartReservations } from '../RestartReservations.js'
import type { StartPlan } from '../StartPlan.js'
import type { WorkerRecord } from '../WorkerRecord.js'
import type { FreeResources } from './mayStartLongRunning.js'
import { isUrgent } from './UrgentDemand.js'
import type { WaitingStep } from './WaitingSteps.js'

/** The share of the workers that may be reserved for urgent tasks; half of that for all tasks. */
const RESERVED_WORKER_SHARE = 0.125
/** The most tasks of one step for which workers are reserved, so that other steps get some as well. */
const STEP_LIMIT = 8

/** The objects that the reservations use in one plan. */
export interface UrgentReservationContext {
  plan: StartPlan
  reservations: RestartReservations
  getServiceName (job: JobRecord): string
  mayStart (task: TaskRecord): boolean
}

/**
 * Reserves workers for urgent tasks that are larger than the free capacity of each worker.
 *
 * Without a reservation, smaller tasks take each piece of capacity that becomes free before it is large enough. Only
 * tasks that would fit into the free capacity of all workers together get one: where the service is full, the shares
 * of the sizes of jobs decide which task is next.
 * Restarts of long-running tasks come first: they may use the reserved room, and while one of them fits nowhere,
 * nothing is reserved for urgent tasks.
 */
export class UrgentReservations {
  private tasks = new Set<TaskRecord>()

  private constructor () {}

  /**
   * Creates an object without reservations.
   * @returns The object.
   */
  static create (): UrgentReservations {
    return new UrgentReservations()
  }

  /**
   * Places the tasks with reservations where they have room, before all work other than restarts.
   * @param context The plan and the reservations, of which those of the restarts apply.
   * @param hasWaitingRestart Whether a restart has found no worker.
   */
  place (context: UrgentReservationContext, hasWaitingRestart: boolean): void {
    const { plan, reservations, getServiceName, mayStart } = context
    for (const task of this.tasks) {
      const isUseful = isWaiting(task) && fitsAccountCap(task.step)
      if (!hasWaitingRestart && isUseful && reservations.getWorker(task) !== null) continue
      reservations.release(task)
      this.tasks.delete(task)
    }
    reservations.placeFirst(this.tasks, task =>
      !plan.isFull && mayStart(task) && plan.placeReserved(task, getServiceName(task.step.occurrence.job)))
  }

  /** Ends all reservations. */
  releaseAll (reservations: RestartReservations): void {
    for (const task of this.tasks) reservations.release(task)
    this.tasks.clear()
  }

  /**
   * Reserves workers for tasks that have found none.
   * @param waiting The steps whose tasks have waited for long.
   * @param context The plan and the reservations.
   */
  reserve (waiting: readonly WaitingStep[], context: UrgentReservationContext): void {
    const { plan, reservations, getServiceName, mayStart } = context
    const limit = Math.ceil(plan.workers.length * RESERVED_WORKER_SHARE)
    const freeByService = new Map<string, FreeResources>()
    for (const { step } of waiting) {
      if (!isUrgent(step)) continue
      const conditions = plan.getConditions(getServiceName(step.occurrence.job))
      const { serviceName } = conditions
      const free = freeByService.get(serviceName) ?? getFreeResources(plan.workers, conditions)
      freeByService.set(serviceName, free)
      const { processorsMilli, memoryMegabytes } = step.specification
      if (processorsMilli > free.processorsMilli || memoryMegabytes > free.memoryMegabytes) continue
      let count = 0
      for (const task of step.tasks.getWaiting(mayStart)) {
        if (this.tasks.size >= limit) return
        if (count++ === STEP_LIMIT) break
        if (reservations.getWorker(task) !== null) continue
        reservations.reserve(task, plan.workers, conditions)
        if (reservations.getWorker(task) === null) break
        this.tasks.add(task)
      }
    }
  }
}

/** Returns what no run reserves on the workers that may get new work, whether or not it is kept for a task. */
function getFreeResources (workers: readonly WorkerRecord[], conditions: ChoiceConditions): FreeResources {
  const free = { processorsMilli: 0, memoryMegabytes: 0 }
  for (const worker of workers) {
    if (!isEligible(worker, conditions)) continue
    const { reserved, entry: { capacity } } = worker
    free.processorsMilli += Math.max(0, capacity.processorsMilli - reserved.processorsMilli)
    free.memoryMegabytes += Math.max(0, capacity.memoryMegabytes - reserved.memoryMegabytes)
  }
  return free
}

function isWaiting ({ runs, done, step }: TaskRecord): boolean {
  return runs.length === 0 && !done && step.occurrence.job.finalState === null
}
