import type { StepRecord, TaskRecord } from '../jobs/index.js'
import type { ColocationAdvisor } from './ColocationAdvisor.js'
import { getWorkerCost } from './getWorkerCost.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** A computed cost and what it was computed from. */
interface ComputedCost {
  cost: number
  changeCount: number
  emptyWorkerCost: number
  revision: number
}

/**
 * Keeps the costs of workers for the tasks of each step, across plans.
 *
 * On a site with hundreds of workers and wide steps, few workers change between two starts of a step, while the cost of
 * one depends on all of its runs. So a cost is computed again only after its worker has changed, or after an image was
 * found to interfere or not to. Smaller changes of learned effects count with the next change of the worker, which its
 * next report brings.
 */
export class WorkerCosts {
  private readonly costsByStep = new WeakMap<StepRecord, Map<WorkerRecord, ComputedCost>>()
  private computations = 0

  private constructor () {}

  /**
   * Creates an object without computed costs.
   * @returns The object.
   */
  static create (): WorkerCosts {
    return new WorkerCosts()
  }

  /** The number of costs that were computed. */
  get computationCount (): number {
    return this.computations
  }

  /**
   * Returns the cost of a worker for a task, without the penalty of workers on which the task itself has failed.
   * @param worker The worker.
   * @param task The task.
   * @param emptyWorkerCost The cost of a worker without serving tasks for a serving task.
   * @param advisor The learned interference.
   * @returns The cost; Infinity when the task must not start on the worker.
   */
  getCost (worker: WorkerRecord, task: TaskRecord, emptyWorkerCost: number, advisor: ColocationAdvisor): number {
    const costs = this.getCosts(task.step)
    const computed = costs.get(worker)
    const { changeCount } = worker
    const { revision } = advisor
    const isCurrent = computed !== undefined && computed.changeCount === changeCount &&
      computed.revision === revision && computed.emptyWorkerCost === emptyWorkerCost
    if (isCurrent) return computed.cost
    this.computations++
    const cost = getWorkerCost(worker, task, emptyWorkerCost, advisor)
    if (computed === undefined) costs.set(worker, { cost, changeCount, emptyWorkerCost, revision })
    else Object.assign(computed, { cost, changeCount, emptyWorkerCost, revision })
    return cost
  }

  /** Drops the costs for a step none of whose tasks waits, because each step holds one for each worker. */
  forget (step: StepRecord): void {
    this.costsByStep.delete(step)
  }

  private getCosts (step: StepRecord): Map<WorkerRecord, ComputedCost> {
    const existing = this.costsByStep.get(step)
    if (existing !== undefined) return existing
    const costs = new Map<WorkerRecord, ComputedCost>()
    this.costsByStep.set(step, costs)
    return costs
  }
}
