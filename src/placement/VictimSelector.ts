import type { TaskRun } from '../workers/WorkerProtocol.js'
import type { KindRecord } from './KindCatalog.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'
import type { PositionRange } from './WorkerTable.js'
import type { EvictionClass, WorkerLedger } from './WorkerLedger.js'

/** The tasks to evict from one worker. */
export interface EvictionPlan {
  worker: number
  /** The slots of the tasks. */
  victims: number[]
  undisturbedVictims: number
  lostRunMilliseconds: number
}

/** How many recently started tasks are looked at; a longer walk would make a decision slower than 1 ms. */
const MAXIMUM_RECENT_TASKS = 96

/** How many workers are compared when the recently started tasks gave no plan, or standing work must go. */
const MAXIMUM_COMPARED_WORKERS = 16

/**
 * Chooses the tasks to evict for urgent work.
 *
 * Standing work is chosen only when on no worker ordinary tasks that may wait make enough room. The time that a
 * victim loses is counted from its start, because checkpoints are not known here.
 */
export class VictimSelector {
  private constructor (
    private readonly ledger: WorkerLedger,
    private readonly getKind: (kind: number) => KindRecord,
    private readonly getKindCount: () => number,
    private readonly violatesApartRule: (kind: KindRecord, worker: number) => boolean
  ) {}

  /**
   * Creates a selector.
   * @param options The ledger, the kinds, and the check of apart rules.
   * @returns The selector.
   */
  static create (options: {
    ledger: WorkerLedger
    getKind: (kind: number) => KindRecord
    getKindCount: () => number
    violatesApartRule: (kind: KindRecord, worker: number) => boolean
  }): VictimSelector {
    return new VictimSelector(options.ledger, options.getKind, options.getKindCount, options.violatesApartRule)
  }

  /**
   * Finds the plan with the fewest lost seconds, without standing work where possible.
   * @param kind The kind of the urgent work.
   * @param reserved What it needs.
   * @param range The positions to search.
   * @param from The position at which a search over workers begins.
   * @param now The time.
   * @returns The plan, or undefined when evictions cannot make room.
   */
  select (
    kind: KindRecord, reserved: ResourceVector, range: PositionRange, from: number, now: number
  ): EvictionPlan | undefined {
    return this.selectAmongRecent(kind, reserved, range, now) ??
      this.selectAmongWorkers('ordinary', kind, reserved, range, from, now) ??
      this.selectAmongWorkers('last', kind, reserved, range, from, now)
  }

  /**
   * Tells whether a demand would fit on a worker without some of its tasks.
   * @param worker The worker.
   * @param victims The tasks, all on that worker.
   * @param demand The demand.
   * @returns Whether it would fit.
   */
  fitsAfterEvicting (worker: number, victims: readonly TaskRun[], demand: ResourceVector): boolean {
    const slots = victims.map(victim => this.ledger.find(victim))
    return demand.every((amount, dimension) => amount <= slots.reduce(
      (room, slot) => room + this.ledger.tasks.reserved[slot * DIMENSIONS + dimension],
      this.ledger.getPlaceableCapacity(worker, dimension)
    ))
  }

  /** Walks the ordinary tasks from the latest start; ends as soon as no earlier task can be in a cheaper plan. */
  private selectAmongRecent (
    kind: KindRecord, reserved: ResourceVector, range: PositionRange, now: number
  ): EvictionPlan | undefined {
    const { tasks, workers, freeAfterOrdinaryEvictions } = this.ledger
    const heads: number[] = []
    for (let other = 0; other < this.getKindCount(); other++) {
      const head = tasks.latestOfKind[other] ?? NO_SLOT
      if (head !== NO_SLOT && this.getKind(other).evictionClass === 'ordinary') heads.push(head)
    }
    const visited = new Set<number>()
    let best: EvictionPlan | undefined
    for (let examined = 0; examined < MAXIMUM_RECENT_TASKS; examined++) {
      let latest = -1
      for (let index = 0; index < heads.length; index++) {
        if (heads[index] === NO_SLOT) continue
        if (latest === -1 || tasks.startedAt[heads[index]] > tasks.startedAt[heads[latest]]) latest = index
      }
      if (latest === -1) break
      const slot = heads[latest]
      heads[latest] = tasks.earlierOfKind[slot]
      if (best !== undefined && now - tasks.startedAt[slot] >= best.lostRunMilliseconds) break
      const worker = tasks.worker[slot]
      const position = workers.position[worker]
      if (visited.has(worker) || position < range.start || position >= range.end) continue
      visited.add(worker)
      if (freeAfterOrdinaryEvictions.findNext(position, position + 1, reserved) === -1) continue
      if (this.violatesApartRule(kind, worker)) continue
      best = chooseCheaper(best, this.createPlan('ordinary', worker, reserved, now))
    }
    return best
  }

