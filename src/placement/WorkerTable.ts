import type { WorkerDescription } from './PlacementEngine.js'
import { Interner } from './Interner.js'
import { DIMENSIONS, isWithin, toCapacity, type ResourceVector } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'

/** The positions of the workers of a data centre: from `start` up to but not including `end`. */
export interface PositionRange {
  start: number
  end: number
}

/**
 * Stores the workers in typed arrays, with one slot per worker.
 *
 * A slot is stable while the worker is known. Positions order the listed workers by data centre and rack, so that the
 * workers of a data centre form one contiguous range; `setWorkers` assigns them anew.
 */
export class WorkerTable {
  readonly dataCentres = Interner.create()
  readonly racks = Interner.create()
  workerIds: string[] = []
  dataCentre = new Int32Array(0)
  rack = new Int32Array(0)
  capacity = new Float64Array(0)
  committed = new Float64Array(0)
  /** The committed size of tasks of eviction class `ordinary`. */
  ordinaryEvictable = new Float64Array(0)
  /** The committed size of tasks of eviction class `last`. */
  lastResortEvictable = new Float64Array(0)
  /** The capacity that is held for urgent tasks while their victims are being evicted. */
  held = new Float64Array(0)
  /** The head of the worker's list of runs, as a slot of the task table. */
  firstTask = new Int32Array(0)
  taskCount = new Int32Array(0)
  /** 1 when the worker is on the current list of workers. */
  listed = new Uint8Array(0)
  /** The position of each slot, -1 when the worker is not listed. */
  position = new Int32Array(0)
  /** The slot at each position. */
  slotAt: number[] = []
  private ranges: (PositionRange | undefined)[] = []
  /** The distinct worker capacities that have occurred in each data centre. */
  private readonly knownCapacities: ResourceVector[][] = []
  private readonly freeSlots: number[] = []
  private readonly slots = new Map<string, number>()

  private constructor () {}

  /**
   * Creates a table without workers.
   * @returns The table.
   */
  static create (): WorkerTable {
    return new WorkerTable()
  }

  get slotCount (): number {
    return this.workerIds.length
  }

  find (workerId: string): number {
    return this.slots.get(workerId) ?? NO_SLOT
  }

  getRange (dataCentre: number): PositionRange {
    return this.ranges[dataCentre] ?? { start: 0, end: 0 }
  }

  /**
   * Returns the distinct worker capacities of a data centre, including those of removed workers. The list of workers
   * lags behind, and letting a task wait too long is a smaller fault than rejecting it for good.
   * @param dataCentre The data centre.
   * @returns The capacities.
   */
  getKnownCapacities (dataCentre: number): readonly ResourceVector[] {
    return this.knownCapacities[dataCentre] ?? []
  }

  /**
   * Replaces the list of workers. Removed workers keep their slots while they have commitments or held capacity.
   * @param workers The workers.
   */
  setWorkers (workers: readonly WorkerDescription[]): void {
    const descriptions = new Map(workers.map(worker => [worker.workerId, worker]))
    this.listed.fill(0)
    for (let slot = 0; slot < this.slotCount; slot++) {
      const workerId = this.workerIds[slot]
      if (this.slots.get(workerId) !== slot || descriptions.has(workerId)) continue
      if (this.taskCount[slot] > 0 || this.hasHeldCapacity(slot)) continue
      this.slots.delete(workerId)
      this.freeSlots.push(slot)
    }
    for (const worker of descriptions.values()) this.setWorker(worker)
    this.assignPositions()
  }

  /**
   * Adds a worker that has never been listed, so that a commitment on it can be restored.
   * @param workerId The worker.
   * @returns The slot.
   */
  addUnlisted (workerId: string): number {
    const slot = this.addSlot(workerId)
    this.dataCentre[slot] = NO_SLOT
    this.rack[slot] = NO_SLOT
    return slot
  }

  /**
   * Returns whether a worker has been listed since it got its slot; until then, its capacity is unknown.
   * @param slot The slot of the worker.
   * @returns Whether the worker has been listed.
   */
  hasBeenListed (slot: number): boolean {
    return this.dataCentre[slot] !== NO_SLOT
  }

  private setWorker (worker: WorkerDescription): void {
    let slot = this.find(worker.workerId)
    if (slot === NO_SLOT) slot = this.addSlot(worker.workerId)
    const dataCentre = this.dataCentres.intern(worker.dataCentre)
    const capacity = toCapacity(worker.capacity)
    this.dataCentre[slot] = dataCentre
    this.rack[slot] = this.racks.intern(JSON.stringify([worker.dataCentre, worker.rack]))
    this.capacity.set(capacity, slot * DIMENSIONS)
    this.listed[slot] = 1
    const capacities = this.knownCapacities[dataCentre] ??= []
    if (!capacities.some(known => isWithin(known, capacity) && isWithin(capacity, known))) capacities.push(capacity)
  }

  private addSlot (workerId: string): number {
    const slot = this.freeSlots.pop() ?? this.workerIds.length
    this.workerIds[slot] = workerId
    this.slots.set(workerId, slot)
    if (slot >= this.firstTask.length) this.grow(Math.max(64, slot * 2))
    this.capacity.fill(0, slot * DIMENSIONS, (slot + 1) * DIMENSIONS)
    this.committed.fill(0, slot * DIMENSIONS, (slot + 1) * DIMENSIONS)
    this.ordinaryEvictable.fill(0, slot * DIMENSIONS, (slot + 1) * DIMENSIONS)
    this.lastResortEvictable.fill(0, slot * DIMENSIONS, (slot + 1) * DIMENSIONS)
    this.held.fill(0, slot * DIMENSIONS, (slot + 1) * DIMENSIONS)
    this.firstTask[slot] = NO_SLOT
    this.taskCount[slot] = 0
    this.listed[slot] = 0
    this.position[slot] = NO_SLOT
    return slot
  }

  private hasHeldCapacity (slot: number): boolean {
    const offset = slot * DIMENSIONS
    return this.held[offset] + this.held[offset + 1] + this.held[offset + 2] > 0
  }

  private assignPositions (): void {
    this.slotAt = []
    for (let slot = 0; slot < this.slotCount; slot++) if (this.listed[slot] === 1) this.slotAt.push(slot)
    this.slotAt.sort((left, right) => this.dataCentre[left] - this.dataCentre[right] ||
      this.rack[left] - this.rack[right] || left - right)
    this.position.fill(NO_SLOT)
    this.ranges = []
    this.slotAt.forEach((slot, position) => {
      this.position[slot] = position
      const range = this.ranges[this.dataCentre[slot]] ??= { start: position, end: position }
      range.end = position + 1
    })
  }

  private grow (slots: number): void {
    const extend = <Numbers extends Int32Array | Float64Array | Uint8Array>(
      numbers: Numbers, length = slots
    ): Numbers => {
      const larger = new (numbers.constructor as new (length: number) => Numbers)(length)
      larger.set(numbers)
      return larger
    }
    this.dataCentre = extend(this.dataCentre)
    this.rack = extend(this.rack)
    this.capacity = extend(this.capacity, slots * DIMENSIONS)
    this.committed = extend(this.committed, slots * DIMENSIONS)
    this.ordinaryEvictable = extend(this.ordinaryEvictable, slots * DIMENSIONS)
    this.lastResortEvictable = extend(this.lastResortEvictable, slots * DIMENSIONS)
    this.held = extend(this.held, slots * DIMENSIONS)
    this.firstTask = extend(this.firstTask)
    this.taskCount = extend(this.taskCount)
    this.listed = extend(this.listed)
    this.position = extend(this.position)
  }
}
