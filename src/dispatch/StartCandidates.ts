import type { TaskRecord } from '../jobs/index.js'
import { chooseEligibleWorker, isEligible, type ChoiceConditions } from './chooseWorker.js'
import { getEmptyWorkerCost, getUnaskedProcessors } from './getWorkerCost.js'
import { getFreeCapacity, type WorkerRecord } from './WorkerRecord.js'

/** Tolerance for rounding in sums: a task that exceeds a free capacity by less is compared with each worker. */
const ROUNDING_MARGIN = 1e-6

/** The free capacity of one worker, which only decreases during a plan. */
interface FreeCapacity {
  processorsMilli: number
  bestEffortMilli: number
  memoryMegabytes: number
  accelerators: number
}

/**
 * The eligible workers of one service during one plan.
 *
 * Speeds up plans with many waiting tasks on a full site: only few workers have a maximal free capacity, that is, one
 * that no other worker's dominates in all dimensions, and a task that fits none of these needs no search.
 */
export class StartCandidates {
  /** Sizes that did not fit; free capacity only decreases during a plan, so they are not searched for again. */
  readonly unplaceableSizes = new Set<string>()
  private eligible: WorkerRecord[] | null = null
  private maximalCapacities: FreeCapacity[] | null = null

  private constructor (
    private readonly workers: readonly WorkerRecord[], private readonly conditions: ChoiceConditions
  ) {}

  /**
   * Creates the candidates of a plan.
   * @param workers All workers.
   * @param conditions The conditions of the choice.
   * @returns The candidates, valid until anything other than a start changes a worker.
   */
  static create (workers: readonly WorkerRecord[], conditions: ChoiceConditions): StartCandidates {
    return new StartCandidates(workers, conditions)
  }

  /**
   * Chooses the same worker for a task as `chooseWorker`.
   * @param task The task.
   * @returns The worker, or null when no worker can take the task.
   */
  choose (task: TaskRecord): WorkerRecord | null {
    const { conditions } = this
    this.eligible ??= this.workers.filter(worker => isEligible(worker, conditions))
    this.maximalCapacities ??= getMaximalCapacities(this.eligible, conditions)
    if (!this.maximalCapacities.some(capacity => mayFit(capacity, task))) return null
    const emptyWorkerCost = task.step.specification.targetMilliseconds > 0 ? getEmptyWorkerCost(this.workers) : 0
    const worker = chooseEligibleWorker(task, this.eligible, emptyWorkerCost, conditions)
    // Starts have reduced the free capacities since they were collected.
    if (worker === null) this.maximalCapacities = null
    return worker
  }
}

function mayFit (capacity: FreeCapacity, task: TaskRecord): boolean {
  const { processorsMilli, memoryMegabytes, accelerators, fills } = task.step.specification
  return memoryMegabytes <= capacity.memoryMegabytes && accelerators <= capacity.accelerators &&
    processorsMilli <= (fills ? capacity.bestEffortMilli : capacity.processorsMilli)
}

function getMaximalCapacities (workers: readonly WorkerRecord[], conditions: ChoiceConditions): FreeCapacity[] {
  let maximal: FreeCapacity[] = []
  for (const worker of workers) {
    const capacity = getFreeCapacities(worker, conditions)
    if (maximal.some(other => dominates(other, capacity))) continue
    maximal = maximal.filter(other => !dominates(capacity, other))
    maximal.push(capacity)
  }
  return maximal
}

function getFreeCapacities (
  worker: WorkerRecord, { exceedsUnusedProcessors = false }: ChoiceConditions
): FreeCapacity {
  const { processorsMilli, memoryMegabytes, accelerators } = getFreeCapacity(worker)
  return {
    processorsMilli: processorsMilli + ROUNDING_MARGIN,
    bestEffortMilli: exceedsUnusedProcessors && worker.excessDemand === 0
      ? Infinity
      : getUnaskedProcessors(worker) + ROUNDING_MARGIN,
    memoryMegabytes: memoryMegabytes + ROUNDING_MARGIN,
    accelerators: accelerators + ROUNDING_MARGIN
  }
}

function dominates (larger: FreeCapacity, smaller: FreeCapacity): boolean {
  return larger.processorsMilli >= smaller.processorsMilli && larger.bestEffortMilli >= smaller.bestEffortMilli &&
    larger.memoryMegabytes >= smaller.memoryMegabytes && larger.accelerators >= smaller.accelerators
}
