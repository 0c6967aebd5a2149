import { getRemainingLease, isReached, type WorkerRecord } from './WorkerRecord.js'

/** The stored milliseconds until all leases have expired, by worker that the owner does not reach. */
export type UnreachedRecord = Record<string, number>

/** Shorter failures are not recorded: each record costs a write, and a second one when the worker responds again. */
const SHORTEST_FAILURE_MILLISECONDS = 1000
/** A successor waits for at most this much longer than necessary, plus the time without an owner. */
const RECORD_INTERVAL_MILLISECONDS = 1000
/** A transaction holds this many, a fifth of a site of 5,400; a successor waits longer for any others. */
const RECORDED_WORKER_LIMIT = 1000

/**
 * The workers that the owner does not reach, as stored for a successor, so that it need not wait for full leases.
 *
 * The lease of a recorded worker must not be renewed, by any owner, until a record without the worker is stored.
 */
export class UnreachedWorkers {
  /** The workers that a stored record may name. */
  private recorded = new Set<string>()
  private recordedAt = -Infinity

  private constructor (private readonly workers: ReadonlyMap<string, WorkerRecord>) {}

  /**
   * Creates the state of an owner without a stored record.
   * @param options The workers of the owner, which may change.
   * @returns The state.
   */
  static create (options: { workers: ReadonlyMap<string, WorkerRecord> }): UnreachedWorkers {
    return new UnreachedWorkers(options.workers)
  }

  /** Adds the workers of a record that an earlier owner stored. */
  restore (record: UnreachedRecord): void {
    this.addRecorded(record)
  }

  /** Returns whether a stored record may name a worker. */
  isRecorded (workerId: string): boolean {
    return this.recorded.has(workerId)
  }

  /**
   * Returns whether a new record must be stored: because a recorded worker responds or has been removed, or because the
   * remaining times have changed.
   * @param unreconciled Monotonic time from which no run of an earlier owner can exist, by worker.
   * @param now The monotonic time.
   * @returns Whether a new record must be stored now.
   */
  needsRecord (unreconciled: ReadonlyMap<string, number>, now: number): boolean {
    for (const workerId of this.recorded) {
      const worker = this.workers.get(workerId)
      if (worker === undefined || isReached(worker, now)) return true
    }
    if (now - this.recordedAt < RECORD_INTERVAL_MILLISECONDS) return false
    return Object.entries(this.getRemaining(unreconciled, now))
      .some(([workerId, remaining]) => remaining > 0 || !this.recorded.has(workerId))
  }

  /**
   * Creates the record to be stored; its workers count as recorded from now on.
   * @param unreconciled Monotonic time from which no run of an earlier owner can exist, by worker.
   * @param now The monotonic time.
   * @returns The record.
   */
  createRecord (unreconciled: ReadonlyMap<string, number>, now: number): UnreachedRecord {
    const record = this.getRemaining(unreconciled, now)
    this.recordedAt = now
    this.addRecorded(record)
    return record
  }

  /** Records that a record is durable and that no earlier one can replace it. */
  confirmDurable (record: UnreachedRecord): void {
    this.recorded = new Set(Object.keys(record))
    for (const [workerId, worker] of this.workers) worker.isRecordedUnreached = this.recorded.has(workerId)
  }

  private addRecorded (record: UnreachedRecord): void {
    for (const workerId of Object.keys(record)) {
      this.recorded.add(workerId)
      const worker = this.workers.get(workerId)
      if (worker !== undefined) worker.isRecordedUnreached = true
    }
  }

  private getRemaining (unreconciled: ReadonlyMap<string, number>, now: number): UnreachedRecord {
    // Without a prototype, because a worker may have any name.
    const remaining: UnreachedRecord = Object.create(null)
    let count = 0
    for (const [workerId, worker] of this.workers) {
      const isUnreached = !isReached(worker, now) && worker.unansweredCallSentAt !== null &&
        now - worker.reportedAt >= SHORTEST_FAILURE_MILLISECONDS
      if (!isUnreached) continue
      const expiresAt = unreconciled.get(workerId)
      const milliseconds = expiresAt === undefined ? getRemainingLease(worker, now) : Math.max(0, expiresAt - now)
      remaining[workerId] = Math.ceil(milliseconds)
      if (++count === RECORDED_WORKER_LIMIT) break
    }
    return remaining
  }
}
