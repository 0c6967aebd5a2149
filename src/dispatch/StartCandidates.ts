import type { TaskRecord } from '../jobs/index.js'
import { chooseAmong, getEmptyWorkerCost, getFillableProcessors, isEligible, type ChoiceConditions } from './chooseWorker.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Sums of fractions are rounded, so a size that seems too large by less than this is compared worker by worker. */
const ROUNDING_MARGIN = 1e-6

/** What one worker has left; no start of the same plan makes it more. */
interface Room {
  processorsMilli: number
  fillableMilli: number
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
  private rooms: Room[] | null = null

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
    this.rooms ??= getLargestRooms(this.eligible)
    if (!this.rooms.some(room => mayFit(room, task))) return null
    const emptyWorkerCost = task.step.specification.targetMilliseconds > 0 ? getEmptyWorkerCost(this.workers) : 0
    const worker = chooseAmong(task, this.eligible, emptyWorkerCost, conditions)
    // Starts since the rooms were listed have made them smaller.
    if (worker === null) this.rooms = null
    return worker
  }
}

function mayFit (room: Room, task: TaskRecord): boolean {
  const { processorsMilli, memoryMegabytes, accelerators, fills } = task.step.specification
  return memoryMegabytes <= room.memoryMegabytes && accelerators <= room.accelerators &&
    processorsMilli <= (fills ? room.fillableMilli : room.processorsMilli)
}

function getLargestRooms (workers: readonly WorkerRecord[]): Room[] {
  let largest: Room[] = []
  for (const worker of workers) {
    const room = getRoom(worker)
    if (largest.some(other => covers(other, room))) continue
    largest = largest.filter(other => !covers(room, other))
    largest.push(room)
  }
  return largest
}

function getRoom (worker: WorkerRecord): Room {
  const { reserved, fillWanted, entry: { capacity } } = worker
  return {
    processorsMilli: capacity.processorsMilli - reserved.processorsMilli + ROUNDING_MARGIN,
    // A worker where nothing fills takes one task that fills, whatever its size.
    fillableMilli: fillWanted === 0 ? Infinity : getFillableProcessors(worker) - fillWanted + ROUNDING_MARGIN,
    memoryMegabytes: capacity.memoryMegabytes - reserved.memoryMegabytes + ROUNDING_MARGIN,
    accelerators: capacity.accelerators - reserved.accelerators + ROUNDING_MARGIN
  }
}

function covers (larger: Room, smaller: Room): boolean {
  return larger.processorsMilli >= smaller.processorsMilli && larger.fillableMilli >= smaller.fillableMilli &&
    larger.memoryMegabytes >= smaller.memoryMegabytes && larger.accelerators >= smaller.accelerators
}
