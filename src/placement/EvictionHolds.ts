import type { TaskRun } from '../workers/WorkerProtocol.js'
import type { Victim } from './PlacementEngine.js'
import type { ResourceVector } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'
import type { WorkerLedger } from './WorkerLedger.js'

/**
 * How long capacity is held for an urgent task without a new request from it. Urgent tasks must start within 8.9 s, so
 * a task that has not requested a decision for 10 s has been cancelled or abandoned.
 */
const HOLD_MILLISECONDS = 10_000

interface EvictionHold {
  worker: number
  demand: ResourceVector
  victims: TaskRun[]
  expiresAt: number
}

/**
 * Holds capacity for urgent tasks while their victims are being evicted.
 *
 * Without a hold, a batch task could be placed in the capacity that a victim frees, and the urgent task would have to
 * evict again. A hold is not a commitment: it only prevents other placements.
 */
export class EvictionHolds {
  /** The holds by run, in order of expiry, because a renewed hold is removed and inserted again. */
  private readonly holds = new Map<string, EvictionHold>()

  private constructor (private readonly ledger: WorkerLedger) {}

  /**
   * Creates an empty set of holds.
   * @param ledger The ledger in which capacity is held.
   * @returns The holds.
   */
  static create (ledger: WorkerLedger): EvictionHolds {
    return new EvictionHolds(ledger)
  }

  /**
   * Holds capacity on a worker for a run, and marks its victims as being evicted.
   * @param run The urgent run.
   * @param worker The worker.
   * @param demand The capacity to hold.
   * @param victims The tasks to be evicted.
   * @param now The time.
   */
  add (run: TaskRun, worker: number, demand: ResourceVector, victims: TaskRun[], now: number): void {
    this.holds.set(getKey(run), { worker, demand, victims, expiresAt: now + HOLD_MILLISECONDS })
    this.ledger.adjustHeldCapacity(worker, demand, 1)
    this.setEvicting(victims, 1)
  }

  /**
   * Removes the hold of a run.
   * @param run The urgent run.
   * @returns The worker, and the victims whose commitments on it are not yet released; undefined if there was no hold.
   */
  remove (run: TaskRun): { worker: number, victims: TaskRun[] } | undefined {
    const hold = this.holds.get(getKey(run))
    if (hold === undefined) return undefined
    this.holds.delete(getKey(run))
    this.ledger.adjustHeldCapacity(hold.worker, hold.demand, -1)
    this.setEvicting(hold.victims, 0)
    return { worker: hold.worker, victims: hold.victims.filter(victim => this.isOnWorker(victim, hold.worker)) }
  }

  /**
   * Removes the holds that have expired.
   * @param now The time.
   */
  expire (now: number): void {
    for (const [key, hold] of this.holds) {
      if (hold.expiresAt > now) return
      this.holds.delete(key)
      this.ledger.adjustHeldCapacity(hold.worker, hold.demand, -1)
      this.setEvicting(hold.victims, 0)
    }
  }

  /**
   * Converts runs to the victims that a decision contains.
   * @param worker The worker on which they run.
   * @param victims The tasks to be evicted.
   * @returns The victims.
   */
  toVictims (worker: number, victims: TaskRun[]): Victim[] {
    return victims.map(victim => ({ ...victim, workerId: this.ledger.workers.workerIds[worker] }))
  }

  private setEvicting (victims: TaskRun[], evicting: 0 | 1): void {
    for (const victim of victims) {
      const slot = this.ledger.find(victim)
      if (slot !== NO_SLOT) this.ledger.tasks.evicting[slot] = evicting
    }
  }

  private isOnWorker (victim: TaskRun, worker: number): boolean {
    const slot = this.ledger.find(victim)
    return slot !== NO_SLOT && this.ledger.tasks.worker[slot] === worker
  }
}

function getKey (run: TaskRun): string {
  return `${run.attempt}#${run.taskId}`
}
