import type { TaskRecord } from '../jobs/index.js'
import type { ColocationAdvisor, SensitivityMatch } from './ColocationAdvisor.js'
import { hasPersistentViolation } from './decidePace.js'
import { countRunsOfStep, type WorkerRecord } from './WorkerRecord.js'

/**
 * Chooses the worker on which a task starts.
 *
 * Designed for sites that colocate three kinds of work: serving tasks reserve most processors but use about half of
 * them, urgent steps need reserved processors at once, and wide batch steps run best-effort on unused processors.
 * Urgent and best-effort tasks go to the workers with the most free capacity of their kind, so that no worker gets
 * too many of them.
 */

/** The share of its reservation that a serving task uses on average; best-effort tasks can use the remainder. */
const SERVING_UTILIZATION_SHARE = 0.5
/** The share of the unused processors up to which best-effort tasks start; more would slow all of them. */
const BEST_EFFORT_LIMIT_SHARE = 1.0
/** Ranks workers on which the task failed before last; outweighs all other differences of cost. */
const FAILED_BEFORE_PENALTY = 10
/** Reading data from another rack multiplies the run time, so the data's rack outweighs free capacity. */
const OTHER_RACK_PENALTY = 4

/** The cost of a worker whose interference budget would be used up completely. */
const INTERFERENCE_PRESSURE_WEIGHT = 3
/** Leaves workers that are compatible with many images to the images that have few compatible workers. */
const COMPATIBLE_IMAGE_WEIGHT = 0.5
/**
 * Costs by which serving tasks are placed beside their own job first (cost 0), then beside their image. A best-effort
 * task must be compatible with every serving image on its worker, so workers should not mix serving images with
 * different sensitivities.
 */
const SAME_IMAGE_COST = 1
/** The cost of a worker without serving tasks. */
const EMPTY_WORKER_COST = 3
const OTHER_IMAGE_COST: Record<SensitivityMatch, number> = { alike: 2, unknown: 5, different: 7 }
/** The cost of a worker without serving tasks when few of them are left. */
const SCARCE_EMPTY_WORKER_COST = 6
/** Serving tasks leave this share of workers empty, for images that interfere with all serving images, if possible. */
const EMPTY_WORKER_SHARE = 0.2

/** The conditions of a choice other than the task and the workers. */
export interface ChoiceConditions {
  /** The service whose workers may run the task. */
  serviceName: string
  /** The data centres whose workers get no new work. */
  dataCentresOut: ReadonlySet<string>
  advisor: ColocationAdvisor
  /** The monotonic time. */
  now: number
  /** The worker from which the task is moved to another one. */
  excludedWorkerId?: string
  /** Whether workers may be chosen that are paused after failures; false by default. */
  includesPaused?: boolean
}

/**
 * Returns whether a worker is in service. A queued start is withdrawn when its worker no longer is.
 * @param worker The worker.
 * @param serviceName The service whose workers may run the task.
 * @param dataCentresOut The data centres whose workers get no new work.
 * @returns Whether starts may be sent to the worker.
 */
export function isInService (
  worker: WorkerRecord, serviceName: string, dataCentresOut: ReadonlySet<string>
): boolean {
  return worker.listed && worker.registered && !worker.isRecordedUnreached && worker.syncState === 'synchronized' &&
    worker.entry.state === 'ready' && worker.entry.serviceName === serviceName &&
    !dataCentresOut.has(worker.entry.dataCentre)
}

/**
 * Returns whether a worker may get new work, regardless of its free capacity.
 * @param worker The worker.
 * @param conditions The conditions of the choice.
 * @returns Whether it is eligible.
 */
export function isEligible (worker: WorkerRecord, conditions: ChoiceConditions): boolean {
  return isInService(worker, conditions.serviceName, conditions.dataCentresOut) &&
    worker.orphanedRuns.size === 0 && worker.entry.workerId !== conditions.excludedWorkerId &&
    (worker.quarantinedUntil <= conditions.now || conditions.includesPaused === true)
}

/**
 * Returns the processors that all best-effort tasks of a worker together can expect.
 * @param worker The worker.
 * @returns Thousandths of a processor, including those that present best-effort tasks use.
 */
export function getBestEffortProcessors (worker: WorkerRecord): number {
  const used = worker.reserved.processorsMilli - worker.servingReserved * (1 - SERVING_UTILIZATION_SHARE)
  return Math.max(0, worker.entry.capacity.processorsMilli - used) * BEST_EFFORT_LIMIT_SHARE
}

/**
 * Returns whether a task fits into the free capacity of a worker.
 * @param worker The worker.
 * @param task The task.
 * @returns Whether it fits.
 */
export function fits (worker: WorkerRecord, task: TaskRecord): boolean {
  const { specification } = task.step
  const { capacity } = worker.entry
  if (worker.reserved.memoryMegabytes + specification.memoryMegabytes > capacity.memoryMegabytes) return false
  if (worker.reserved.accelerators + specification.accelerators > capacity.accelerators) return false
  if (specification.fills) {
    return worker.bestEffortDemand === 0 ||
      worker.bestEffortDemand + specification.processorsMilli <= getBestEffortProcessors(worker)
  }
  return worker.reserved.processorsMilli + specification.processorsMilli <= capacity.processorsMilli
}

