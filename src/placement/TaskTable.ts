import type { TaskRun } from '../workers/WorkerProtocol.js'
import { DIMENSIONS, type ResourceVector } from './resourceVector.js'

/** Marks the end of a list of slots. */
export const NO_SLOT = -1

const INITIAL_SLOTS = 256

/** What a new commitment holds. */
export interface TaskEntry extends TaskRun {
  worker: number
  kind: number
  team: number
  job: number
  rack: number
  startedAt: number
  reserved: ResourceVector
  /** What the commitment counts against the team's holding. */
  charged: ResourceVector
}

/**
 * The runs that hold commitments, in typed arrays with one slot per run.
 *
 * The slots of a worker form a list, and so do those of a kind in the order of their start.
 */
export class TaskTable {
  worker = new Int32Array(INITIAL_SLOTS)
  kind = new Int32Array(INITIAL_SLOTS)
  team = new Int32Array(INITIAL_SLOTS)
  job = new Int32Array(INITIAL_SLOTS)
  /** The rack at the start, which the count of the job's spread is kept by. */
  rack = new Int32Array(INITIAL_SLOTS)
  attempt = new Int32Array(INITIAL_SLOTS)
  startedAt = new Float64Array(INITIAL_SLOTS)
  reserved = new Int32Array(INITIAL_SLOTS * DIMENSIONS)
  charged = new Int32Array(INITIAL_SLOTS * DIMENSIONS)
  /** The millicores of the last report, -1 before the first. */
  usedMillicores = new Int32Array(INITIAL_SLOTS)
  /** The share that the run is throttled to, 1 when it is not. */
  throttleShare = new Float32Array(INITIAL_SLOTS)
  /** 1 when a report has shown the run long enough to count as working. */
  countedAsSuccess = new Uint8Array(INITIAL_SLOTS)
  /** 1 while the run is to be evicted for an urgent task that holds its room. */
  evicting = new Uint8Array(INITIAL_SLOTS)
  nextOnWorker = new Int32Array(INITIAL_SLOTS)
  previousOnWorker = new Int32Array(INITIAL_SLOTS)
  /** The run of the same kind that started after this one. */
  laterOfKind = new Int32Array(INITIAL_SLOTS)
  /** The run of the same kind that started before this one. */
  earlierOfKind = new Int32Array(INITIAL_SLOTS)
  /** The last slot of each kind in the order of start. */
  readonly latestOfKind: number[] = []
  private readonly taskIds: string[] = []
  private readonly slots = new Map<string, number>()
  private nextOfTask = new Int32Array(INITIAL_SLOTS)
  private readonly freeSlots: number[] = []
  private slotCount = 0

  private constructor () {}

  /**
   * Creates an empty table.
   * @returns The table.
   */
  static create (): TaskTable {
    return new TaskTable()
  }

  get size (): number {
    return this.slotCount - this.freeSlots.length
  }

  /**
   * Finds the slot of a run.
   * @param run The run.
   * @returns The slot, or `NO_SLOT`.
   */
  find (run: TaskRun): number {
    let slot = this.slots.get(run.taskId) ?? NO_SLOT
    while (slot !== NO_SLOT && this.attempt[slot] !== run.attempt) slot = this.nextOfTask[slot]
    return slot
  }

  getRun (slot: number): TaskRun {
    return { taskId: this.taskIds[slot], attempt: this.attempt[slot] }
  }

  /**
   * Adds a run and links it to its task and kind; the worker's list is linked by its owner.
   * @param entry The run.
   * @returns The slot.
   */
  add (entry: TaskEntry): number {
    const slot = this.freeSlots.pop() ?? this.slotCount++
    if (slot >= this.worker.length) this.grow()
    this.worker[slot] = entry.worker
    this.kind[slot] = entry.kind
    this.team[slot] = entry.team
    this.job[slot] = entry.job
    this.rack[slot] = entry.rack
    this.attempt[slot] = entry.attempt
    this.startedAt[slot] = entry.startedAt
    this.reserved.set(entry.reserved, slot * DIMENSIONS)
    this.charged.set(entry.charged, slot * DIMENSIONS)
    this.usedMillicores[slot] = -1
    this.throttleShare[slot] = 1
    this.countedAsSuccess[slot] = 0
    this.evicting[slot] = 0
    this.taskIds[slot] = entry.taskId
    this.nextOfTask[slot] = this.slots.get(entry.taskId) ?? NO_SLOT
    this.slots.set(entry.taskId, slot)
    const latest = this.latestOfKind[entry.kind] ?? NO_SLOT
    this.earlierOfKind[slot] = latest
    this.laterOfKind[slot] = NO_SLOT
    if (latest !== NO_SLOT) this.laterOfKind[latest] = slot
    this.latestOfKind[entry.kind] = slot
    return slot
  }

  /**
   * Removes a run.
   * @param slot The slot.
   */
  remove (slot: number): void {
    const earlier = this.earlierOfKind[slot]
    const later = this.laterOfKind[slot]
    if (earlier !== NO_SLOT) this.laterOfKind[earlier] = later
    if (later !== NO_SLOT) this.earlierOfKind[later] = earlier
    else this.latestOfKind[this.kind[slot]] = earlier
    this.removeFromTask(slot)
    this.taskIds[slot] = ''
    this.worker[slot] = NO_SLOT
    this.freeSlots.push(slot)
  }

  private removeFromTask (slot: number): void {
    const taskId = this.taskIds[slot]
    const first = this.slots.get(taskId)
    if (first === slot) {
      if (this.nextOfTask[slot] === NO_SLOT) this.slots.delete(taskId)
      else this.slots.set(taskId, this.nextOfTask[slot])
      return
    }
    let previous = first ?? NO_SLOT
    while (previous !== NO_SLOT && this.nextOfTask[previous] !== slot) previous = this.nextOfTask[previous]
    if (previous !== NO_SLOT) this.nextOfTask[previous] = this.nextOfTask[slot]
  }

  private grow (): void {
    const slots = this.worker.length * 2
    const resize = <Numbers extends Int32Array | Float64Array | Float32Array | Uint8Array>(
      numbers: Numbers, length = slots
    ): Numbers => {
      const larger = new (numbers.constructor as new (length: number) => Numbers)(length)
      larger.set(numbers)
      return larger
    }
    this.worker = resize(this.worker)
    this.kind = resize(this.kind)
    this.team = resize(this.team)
    this.job = resize(this.job)
    this.rack = resize(this.rack)
    this.attempt = resize(this.attempt)
    this.startedAt = resize(this.startedAt)
    this.reserved = resize(this.reserved, slots * DIMENSIONS)
    this.charged = resize(this.charged, slots * DIMENSIONS)
    this.usedMillicores = resize(this.usedMillicores)
    this.throttleShare = resize(this.throttleShare)
    this.countedAsSuccess = resize(this.countedAsSuccess)
    this.evicting = resize(this.evicting)
    this.nextOnWorker = resize(this.nextOnWorker)
    this.previousOnWorker = resize(this.previousOnWorker)
    this.laterOfKind = resize(this.laterOfKind)
    this.earlierOfKind = resize(this.earlierOfKind)
    this.nextOfTask = resize(this.nextOfTask)
  }
}
