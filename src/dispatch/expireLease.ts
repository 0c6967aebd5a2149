import type { RunRecord } from '../jobs/index.js'
import { isLeaseExpired, isOverWithLease, releaseOrphanedRuns, type WorkerRecord } from './WorkerRecord.js'

/**
 * Applies the end of the lease of a worker that does not respond, if it has expired.
 * @param worker The worker, whose runs without a job no longer count.
 * @param now The monotonic time.
 * @returns The runs that are over with the lease.
 */
export function expireLease (worker: WorkerRecord, now: number): RunRecord[] {
  if (!isLeaseExpired(worker)) return []
  if (worker.orphanedRuns.size > 0) releaseOrphanedRuns(worker)
  return [...worker.runs.values()].filter(run => isOverWithLease(run, worker, now))
}
