import type { TaskRun } from '../workers/WorkerProtocol.js'
import type { WorkerDescription } from './PlacementEngine.js'
import { FreeCapacityIndex } from './FreeCapacityIndex.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'
import { NO_SLOT, TaskTable, type TaskEntry } from './TaskTable.js'
import { WorkerTable } from './WorkerTable.js'

/** How the tasks of a kind may be evicted: not at all, in the ordinary way, or only when nothing else will do. */
export type EvictionClass = 'never' | 'ordinary' | 'last'

/**
 * The commitments of all workers and the indexes over them.
 *
 * A commitment is made only when it fits in every dimension. `restore` may exceed the capacity of a worker, because
 * the task already runs there; such a worker takes nothing more until its commitments fit again. When a running task
 * uses more than it reserved, `raiseCommitment` raises its commitment as far as the capacity allows, so that later
 * placements count what is really used; what does not fit is not committed, and the task is throttled or moved.
 */
export class WorkerLedger {
  readonly workers = WorkerTable.create()
  readonly tasks = TaskTable.create()
  /** The room of the workers that may be given tasks. */
  freeCapacity = FreeCapacityIndex.create(0)
  /** The room after ordinary tasks that may wait are evicted. */
  freeAfterOrdinaryEvictions = FreeCapacityIndex.create(0)
  /** The room after all tasks that may wait are evicted. */
  freeAfterAllEvictions = FreeCapacityIndex.create(0)
  /** How many tasks of each kind a worker has, by kind and then worker. */
  private readonly taskCountsByKind: Uint16Array[] = []

  private constructor (
    private readonly getEvictionClass: (kind: number) => EvictionClass,
    private readonly isWorkerSchedulable: (worker: number) => boolean
  ) {}

  /**
   * Creates a ledger without workers.
   * @param options How kinds may be evicted, and which of the listed workers may be given tasks.
   * @returns The ledger.
   */
  static create (options: {
    getEvictionClass: (kind: number) => EvictionClass
    isWorkerSchedulable: (worker: number) => boolean
  }): WorkerLedger {
    return new WorkerLedger(options.getEvictionClass, options.isWorkerSchedulable)
  }

  /**
   * Replaces the list of workers; commitments are kept.
   * @param workers The workers.
   */
  setWorkers (workers: readonly WorkerDescription[]): void {
    this.workers.setWorkers(workers)
    const positions = this.workers.slotAt.length
    this.freeCapacity = FreeCapacityIndex.create(positions)
    this.freeAfterOrdinaryEvictions = FreeCapacityIndex.create(positions)
    this.freeAfterAllEvictions = FreeCapacityIndex.create(positions)
    for (let kind = 0; kind < this.taskCountsByKind.length; kind++) this.getTaskCounts(kind)
    this.refreshAll()
  }

  /** Recomputes the indexes after the open workers have changed. */
  refreshAll (): void {
    for (const slot of this.workers.slotAt) this.refreshWorker(slot)
  }

  /** Recomputes what may be evicted after the policy has changed. */
  recomputeEvictable (): void {
    const { workers, tasks } = this
    workers.ordinaryEvictable.fill(0)
    workers.lastResortEvictable.fill(0)
    for (let worker = 0; worker < workers.slotCount; worker++) {
      for (let slot = workers.firstTask[worker]; slot !== NO_SLOT; slot = tasks.nextOnWorker[slot]) {
        this.addEvictable(slot, 1)
      }
    }
    this.refreshAll()
  }