/**
 * Chooses the worker with the lowest cost for a task.
 * @param task The task.
 * @param workers All workers.
 * @param conditions The conditions of the choice.
 * @returns The worker, or null when no worker can take the task.
 */
export function chooseWorker (
  task: TaskRecord, workers: readonly WorkerRecord[], conditions: ChoiceConditions
): WorkerRecord | null {
  const emptyWorkerCost = task.step.specification.targetMilliseconds > 0 ? getEmptyWorkerCost(workers) : 0
  return chooseEligibleWorker(
    task, workers.filter(worker => isEligible(worker, conditions)), emptyWorkerCost, conditions)
}

/**
 * Chooses the worker with the lowest cost for a task among the eligible ones.
 * @param task The task.
 * @param eligible The workers for which `isEligible` holds.
 * @param emptyWorkerCost The cost of a worker without serving tasks for a serving task.
 * @param conditions The advisor and the time.
 * @returns The worker, or null when no worker can take the task.
 */
export function chooseEligibleWorker (
  task: TaskRecord, eligible: readonly WorkerRecord[], emptyWorkerCost: number, conditions: ChoiceConditions
): WorkerRecord | null {
  const { specification } = task.step
  let best: WorkerRecord | null = null
  let bestCost = Infinity
  for (const worker of eligible) {
    if (!fits(worker, task)) continue
    const { labels } = worker.entry
    if (specification.requiredLabel !== '' && !labels.includes(specification.requiredLabel)) continue
    const limit = specification.maximumPerWorker
    if (limit > 0 && countRunsOfStep(worker, task.step) >= limit) continue
    let cost = getCost(worker, task, emptyWorkerCost, conditions.advisor)
    if (specification.fills) {
      // The remaining terms only increase the cost.
      if (cost >= bestCost || hasPersistentViolation(worker, conditions.now)) continue
      const pressure = conditions.advisor.getInterferencePressure(worker, task)
      if (pressure > 1) continue
      if (cost + pressure * INTERFERENCE_PRESSURE_WEIGHT >= bestCost) continue
      cost += pressure * INTERFERENCE_PRESSURE_WEIGHT +
        conditions.advisor.getCompatibleImageShare(worker) * COMPATIBLE_IMAGE_WEIGHT
    }
    if (specification.preferredRack !== '' && !labels.includes(specification.preferredRack)) cost += OTHER_RACK_PENALTY
    if (task.failedWorkerIds.has(worker.entry.workerId)) cost += FAILED_BEFORE_PENALTY
    if (cost < bestCost) {
      best = worker
      bestCost = cost
    }
  }
  return best
}

/** Returns the cost of a worker for a task; the lowest cost wins. */
function getCost (
  worker: WorkerRecord, task: TaskRecord, emptyWorkerCost: number, advisor: ColocationAdvisor
): number {
  const { specification } = task.step
  const capacity = Math.max(1, worker.entry.capacity.processorsMilli)
  if (specification.fills) {
    return (worker.bestEffortDemand + specification.processorsMilli) / Math.max(1, getBestEffortProcessors(worker))
  }
  const reservedShare = (worker.reserved.processorsMilli + specification.processorsMilli) / capacity
  // Serving tasks of one job share workers: an image that interferes with them then finds other workers to run on, and
  // times at which no serving task of a worker is under high load.
  if (specification.targetMilliseconds > 0) return getMixCost(worker, task, emptyWorkerCost, advisor) - reservedShare
  return reservedShare
}

function getMixCost (
  worker: WorkerRecord, task: TaskRecord, emptyWorkerCost: number, advisor: ColocationAdvisor
): number {
  const { image } = task.step.specification
  let cost = 0
  let hasServing = false
  for (const run of worker.runs.values()) {
    const { specification, occurrence } = run.task.step
    if (specification.targetMilliseconds === 0) continue
    hasServing = true
    if (specification.image !== image) {
      cost = Math.max(cost, OTHER_IMAGE_COST[advisor.compareSensitivity(specification.image, image)])
    } else if (occurrence.job !== task.step.occurrence.job) {
      cost = Math.max(cost, SAME_IMAGE_COST)
    }
  }
  return hasServing ? cost : emptyWorkerCost
}

/**
 * Returns the cost of a worker without serving tasks for a serving task.
 * @param workers All workers.
 * @returns The cost, which is higher when few such workers are left.
 */
export function getEmptyWorkerCost (workers: readonly WorkerRecord[]): number {
  let emptyCount = 0
  for (const worker of workers) if (worker.servingReserved === 0) emptyCount++
  return emptyCount > workers.length * EMPTY_WORKER_SHARE ? EMPTY_WORKER_COST : SCARCE_EMPTY_WORKER_COST
}
