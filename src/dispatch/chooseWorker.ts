import type { TaskRecord } from '../jobs/index.js'
import type { ColocationAdvisor } from './ColocationAdvisor.js'
import { hasPersistentViolation } from './decidePace.js'
import { getCostDespiteInterference, getEmptyWorkerCost, getUnaskedProcessors } from './getWorkerCost.js'
import type { WorkerCosts } from './WorkerCosts.js'
import { countRunsOfStep, isUnsteady, type WorkerRecord } from './WorkerRecord.js'

/**
 * Chooses the worker on which a task starts.
 *
 * Designed for sites that colocate three kinds of work: serving tasks reserve most processors but use about half of
 * them, urgent steps need reserved processors at once, and wide batch steps run best-effort on unused processors.
 * Urgent and best-effort tasks go to the workers with the most free capacity of their kind, so that no worker gets
 * too many of them.
 */

/** Ranks workers on which the task failed before last; outweighs all other differences of cost. */
const FAILED_BEFORE_PENALTY = 10
/** Ranks workers that refused a start of the task behind all others. */
const REFUSED_BEFORE_PENALTY = 30
/** Ranks workers that respond unsteadily behind all others on which the task has not failed. */
const UNSTEADY_PENALTY = 5
/** Ranks workers of a data centre that responds unsteadily between these and all others. */
const UNSTEADY_DATA_CENTRE_PENALTY = 3
/** Ranks workers that are paused after failures behind all others on which the task has not failed. */
const PAUSED_PENALTY = 8
/** Ranks workers on which a serving task is above its target behind all others, for tasks that start despite that. */
const TARGET_EXCEEDED_PENALTY = 20

/** The conditions of a choice other than the task and the workers. */
export interface ChoiceConditions {
  /** The service whose workers may run the task. */
  serviceName: string
  /** The data centres whose workers get no new work. */
  dataCentresOut: ReadonlySet<string>
  advisor: ColocationAdvisor
  /** The data centres whose workers are likely not to respond, see `findUnsteadyDataCentres`; none by default. */
  unsteadyDataCentres?: ReadonlySet<string>
  /** The costs of workers that earlier choices computed. */
  costs: WorkerCosts
  /** The monotonic time. */
  now: number
  /** The worker from which the task is moved to another one. */
  excludedWorkerId?: string
  /** Whether workers may be chosen that are paused after failures; false by default. */
  includesPaused?: boolean
  /** Whether best-effort tasks may start where they interfere with serving tasks; false by default. */
  acceptsInterference?: boolean
  /** Whether a best-effort task may ask for more than the unused processors, see `fits`; false by default. */
  exceedsUnusedProcessors?: boolean
  /** Returns whether a task may use a worker with room for it; it always may by default. */
  mayUse? (task: TaskRecord, worker: WorkerRecord): boolean
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
 * Returns whether a task fits into the free capacity of a worker, without the room reserved for a waiting restart.
 * @param worker The worker.
 * @param task The task.
 * @param exceedsUnusedProcessors Whether a best-effort task may ask for more than the unused processors if no other run
 * on the worker does; false by default.
 * @returns Whether it fits.
 */
export function fits (worker: WorkerRecord, task: TaskRecord, exceedsUnusedProcessors = false): boolean {
  const { specification } = task.step
  const { reserved, reservedForRestart: kept, entry: { capacity } } = worker
  const { processorsMilli, memoryMegabytes, accelerators } = specification
  if (reserved.memoryMegabytes + kept.memoryMegabytes + memoryMegabytes > capacity.memoryMegabytes) return false
  if (reserved.accelerators + kept.accelerators + accelerators > capacity.accelerators) return false
  if (specification.fills) {
    return hasUnusedProcessors(worker, task) || (exceedsUnusedProcessors && worker.excessDemand === 0)
  }
  return reserved.processorsMilli + kept.processorsMilli + processorsMilli <= capacity.processorsMilli
}

/**
 * Returns whether a best-effort task asks for no more processors than the others on a worker leave unused, or is alone.
 * @param worker The worker.
 * @param task The task.
 * @returns Whether the worker has these processors.
 */
export function hasUnusedProcessors (worker: WorkerRecord, task: TaskRecord): boolean {
  return task.step.specification.processorsMilli <= getUnaskedProcessors(worker)
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
 * @param conditions The advisor, the computed costs and the time.
 * @returns The worker, or null when no worker can take the task.
 */
export function chooseEligibleWorker (
  task: TaskRecord, eligible: readonly WorkerRecord[], emptyWorkerCost: number, conditions: ChoiceConditions
): WorkerRecord | null {
  const { requiredLabel, maximumPerWorker, fills } = task.step.specification
  const { costs, advisor, now, acceptsInterference = false, exceedsUnusedProcessors = false } = conditions
  let best: WorkerRecord | null = null
  let bestCost = Infinity
  for (const worker of eligible) {
    let cost = fills && acceptsInterference
      ? getCostDespiteInterference(worker, task, advisor)
      : costs.getCost(worker, task, emptyWorkerCost, advisor)
    if (task.failedWorkerIds.has(worker.entry.workerId)) cost += FAILED_BEFORE_PENALTY
    if (task.refusingWorkerIds.has(worker.entry.workerId)) cost += REFUSED_BEFORE_PENALTY
    if (worker.quarantinedUntil > now) cost += PAUSED_PENALTY
    cost += getUnsteadinessCost(worker, conditions)
    if (cost >= bestCost || !fits(worker, task, exceedsUnusedProcessors)) continue
    if (requiredLabel !== '' && !worker.entry.labels.includes(requiredLabel)) continue
    if (maximumPerWorker > 0 && countRunsOfStep(worker, task.step) >= maximumPerWorker) continue
    if (fills && hasPersistentViolation(worker, now)) {
      if (!acceptsInterference) continue
      cost += TARGET_EXCEEDED_PENALTY
      if (cost >= bestCost) continue
    }
    if (conditions.mayUse?.(task, worker) === false) continue
    best = worker
    bestCost = cost
  }
  return best
}

function getUnsteadinessCost (worker: WorkerRecord, { now, unsteadyDataCentres }: ChoiceConditions): number {
  if (isUnsteady(worker, now)) return UNSTEADY_PENALTY
  return unsteadyDataCentres?.has(worker.entry.dataCentre) === true ? UNSTEADY_DATA_CENTRE_PENALTY : 0
}