  private selectAmongWorkers (
    highestClass: 'ordinary' | 'last', kind: KindRecord, reserved: ResourceVector, range: PositionRange, from: number,
    now: number
  ): EvictionPlan | undefined {
    const { workers } = this.ledger
    const index = highestClass === 'ordinary' ? this.ledger.freeAfterOrdinaryEvictions : this.ledger.freeAfterAllEvictions
    let best: EvictionPlan | undefined
    let compared = 0
    for (const [start, end] of [[from, range.end], [range.start, from]]) {
      let position = index.findNext(start, end, reserved)
      while (position !== -1 && compared < MAXIMUM_COMPARED_WORKERS) {
        const worker = workers.slotAt[position]
        if (!this.violatesApartRule(kind, worker)) {
          best = chooseCheaper(best, this.createPlan(highestClass, worker, reserved, now))
          compared++
        }
        position = index.findNext(position + 1, end, reserved)
      }
    }
    return best
  }

  /**
   * Takes the cheapest tasks until the demand fits, then gives back those that turn out not to be needed. Tasks that
   * are being evicted for another urgent task cost nothing; the room of that task is held.
   */
  private createPlan (
    highestClass: 'ordinary' | 'last', worker: number, reserved: ResourceVector, now: number
  ): EvictionPlan {
    const { tasks } = this.ledger
    const candidates = this.listCandidates(highestClass, worker)
    const shortfall = [0, 1, 2].map(dimension => reserved[dimension] - this.ledger.getPlaceableCapacity(worker, dimension))
    const victims: number[] = []
    for (const slot of candidates) {
      if (shortfall.every(amount => amount <= 0)) break
      victims.push(slot)
      for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
        shortfall[dimension] -= tasks.reserved[slot * DIMENSIONS + dimension]
      }
    }
    for (let index = victims.length - 1; index >= 0; index--) {
      const offset = victims[index] * DIMENSIONS
      const needed = shortfall.some((amount, dimension) => amount + tasks.reserved[offset + dimension] > 0)
      if (needed) continue
      shortfall.forEach((amount, dimension) => { shortfall[dimension] = amount + tasks.reserved[offset + dimension] })
      victims.splice(index, 1)
    }
    return {
      worker,
      victims,
      undisturbedVictims: victims.filter(slot => tasks.evicting[slot] === 0 && this.getEvictionClass(slot) === 'last').length,
      lostRunMilliseconds: victims.reduce((sum, slot) => sum + this.getLostRunMilliseconds(slot, now), 0)
    }
  }

  /** Lists the tasks that may be evicted: those being evicted, ordinary, standing; the latest start first. */
  private listCandidates (highestClass: 'ordinary' | 'last', worker: number): number[] {
    const { tasks, workers } = this.ledger
    const candidates: number[] = []
    for (let slot = workers.firstTask[worker]; slot !== NO_SLOT; slot = tasks.nextOnWorker[slot]) {
      const evictionClass = this.getEvictionClass(slot)
      if (evictionClass === 'ordinary' || (highestClass === 'last' && evictionClass === 'last')) candidates.push(slot)
    }
    const rank = (slot: number): number =>
      tasks.evicting[slot] === 1 ? 0 : this.getEvictionClass(slot) === 'last' ? 2 : 1
    return candidates.sort((left, right) =>
      rank(left) - rank(right) || tasks.startedAt[right] - tasks.startedAt[left] || left - right)
  }

  private getLostRunMilliseconds (slot: number, now: number): number {
    return this.ledger.tasks.evicting[slot] === 1 ? 0 : now - this.ledger.tasks.startedAt[slot]
  }

  private getEvictionClass (slot: number): EvictionClass {
    return this.getKind(this.ledger.tasks.kind[slot]).evictionClass
  }
}

function chooseCheaper (best: EvictionPlan | undefined, plan: EvictionPlan): EvictionPlan {
  if (best === undefined) return plan
  const difference = plan.undisturbedVictims - best.undisturbedVictims || plan.lostRunMilliseconds - best.lostRunMilliseconds
  return difference < 0 ? plan : best
}
