import type { TaskRecord } from '../jobs/index.js'
import type { ReconciliationCause } from './DispatchObserver.js'
import { listsAllEnds } from './listsAllEnds.js'
import type { WorkerReport } from './WorkerProtocol.js'
import { isLeaseExpired, LATE_REPORT_LIMIT_MILLISECONDS, type WorkerRecord } from './WorkerRecord.js'

/** Options of the set. */
export interface UnreconciledWorkersOptions {
  /** All workers of the owner, which may change. */
  workers: ReadonlyMap<string, WorkerRecord>
  /** Called when the runs of earlier owners on a worker are known or certainly over. */
  onReconciled (worker: WorkerRecord, cause: ReconciliationCause): void
}

/** Workers that may hold runs of earlier owners, or ends of these, that they have not listed to this owner. */
export class UnreconciledWorkers {
  /** Monotonic time from which no run of an earlier owner can exist, by worker. */
  private readonly expiries = new Map<string, number>()

  private constructor (private readonly options: UnreconciledWorkersOptions) {}

  /**
   * Creates an empty set.
   * @param options The workers and the callback.
   * @returns The set.
   */
  static create (options: UnreconciledWorkersOptions): UnreconciledWorkers {
    return new UnreconciledWorkers(options)
  }

  /** Whether the runs of all earlier owners are known or certainly over. */
  get isEmpty (): boolean {
    return this.expiries.size === 0
  }

  /**
   * Adds a worker that may run tasks of an earlier owner; these tasks do not start until it is reconciled.
   * @param workerId The worker.
   * @param expiresAt Monotonic time from which no run of an earlier owner can exist there.
   */
  add (workerId: string, expiresAt: number): void {
    this.expiries.set(workerId, expiresAt)
  }

  /**
   * Handles that the leases of all earlier owners end by a time.
   * @param expiresAt Monotonic time from which no run of an earlier owner can exist; a later one is replaced by it.
   */
  limitExpiries (expiresAt: number): void {
    for (const [workerId, earlierExpiry] of this.expiries) {
      this.expiries.set(workerId, Math.min(earlierExpiry, expiresAt))
    }
  }

  /** Returns whether a worker is not reconciled. */
  has (workerId: string): boolean {
    return this.expiries.has(workerId)
  }

  /**
   * Removes a worker whose report lists all its ends, so that its runs of earlier owners are known.
   * @param worker The worker.
   * @param report The report, whose runs and ends are applied.
   */
  applyReport (worker: WorkerRecord, report: WorkerReport): void {
    if (listsAllEnds(report)) this.markReconciled(worker, 'reported')
  }

  /**
   * Removes a worker whose runs of earlier owners are known or certainly over.
   * @param worker The worker.
   * @param cause How this became certain.
   */
  markReconciled (worker: WorkerRecord, cause: ReconciliationCause): void {
    if (this.expiries.delete(worker.entry.workerId)) this.options.onReconciled(worker, cause)
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
   * Removes workers that did not respond to a call sent after their expiry.
   *
   * A worker that was not called may still hold completions from before the expiry, so time alone removes no worker.
   * One that has reported only some of its completions may have got a later lease from this owner.
   * @param now The monotonic time.
   */
  expire (now: number): void {
    for (const [workerId, expiresAt] of this.expiries) {
      const worker = this.options.workers.get(workerId)
      const callSentAt = worker?.unansweredCallSentAt ?? null
      if (worker === undefined) continue
      if (now < Math.min(worker.reportAwaitedUntil, expiresAt + LATE_REPORT_LIMIT_MILLISECONDS)) continue
      if (worker.clockReading !== null && !isLeaseExpired(worker)) continue
      if (callSentAt !== null && callSentAt >= expiresAt) {
        this.markReconciled(worker, 'lease-expired')
      }
    }
  }
}
