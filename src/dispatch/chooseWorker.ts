import type { TaskRecord } from '../jobs/index.js'
import type { ColocationAdvisor, SensitivityMatch } from './ColocationAdvisor.js'
import { hasPersistentViolation } from './decidePace.js'
import { countRunsOfStep, type WorkerRecord } from './WorkerRecord.js'

/**
 * Chooses where a task starts.
 *
 * Answers the load of a colocated site: serving tasks reserve most processors but use about half of them, urgent
 * steps need reserved processors at once, and wide batch steps fill what is left. Spreading each kind over the
 * workers with the most unused processors keeps all three from piling up on one worker.
 */

/** The share of its reservation that a serving task uses on average; the rest can be filled. */
const SERVING_UTILIZATION_SHARE = 0.5
/** Filling beyond the unused processors slows every filling task of the worker, so more wait than start. */
const BEST_EFFORT_LIMIT_SHARE = 1.0
/** Workers on which this task failed before come last, by a margin that outweighs any other difference. */
const FAILED_BEFORE_PENALTY = 10
/** Data on another rack multiplies the run time, which outweighs a fuller worker. */
const OTHER_RACK_PENALTY = 4

/** A worker where more is already disturbed is a worse place, by this much for a tolerance that is used up. */
const INTERFERENCE_PRESSURE_WEIGHT = 3
/** Workers where many images are harmless are left to the images that have few such workers. */
const COMPATIBLE_IMAGE_WEIGHT = 0.5
/**
 * A serving task joins its own job first, then others of its image, so that few workers serve images which different
 * neighbours disturb: each fill of a worker must be harmless to all that serves there.
 */
const SAME_IMAGE_COST = 1
const EMPTY_WORKER_COST = 3
const OTHER_IMAGE_COST: Record<SensitivityMatch, number> = { alike: 2, unknown: 5, different: 7 }
const SCARCE_EMPTY_WORKER_COST = 6
/** The share of workers without serving tasks that is left to tasks which disturb all of them. */
const EMPTY_WORKER_SHARE = 0.2

/** What the choice depends on beside the task and the workers. */
export interface ChoiceConditions {
  /** Services whose workers may run the queue's tasks. */
  serviceName: string
  dataCentresOut: ReadonlySet<string>
  advisor: ColocationAdvisor
  now: number
  /** A worker that the task is about to leave. */
  excludedWorkerId?: string
}

/**
 * Tells whether a worker takes part in its service; a start that waits to be sent is withdrawn when it no longer does.
 * @param worker The worker.
 * @param serviceName The service whose workers may run the task.
 * @param dataCentresOut The data centres that get no new work.
 * @returns Whether a start may be sent to it.
 */
export function isInService (
  worker: WorkerRecord, serviceName: string, dataCentresOut: ReadonlySet<string>
): boolean {
  return worker.listed && worker.registered && worker.syncState === 'synchronized' &&
    worker.entry.state === 'ready' && worker.entry.serviceName === serviceName &&
    !dataCentresOut.has(worker.entry.dataCentre)
}

/**
 * Tells whether a worker may get new work at all.
 * @param worker The worker.
 * @param conditions The service, the data centres that are out, and the time.
 * @returns Whether it may.
 */
export function isEligible (worker: WorkerRecord, conditions: ChoiceConditions): boolean {
  return isInService(worker, conditions.serviceName, conditions.dataCentresOut) &&
    worker.orphanedRuns.size === 0 && worker.entry.workerId !== conditions.excludedWorkerId &&
    worker.quarantinedUntil <= conditions.now
}

/**
 * Returns the processors that tasks which fill can expect on a worker.
 * @param worker The worker.
 * @returns Thousandths of a processor, not yet reduced by the tasks that fill already.
 */
export function getBestEffortProcessors (worker: WorkerRecord): number {
  const used = worker.reserved.processorsMilli - worker.servingReserved * (1 - SERVING_UTILIZATION_SHARE)
  return Math.max(0, worker.entry.capacity.processorsMilli - used) * BEST_EFFORT_LIMIT_SHARE
}

/**
 * Tells whether the task fits into what the worker has left.
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
 * Chooses the worker for a task.
 * @param task The task.
 * @param workers All workers.
 * @param conditions The service, the data centres that are out, and the time.
 * @returns The worker, or null when the task has to wait.
 */
export function chooseWorker (
  task: TaskRecord, workers: readonly WorkerRecord[], conditions: ChoiceConditions
): WorkerRecord | null {
  const emptyWorkerCost = task.step.specification.targetMilliseconds > 0 ? getEmptyWorkerCost(workers) : 0
  return chooseEligibleWorker(task, workers.filter(worker => isEligible(worker, conditions)), emptyWorkerCost, conditions)
}

/**
 * Chooses the worker for a task from those that may get new work.
 * @param task The task.
 * @param eligible The workers for which `isEligible` holds.
 * @param emptyWorkerCost What a worker without serving tasks costs a serving task.
 * @param conditions The advisor and the time.
 * @returns The worker, or null when the task has to wait.
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
      // What follows only adds to the cost.
      if (cost >= bestCost || hasPersistentViolation(worker, conditions.now)) continue
      const pressure = conditions.advisor.getInterferencePressure(worker, task)
      if (pressure > 1) continue
      if (cost + pressure * INTERFERENCE_PRESSURE_WEIGHT >= bestCost) continue
      cost += pressure * INTERFERENCE_PRESSURE_WEIGHT + conditions.advisor.getCompatibleImageShare(worker) * COMPATIBLE_IMAGE_WEIGHT
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

/** What a worker costs a task, lower is better. */
function getCost (
  worker: WorkerRecord, task: TaskRecord, emptyWorkerCost: number, advisor: ColocationAdvisor
): number {
  const { specification } = task.step
  const capacity = Math.max(1, worker.entry.capacity.processorsMilli)
  if (specification.fills) {
    return (worker.bestEffortDemand + specification.processorsMilli) / Math.max(1, getBestEffortProcessors(worker))
  }
  const reservedShare = (worker.reserved.processorsMilli + specification.processorsMilli) / capacity
  // Serving tasks of one job share workers: an image that disturbs them then finds others to fill, and times when
  // no load on a worker is high.
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
 * Returns what a worker without serving tasks costs a serving task.
 * @param workers All workers.
 * @returns The cost, higher while few such workers are left.
 */
export function getEmptyWorkerCost (workers: readonly WorkerRecord[]): number {
  let emptyCount = 0
  for (const worker of workers) if (worker.servingReserved === 0) emptyCount++
  return emptyCount > workers.length * EMPTY_WORKER_SHARE ? EMPTY_WORKER_COST : SCARCE_EMPTY_WORKER_COST
}
