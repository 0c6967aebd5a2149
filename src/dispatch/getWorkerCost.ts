import type { TaskRecord } from '../jobs/index.js'
import type { ColocationAdvisor, SensitivityMatch } from './ColocationAdvisor.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** The share of its reservation that a serving task uses on average; best-effort tasks can use the remainder. */
const SERVING_UTILIZATION_SHARE = 0.5
/** The share of the unused processors up to which best-effort tasks start; more would slow all of them. */
const BEST_EFFORT_LIMIT_SHARE = 1.0
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
 * Returns the processors that best-effort tasks may ask for beside those on a worker.
 * @param worker The worker.
 * @returns Thousandths of a processor; Infinity for a worker without best-effort tasks, which takes one of any size.
 */
export function getUnaskedProcessors (worker: WorkerRecord): number {
  const demand = worker.bestEffortDemand - worker.excessDemand
  return demand === 0 ? Infinity : getBestEffortProcessors(worker) - demand
}

/**
 * Returns the cost of a worker for a task; the lowest cost wins.
 * @param worker The worker.
 * @param task The task.
 * @param emptyWorkerCost The cost of a worker without serving tasks for a serving task.
 * @param advisor The learned interference.
 * @returns The cost; Infinity when the task would interfere with serving tasks too much.
 */
export function getWorkerCost (
  worker: WorkerRecord, task: TaskRecord, emptyWorkerCost: number, advisor: ColocationAdvisor
): number {
  const { fills, preferredRack } = task.step.specification
  let cost = getCapacityCost(worker, task, emptyWorkerCost, advisor)
  if (fills) {
    const pressure = advisor.getInterferencePressure(worker, task)
    if (pressure > 1) return Infinity
    cost += pressure * INTERFERENCE_PRESSURE_WEIGHT + advisor.getCompatibleImageShare(worker) * COMPATIBLE_IMAGE_WEIGHT
  }
  if (preferredRack !== '' && !worker.entry.labels.includes(preferredRack)) cost += OTHER_RACK_PENALTY
  return cost
}

/**
 * Returns the cost of a worker for a best-effort task that starts although it interferes with serving tasks, whose
 * targets the pace of the task then keeps.
 * @param worker The worker.
 * @param task The best-effort task.
 * @param advisor The learned interference.
 * @returns The cost, which is always finite.
 */
export function getCostDespiteInterference (
  worker: WorkerRecord, task: TaskRecord, advisor: ColocationAdvisor
): number {
  const { preferredRack } = task.step.specification
  const rackPenalty = preferredRack !== '' && !worker.entry.labels.includes(preferredRack) ? OTHER_RACK_PENALTY : 0
  return getCapacityCost(worker, task, 0, advisor) + rackPenalty +
    advisor.getInterferenceExcess(worker, task) * INTERFERENCE_PRESSURE_WEIGHT
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

/** Returns the cost of the capacity that a task takes. */
function getCapacityCost (
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