  /**
   * Tells whether a demand fits on a worker, whether or not the worker is open.
   * @param worker The worker.
   * @param demand The demand.
   * @returns Whether it fits beside the commitments.
   */
  fits (worker: number, demand: ResourceVector): boolean {
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      if (demand[dimension] > this.getFreeCapacity(worker, dimension)) return false
    }
    return true
  }

  getFreeCapacity (worker: number, dimension: number): number {
    const offset = worker * DIMENSIONS + dimension
    return this.workers.capacity[offset] - this.workers.committed[offset]
  }

  /**
   * Returns the room that is not held for urgent tasks.
   * @param worker The worker.
   * @param dimension The dimension.
   * @returns The room, negative when commitments and holds exceed the capacity.
   */
  getPlaceableCapacity (worker: number, dimension: number): number {
    return this.getFreeCapacity(worker, dimension) - this.workers.held[worker * DIMENSIONS + dimension]
  }

  /**
   * Keeps room free on a worker, or gives it back.
   * @param worker The worker.
   * @param demand The room.
   * @param sign 1 to keep, -1 to give back.
   */
  adjustHeldCapacity (worker: number, demand: ResourceVector, sign: 1 | -1): void {
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      this.workers.held[worker * DIMENSIONS + dimension] += sign * demand[dimension]
    }
    this.refreshWorker(worker)
  }

  /**
   * Commits a run that fits.
   * @param entry The run and its worker.
   * @returns The slot of the run.
   */
  commitOrThrow (entry: TaskEntry): number {
    if (!this.fits(entry.worker, entry.reserved)) {
      throw new Error(`Commitment beyond the capacity of worker ${this.workers.workerIds[entry.worker]}`)
    }
    return this.restore(entry)
  }

  /**
   * Commits a run that already runs, whether it fits or not.
   * @param entry The run and its worker.
   * @returns The slot of the run.
   */
  restore (entry: TaskEntry): number {
    const { workers, tasks } = this
    const slot = tasks.add(entry)
    const { worker } = entry
    const first = workers.firstTask[worker]
    tasks.nextOnWorker[slot] = first
    tasks.previousOnWorker[slot] = NO_SLOT
    if (first !== NO_SLOT) tasks.previousOnWorker[first] = slot
    workers.firstTask[worker] = slot
    workers.taskCount[worker]++
    this.getTaskCounts(entry.kind)[worker]++
    this.addCommitted(slot, 1)
    this.refreshWorker(worker)
    return slot
  }

  /**
   * Ends a commitment.
   * @param slot The slot of the run.
   */
  release (slot: number): void {
    const { workers, tasks } = this
    const worker = tasks.worker[slot]
    const next = tasks.nextOnWorker[slot]
    const previous = tasks.previousOnWorker[slot]
    if (previous === NO_SLOT) workers.firstTask[worker] = next
    else tasks.nextOnWorker[previous] = next
    if (next !== NO_SLOT) tasks.previousOnWorker[next] = previous
    workers.taskCount[worker]--
    this.getTaskCounts(tasks.kind[slot])[worker]--
    this.addCommitted(slot, -1)
    tasks.remove(slot)
    this.refreshWorker(worker)
  }

  /**
   * Raises the commitment of a running task to what it was seen to use, as far as its worker has room.
   * @param slot The slot of the run.
   * @param used What the task uses.
   * @returns Whether the commitment now covers the use.
   */
  raiseCommitment (slot: number, used: ResourceVector): boolean {
    const { tasks } = this
    const worker = tasks.worker[slot]
    let covered = true
    let isRaised = false
    this.addCommitted(slot, -1)
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      const offset = slot * DIMENSIONS + dimension
      const reserved = tasks.reserved[offset]
      if (used[dimension] <= reserved) continue
      const raised = Math.max(reserved, Math.min(used[dimension], this.getFreeCapacity(worker, dimension)))
      isRaised ||= raised > reserved
      tasks.reserved[offset] = raised
      covered &&= raised >= used[dimension]
    }
    this.addCommitted(slot, 1)
    if (isRaised) this.refreshWorker(worker)
    return covered
  }

  /**
   * Tells whether a worker has a task of a kind.
   * @param worker The worker.
   * @param kind The kind.
   * @returns Whether it has one.
   */
  hasKind (worker: number, kind: number): boolean {
    return (this.taskCountsByKind[kind]?.[worker] ?? 0) > 0
  }

  find (run: TaskRun): number {
    return this.tasks.find(run)
  }

  /**
   * Recomputes the indexes for one worker.
   * @param worker The worker.
   */
  refreshWorker (worker: number): void {
    const { workers } = this
    const position = workers.position[worker]
    if (position === NO_SLOT) return
    if (!this.isWorkerSchedulable(worker)) {
      this.freeCapacity.close(position)
      this.freeAfterOrdinaryEvictions.close(position)
      this.freeAfterAllEvictions.close(position)
      return
    }
    const offset = worker * DIMENSIONS
    const { ordinaryEvictable, lastResortEvictable } = workers
    const millicores = this.getPlaceableCapacity(worker, 0)
    const memoryMegabytes = this.getPlaceableCapacity(worker, 1)
    const accelerators = this.getPlaceableCapacity(worker, 2)
    this.freeCapacity.setFreeCapacity(position, millicores, memoryMegabytes, accelerators)
    this.freeAfterOrdinaryEvictions.setFreeCapacity(position,
      millicores + ordinaryEvictable[offset], memoryMegabytes + ordinaryEvictable[offset + 1], accelerators + ordinaryEvictable[offset + 2])
    this.freeAfterAllEvictions.setFreeCapacity(position,
      millicores + ordinaryEvictable[offset] + lastResortEvictable[offset],
      memoryMegabytes + ordinaryEvictable[offset + 1] + lastResortEvictable[offset + 1],
      accelerators + ordinaryEvictable[offset + 2] + lastResortEvictable[offset + 2])
  }

  private addCommitted (slot: number, sign: 1 | -1): void {
    const worker = this.tasks.worker[slot] * DIMENSIONS
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      this.workers.committed[worker + dimension] += sign * this.tasks.reserved[slot * DIMENSIONS + dimension]
    }
    this.addEvictable(slot, sign)
  }

  private addEvictable (slot: number, sign: 1 | -1): void {
    const evictionClass = this.getEvictionClass(this.tasks.kind[slot])
    if (evictionClass === 'never') return
    const sums = evictionClass === 'ordinary' ? this.workers.ordinaryEvictable : this.workers.lastResortEvictable
    const worker = this.tasks.worker[slot] * DIMENSIONS
    for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
      sums[worker + dimension] += sign * this.tasks.reserved[slot * DIMENSIONS + dimension]
    }
  }

  private getTaskCounts (kind: number): Uint16Array {
    const counts = this.taskCountsByKind[kind]
    const length = this.workers.firstTask.length
    if (counts !== undefined && counts.length >= length) return counts
    const larger = new Uint16Array(length)
    if (counts !== undefined) larger.set(counts)
    this.taskCountsByKind[kind] = larger
    return larger
  }
}
