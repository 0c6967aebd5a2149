import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { KindRecord } from './KindCatalog.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'
import type { PositionRange } from './WorkerTable.js'
import type { WorkerLedger } from './WorkerLedger.js'

/** The requirements of a task that is to be placed. */
export interface Demand {
  kind: KindRecord
  reserved: ResourceVector
  /** Returns the share of the job's running tasks that are in a rack. */
  getRackShare: (rack: number) => number
}

/**
 * The result of a search. `blockedByApartRule` is true when some worker has enough free capacity, but apart rules
 * forbid every such worker.
 */
export interface SearchResult {
  worker: number
  blockedByApartRule: boolean
}

/** The number of random positions from which the search starts, so that the candidates lie in several racks. */
const SEARCH_STARTS = 4

/** Candidates per start position; 16 in total pack about as tightly as a full scan and take a few microseconds. */
const CANDIDATES_PER_START = 4

/** Workers examined per start position; without this limit, apart rules could turn a search into a full scan. */
const VISITS_PER_START = 16

/** Recent tasks per kind whose workers are examined to satisfy a `together` rule. */
const TOGETHER_CANDIDATES = 8

/** Weights of the score terms; 1 equals the score of a worker whose processors and memory stay entirely free. */
const IMBALANCE_WEIGHT = 0.5
const RACK_WEIGHT = 0.5
const IDLE_ACCELERATOR_WEIGHT = 0.5
const TOGETHER_WEIGHT = 1
const INTERFERENCE_WEIGHT = 1

/**
 * Finds a worker for a task by best fit. The score also weighs the balance between processors and memory, idle
 * accelerators, the spread of the job over racks, `together` rules and predicted interference.
 */
export class PlacementSearch {
  private readonly generator

  private constructor (
    private readonly ledger: WorkerLedger,
    private readonly predictCost: (kind: KindRecord, worker: number, reserved: ResourceVector) => number,
    seed: number
  ) {
    this.generator = xoroshiro128plus(seed)
  }

  /**
   * Creates a search.
   * @param options The ledger, the predicted interference cost of a placement, and the seed of the start positions.
   * @returns The search.
   */
  static create (options: {
    ledger: WorkerLedger
    predictCost: (kind: KindRecord, worker: number, reserved: ResourceVector) => number
    seed: number
  }): PlacementSearch {
    return new PlacementSearch(options.ledger, options.predictCost, options.seed)
  }

  /**
   * Finds the candidate with the best score. If apart rules exclude every examined worker, falls back to the first
   * allowed worker with enough free capacity.
   * @param demand The requirements of the task.
   * @param range The positions to search.
   * @returns The worker, or `NO_SLOT`.
   */
  find (demand: Demand, range: PositionRange): SearchResult {
    const count = range.end - range.start
    if (count === 0) return { worker: NO_SLOT, blockedByApartRule: false }
    let best = this.findTogetherCandidate(demand, range)
    let bestScore = best === NO_SLOT ? Infinity : this.score(demand, best)
    let blockedByApartRule = false
    const consider = (worker: number): boolean => {
      if (this.violatesApartRule(demand.kind, worker)) {
        blockedByApartRule = true
        return false
      }
      const score = this.score(demand, worker)
      if (score < bestScore) {
        best = worker
        bestScore = score
      }
      return true
    }
    for (let start = 0; start < SEARCH_STARTS; start++) {
      this.considerFrom(demand, range, range.start + this.drawInteger(count), consider)
      if (best === NO_SLOT && !blockedByApartRule) return { worker: NO_SLOT, blockedByApartRule: false }
    }
    if (best === NO_SLOT) best = this.findFirst(demand, range)
    return { worker: best, blockedByApartRule: best === NO_SLOT && blockedByApartRule }
  }

  /**
   * Returns whether placing a task of a kind on a worker would violate an apart rule.
   * @param kind The kind.
   * @param worker The worker.
   * @returns Whether the worker runs a task of a kind that must be kept apart.
   */
  violatesApartRule (kind: KindRecord, worker: number): boolean {
    for (const other of kind.apartFrom) if (this.ledger.hasKind(worker, other)) return true
    return false
  }

  /**
   * Draws a random integer.
   * @param count The number of possible results.
   * @returns An integer from 0 up to but not including `count`.
   */
  drawInteger (count: number): number {
    return (this.generator.next() >>> 0) % count
  }

  /** Passes workers with enough free capacity to `consider`, from a position on, wrapping around at the range's end. */
  private considerFrom (
    demand: Demand, range: PositionRange, from: number, consider: (worker: number) => boolean
  ): void {
    const { freeCapacity, workers } = this.ledger
    let candidates = 0
    let visits = 0
    for (const [start, end] of [[from, range.end], [range.start, from]]) {
      let position = freeCapacity.findNext(start, end, demand.reserved)
      while (position !== -1) {
        if (consider(workers.slotAt[position])) candidates++
        visits++
        if (candidates === CANDIDATES_PER_START || visits === VISITS_PER_START) return
        position = freeCapacity.findNext(position + 1, end, demand.reserved)
      }
    }
  }

  private findFirst (demand: Demand, range: PositionRange): number {
    const { freeCapacity, workers } = this.ledger
    let position = freeCapacity.findNext(range.start, range.end, demand.reserved)
    while (position !== -1) {
      const worker = workers.slotAt[position]
      if (!this.violatesApartRule(demand.kind, worker)) return worker
      position = freeCapacity.findNext(position + 1, range.end, demand.reserved)
    }
    return NO_SLOT
  }

  private findTogetherCandidate (demand: Demand, range: PositionRange): number {
    const { tasks, workers, freeCapacity } = this.ledger
    let best = NO_SLOT
    let bestScore = Infinity
    for (const kind of demand.kind.togetherWith) {
      let slot = tasks.latestOfKind[kind] ?? NO_SLOT
      for (let examined = 0; examined < TOGETHER_CANDIDATES && slot !== NO_SLOT; examined++) {
        const worker = tasks.worker[slot]
        slot = tasks.earlierOfKind[slot]
        const position = workers.position[worker]
        if (position < range.start || position >= range.end) continue
        if (freeCapacity.findNext(position, position + 1, demand.reserved) === -1) continue
        if (this.violatesApartRule(demand.kind, worker)) continue
        const score = this.score(demand, worker)
        if (score >= bestScore) continue
        best = worker
        bestScore = score
      }
    }
    return best
  }

  /** Computes the score of a placement; lower is better. */
  private score (demand: Demand, worker: number): number {
    const { workers } = this.ledger
    const processors = this.getFreeShareAfter(worker, 0, demand.reserved)
    const memory = this.getFreeShareAfter(worker, 1, demand.reserved)
    let score = (processors + memory) / 2 + IMBALANCE_WEIGHT * Math.abs(processors - memory)
    if (demand.reserved[2] === 0 && workers.capacity[worker * DIMENSIONS + 2] > 0) score += IDLE_ACCELERATOR_WEIGHT
    score += RACK_WEIGHT * demand.getRackShare(workers.rack[worker])
    for (const kind of demand.kind.togetherWith) {
      if (this.ledger.hasKind(worker, kind)) {
        score -= TOGETHER_WEIGHT
        break
      }
    }
    return score + INTERFERENCE_WEIGHT * this.predictCost(demand.kind, worker, demand.reserved)
  }

  private getFreeShareAfter (worker: number, dimension: number, reserved: ResourceVector): number {
    const capacity = this.ledger.workers.capacity[worker * DIMENSIONS + dimension]
    return capacity === 0 ? 0 : (this.ledger.getFreeCapacity(worker, dimension) - reserved[dimension]) / capacity
  }
}
