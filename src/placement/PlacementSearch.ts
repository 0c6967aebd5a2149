import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { KindRecord } from './KindCatalog.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'
import type { PositionRange } from './WorkerTable.js'
import type { WorkerLedger } from './WorkerLedger.js'

/** What a task needs of a worker. */
export interface Demand {
  kind: KindRecord
  reserved: ResourceVector
  /** The share of the job's running tasks that are in a rack. */
  getRackShare: (rack: number) => number
}

/** The result of a search; `blockedByApartRule` says that a worker has room but an apart rule forbids it. */
export interface SearchResult {
  worker: number
  blockedByApartRule: boolean
}

/** The searches from different places, so that candidates lie in several racks. */
const SEARCH_STARTS = 4

/** The candidates per probe; 16 in all pack about as tightly as a whole scan and cost a few microseconds. */
const CANDIDATES_PER_START = 4

/** How many workers one probe looks at, so that apart rules do not make it a whole scan. */
const VISITS_PER_START = 16

/** How many recent tasks of a kind are looked at for a place beside them. */
const TOGETHER_CANDIDATES = 8

/** Weights of the score; one is as bad as a worker left wholly empty. */
const IMBALANCE_WEIGHT = 0.5
const RACK_WEIGHT = 0.5
const IDLE_ACCELERATOR_WEIGHT = 0.5
const TOGETHER_WEIGHT = 1
const INTERFERENCE_WEIGHT = 1

/** Finds a worker with room: near-full packing, balanced over dimensions, racks and interference. */
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
   * @param options The ledger, the predicted cost of interference at a place, and the seed of the probes.
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
   * Finds the best of a few candidates; when the probes meet none, every worker with room is considered.
   * @param demand What the task needs.
   * @param range The positions to search.
   * @returns The worker, or `NO_SLOT`.
   */
  find (demand: Demand, range: PositionRange): SearchResult {
    const count = range.end - range.start
    if (count === 0) return { worker: NO_SLOT, blockedByApartRule: false }
    let best = this.findTogetherCandidate(demand, range)
    let bestScore = best === NO_SLOT ? Infinity : this.score(demand, best)
    let blockedByRule = false
    const consider = (worker: number): boolean => {
      if (this.violatesApartRule(demand.kind, worker)) {
        blockedByRule = true
        return false
      }
      const score = this.score(demand, worker)
      if (score < bestScore) {
        best = worker
        bestScore = score
      }
      return true
    }
    for (let probe = 0; probe < SEARCH_STARTS; probe++) {
      this.considerFrom(demand, range, range.start + this.drawInteger(count), consider)
      if (best === NO_SLOT && !blockedByRule) return { worker: NO_SLOT, blockedByApartRule: false }
    }
    if (best === NO_SLOT) best = this.findFirst(demand, range)
    return { worker: best, blockedByApartRule: best === NO_SLOT && blockedByRule }
  }

  /**
   * Tells whether an apart rule forbids a kind on a worker.
   * @param kind The kind.
   * @param worker The worker.
   * @returns Whether a task of a kind that must be apart is there.
   */
  violatesApartRule (kind: KindRecord, worker: number): boolean {
    for (const other of kind.apartFrom) if (this.ledger.hasKind(worker, other)) return true
    return false
  }

  /**
   * Draws a number.
   * @param count The number of possible results.
   * @returns A whole number from 0 up to but not including `count`.
   */
  drawInteger (count: number): number {
    return (this.generator.next() >>> 0) % count
  }

  /** Considers workers with room from a position on, and from the start of the range after its end. */
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

  /** Lower is better. */
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
