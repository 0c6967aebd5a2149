import type { TaskRecord } from '../jobs/index.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Workers that may run tasks of earlier owners and have not reported to this owner yet. */
export class UnreconciledWorkers {
  /** Monotonic time from which no run of an earlier owner can exist, by worker. */
  private readonly expiries = new Map<string, number>()

  private constructor () {}

  /**
   * Creates an empty set.
   * @returns The set.
   */
  static create (): UnreconciledWorkers {
    return new UnreconciledWorkers()
  }

  /** Whether the runs of all earlier owners are known or certainly over. */
  get isEmpty (): boolean {
    return this.expiries.size === 0
  }

  /** Adds a worker and the monotonic time from which no run of an earlier owner can exist there. */
  add (workerId: string, expiresAt: number): void {
    this.expiries.set(workerId, expiresAt)
  }

  /** Returns whether a worker is not reconciled. */
  has (workerId: string): boolean {
    return this.expiries.has(workerId)
  }

  /**
   * Removes a worker whose runs of earlier owners are known or certainly over.
   * @param workerId The worker.
   * @returns Whether the worker was unreconciled before.
   */
  markReconciled (workerId: string): boolean {
    return this.expiries.delete(workerId)
  }

  /**
   * Returns whether an unknown run of a task may exist on a worker that is not reconciled.
   * @param task The task.
   * @returns Whether starting the task now may run it twice.
   */
  mayRun (task: TaskRecord): boolean {
    if (task.earlierRuns === 'none') return false
    if (task.earlierRuns === 'any') return this.expiries.size > 0
    return task.assignedWorkerId !== null && this.expiries.has(task.assignedWorkerId)
  }

  /** Returns the monotonic time from which no run of an earlier owner can exist, by worker. */
  getExpiries (): ReadonlyMap<string, number> {
    return this.expiries
  }

  /**
   * Finds workers that did not respond to a call sent after their expiry.
   *
   * A worker that was not called may still hold completions from before the expiry, so time alone is no proof.
   * @param workers All workers.
   * @returns The identifiers of the workers.
   */
  findExpired (workers: ReadonlyMap<string, WorkerRecord>): string[] {
    const expired: string[] = []
    for (const [workerId, expiresAt] of this.expiries) {
      const callSentAt = workers.get(workerId)?.unansweredCallSentAt ?? null
      if (callSentAt !== null && callSentAt >= expiresAt) expired.push(workerId)
    }
    return expired
  }
}
