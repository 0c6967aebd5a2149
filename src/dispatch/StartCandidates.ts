import type { TaskRecord } from '../jobs/index.js'
import { chooseEligibleWorker, getEmptyWorkerCost, getBestEffortProcessors, isEligible, type ChoiceConditions } from './chooseWorker.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Sums of fractions are rounded, so a size that seems too large by less than this is compared worker by worker. */
const ROUNDING_MARGIN = 1e-6

/** What one worker has left; no start of the same plan makes it more. */
interface FreeCapacity {
  processorsMilli: number
  bestEffortMilli: number
  memoryMegabytes: number
  accelerators: number
}

/**
 * The workers of one service that may get new work, for the time of one plan.
 *
 * Answers many waiting tasks on a full site: the rooms that no other room exceeds in all respects are few, and a task
 * that fits into none of them needs no search through the workers.
 */
export class StartCandidates {
  private eligible: WorkerRecord[] | null = null
  private maximalCapacities: FreeCapacity[] | null = null

  private constructor (
    private readonly workers: readonly WorkerRecord[], private readonly conditions: ChoiceConditions
  ) {}

  /**
   * Creates the candidates of a plan.
   * @param workers All workers.
   * @param conditions The service, the data centres that are out, and the time.
   * @returns The candidates, valid until something else than a start changes a worker.
   */
  static create (workers: readonly WorkerRecord[], conditions: ChoiceConditions): StartCandidates {
    return new StartCandidates(workers, conditions)
  }

  /**
   * Chooses the worker for a task as `chooseWorker` does.
   * @param task The task.
   * @returns The worker, or null when the task has to wait.
   */
  choose (task: TaskRecord): WorkerRecord | null {
    const { conditions } = this
    this.eligible ??= this.workers.filter(worker => isEligible(worker, conditions))
    this.maximalCapacities ??= getMaximalCapacities(this.eligible)
    if (!this.maximalCapacities.some(capacity => mayFit(capacity, task))) return null
    const emptyWorkerCost = task.step.specification.targetMilliseconds > 0 ? getEmptyWorkerCost(this.workers) : 0
    const worker = chooseEligibleWorker(task, this.eligible, emptyWorkerCost, conditions)
    // Starts since the rooms were listed have made them smaller.
    if (worker === null) this.maximalCapacities = null
    return worker
  }
}

function mayFit (capacity: FreeCapacity, task: TaskRecord): boolean {
  const { processorsMilli, memoryMegabytes, accelerators, fills } = task.step.specification
  return memoryMegabytes <= capacity.memoryMegabytes && accelerators <= capacity.accelerators &&
    processorsMilli <= (fills ? capacity.bestEffortMilli : capacity.processorsMilli)
}

function getMaximalCapacities (workers: readonly WorkerRecord[]): FreeCapacity[] {
  let maximal: FreeCapacity[] = []
  for (const worker of workers) {
    const capacity = getFreeCapacity(worker)
    if (maximal.some(other => dominates(other, capacity))) continue
    maximal = maximal.filter(other => !dominates(capacity, other))
    maximal.push(capacity)
  }
  return maximal
}

function getFreeCapacity (worker: WorkerRecord): FreeCapacity {
  const { reserved, bestEffortDemand, entry: { capacity } } = worker
  return {
    processorsMilli: capacity.processorsMilli - reserved.processorsMilli + ROUNDING_MARGIN,
    // A worker where nothing fills takes one task that fills, whatever its size.
    bestEffortMilli: bestEffortDemand === 0 ? Infinity : getBestEffortProcessors(worker) - bestEffortDemand + ROUNDING_MARGIN,
    memoryMegabytes: capacity.memoryMegabytes - reserved.memoryMegabytes + ROUNDING_MARGIN,
    accelerators: capacity.accelerators - reserved.accelerators + ROUNDING_MARGIN
  }
}

function dominates (larger: FreeCapacity, smaller: FreeCapacity): boolean {
  return larger.processorsMilli >= smaller.processorsMilli && larger.bestEffortMilli >= smaller.bestEffortMilli &&
    larger.memoryMegabytes >= smaller.memoryMegabytes && larger.accelerators >= smaller.accelerators
}
