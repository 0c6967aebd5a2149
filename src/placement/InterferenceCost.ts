import { InterferenceModel, type Neighbour } from './InterferenceModel.js'
import type { KindRecord } from './KindCatalog.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'
import type { WorkerLedger } from './WorkerLedger.js'

/** A slower urgent task counts in full, a slower batch task for its lost throughput only. */
const URGENT_WEIGHT = 1
const BATCH_WEIGHT = 0.3

/** Beyond this a place is bad enough to lose to every other one. */
const MAXIMUM_COST = 3

/** Predicts what interference a placement would cause, from the learned model. */
export class InterferenceCost {
  private readonly neighbours: Neighbour[] = []
  private taskCounts: number[] = []

  private constructor (
    private readonly ledger: WorkerLedger,
    private readonly model: InterferenceModel,
    private readonly getKind: (kind: number) => KindRecord
  ) {}

  /**
   * Creates a predictor.
   * @param options The ledger, the learned interference and the kinds.
   * @returns The predictor.
   */
  static create (options: {
    ledger: WorkerLedger
    model: InterferenceModel
    getKind: (kind: number) => KindRecord
  }): InterferenceCost {
    return new InterferenceCost(options.ledger, options.model, options.getKind)
  }

  /**
   * Predicts the cost of a placement: the slowdown of the new task, and that which it adds to the tasks there.
   * @param kind The kind of the new task.
   * @param worker The worker.
   * @param reserved What the new task reserves.
   * @returns The weighted slowdown beyond 1.
   */
  predict (kind: KindRecord, worker: number, reserved: ResourceVector): number {
    if (this.model.isEmpty) return 0
    const capacity = this.ledger.workers.capacity[worker * DIMENSIONS]
    if (capacity === 0) return 0
    const load = this.collectNeighbours(worker, capacity)
    const share = reserved[0] / capacity
    const band = InterferenceModel.getBand(load + share)
    let cost = getWeight(kind) * (this.model.predict(kind.number, this.neighbours, band) - 1)
    for (const neighbour of this.neighbours) {
      const added = this.model.getCoefficient(neighbour.kind, kind.number, band) * share
      if (added > 0) cost += getWeight(this.getKind(neighbour.kind)) * added * this.taskCounts[neighbour.kind]
    }
    return Math.min(MAXIMUM_COST, cost)
  }

  /** Sums what the tasks on a worker use by kind, and returns the share of the processors in use. */
  private collectNeighbours (worker: number, capacity: number): number {
    const { tasks, workers } = this.ledger
    for (const neighbour of this.neighbours) this.taskCounts[neighbour.kind] = 0
    this.neighbours.length = 0
    let load = 0
    for (let slot = workers.firstTask[worker]; slot !== NO_SLOT; slot = tasks.nextOnWorker[slot]) {
      const kind = tasks.kind[slot]
      const millicores = tasks.usedMillicores[slot] < 0 ? tasks.reserved[slot * DIMENSIONS] : tasks.usedMillicores[slot]
      const share = millicores / capacity
      load += share
      if ((this.taskCounts[kind] ?? 0) === 0) {
        this.taskCounts[kind] = 1
        this.neighbours.push({ kind, share })
        continue
      }
      this.taskCounts[kind]++
      for (const neighbour of this.neighbours) if (neighbour.kind === kind) neighbour.share += share
    }
    return load
  }
}

function getWeight (kind: KindRecord): number {
  return kind.policy.workClass === 'urgent' ? URGENT_WEIGHT : BATCH_WEIGHT
}
