import type { WorkerRecord } from './WorkerRecord.js'

/** Workers that may run tasks of earlier owners and have not answered this one. */
export class UnreconciledWorkers {
  /** The monotonic time of certain expiry of all that earlier owners started, by worker. */
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

  /** Adds a worker with the time from which nothing of an earlier owner can run there. */
  add (workerId: string, expiresAt: number): void {
    this.expiries.set(workerId, expiresAt)
  }

  has (workerId: string): boolean {
    return this.expiries.has(workerId)
  }

  /**
   * Notes that a worker answered or is gone.
   * @returns Whether it was not resolved before.
   */
  markReconciled (workerId: string): boolean {
    return this.expiries.delete(workerId)
  }

  /**
   * Resolves workers that gave no answer to a call of after their expiry.
   *
   * Ends of before the expiry are in the lists of a worker that was not asked yet, so time alone resolves none.
   * @param workers All workers.
   * @returns Whether one was resolved.
   */
  expire (workers: ReadonlyMap<string, WorkerRecord>): boolean {
    let changed = false
    for (const [workerId, expiresAt] of this.expiries) {
      const callSentAt = workers.get(workerId)?.unansweredCallSentAt ?? null
      if (callSentAt !== null && callSentAt >= expiresAt) changed = this.expiries.delete(workerId) || changed
    }
    return changed
  }
}
