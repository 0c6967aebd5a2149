import type { TaskRun } from '../workers/WorkerProtocol.js'
import type { Victim } from './PlacementEngine.js'
import type { ResourceVector } from './resourceVector.js'
import { NO_SLOT } from './TaskTable.js'
import type { WorkerLedger } from './WorkerLedger.js'

/**
 * How long room is held for an urgent task that does not ask again. Urgent work must start within 8.9 s, so a task
 * that has not asked for 10 s was cancelled or has given up.
 */
const HOLD_MILLISECONDS = 10_000

interface EvictionHold {
  worker: number
  demand: ResourceVector
  victims: TaskRun[]
  expiresAt: number
}

/**
 * The room held for urgent tasks while their victims are evicted.
 *
 * Without a hold, a batch task could take the room of a victim first, and the urgent task would evict again. A hold
 * is no commitment: it only keeps other tasks out.
 */
export class EvictionHolds {
  /** In the order of expiry, because a renewed hold is inserted anew. */
  private readonly holds = new Map<string, EvictionHold>()

  private constructor (private readonly ledger: WorkerLedger) {}

  /**
   * Creates a record without holds.
   * @param ledger The ledger whose room is held.
   * @returns The record.
   */
  static create (ledger: WorkerLedger): EvictionHolds {
    return new EvictionHolds(ledger)
  }

  /**
   * Holds room on a worker for a run, and marks its victims.
   * @param run The urgent run.
   * @param worker The worker.
   * @param demand The room.
   * @param victims The tasks to be evicted.
   * @param now The time.
   */
  add (run: TaskRun, worker: number, demand: ResourceVector, victims: TaskRun[], now: number): void {
    this.holds.set(getKey(run), { worker, demand, victims, expiresAt: now + HOLD_MILLISECONDS })
    this.ledger.adjustHeldCapacity(worker, demand, 1)
    this.setEvicting(victims, 1)
  }

  /**
   * Ends the hold of a run.
   * @param run The urgent run.
   * @returns The worker, and the victims that still hold their commitments; undefined when there was no hold.
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
   * Ends the holds of tasks that have not asked again.
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
   * Lists victims as the caller is told of them.
   * @param worker The worker.
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
