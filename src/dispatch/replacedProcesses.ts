import type { RunRecord } from '../jobs/index.js'
import { getEarliestWorkerTime, LATE_CALL_LIMIT_MILLISECONDS, type WorkerEntry, type WorkerRecord } from './WorkerRecord.js'

/** The reading of a clock that has started anew is at least this much lower, if its process replaces an older one. */
const CLOCK_RESTART_MARGIN_MILLISECONDS = 1000

/** The report of a worker, and the call that it responds to. */
export interface ReportedCall {
  /** The reading of the worker's clock in the report. */
  workerMilliseconds: number
  /** Monotonic time at which the call was sent. */
  sentAt: number
  /** Whether the report is the first one of its incarnation to this owner. */
  isFirst: boolean
  /** The longest time that a lease granted before the call lasts. */
  earlierLeaseMilliseconds: number
}

/**
 * Returns whether a worker is listed with a later incarnation than the one that reported last.
 * @param worker The worker.
 * @param listed The entry in the platform's list.
 * @returns Whether the process that reported has ended; false before the first report to this owner.
 */
export function isListedAnew (worker: WorkerRecord, listed: WorkerEntry): boolean {
  const { entry, reportedAt, endedBornAtMilliseconds } = worker
  if (reportedAt === -Infinity) return false
  // The clock of a machine may be set back, so that the ended incarnation has the later time.
  return listed.bornAtMilliseconds > entry.bornAtMilliseconds && listed.bornAtMilliseconds !== endedBornAtMilliseconds
}

/**
 * Returns whether another process than the one that reported last has accepted a start: its clock has started anew, so
 * that its reading is from before the start was decided. Any of the sends of the start may have the response.
 * @param worker The worker.
 * @param run The run.
 * @param workerMilliseconds The reading in the response, null when it has none.
 * @returns Whether the process that reported has ended.
 */
export function isAcceptedByAnother (worker: WorkerRecord, run: RunRecord, workerMilliseconds: number | null): boolean {
  const earliestTime = getEarliestWorkerTime(worker, run.startedAt)
  return workerMilliseconds !== null && earliestTime !== null &&
    workerMilliseconds + CLOCK_RESTART_MARGIN_MILLISECONDS < earliestTime
}

/**
 * Records that the process of a worker that reported last has ended.
 * @param worker The worker.
 */
export function markProcessEnded (worker: WorkerRecord): void {
  worker.mayHaveRestarted = true
  worker.hasProcessEnded = true
}

/**
 * Records the clock of a process that has accepted a start before its first report. Until a call carries a higher
 * token, calls to an earlier process may renew its lease.
 * @param worker The worker.
 * @param workerMilliseconds The reading of the clock.
 * @param receivedAt Monotonic time at which it was received.
 * @param leaseMilliseconds The longest lease that workers grant.
 */
export function startClockAnew (
  worker: WorkerRecord, workerMilliseconds: number, receivedAt: number, leaseMilliseconds: number
): void {
  worker.clockReading = { workerMilliseconds, receivedAt }
  worker.leaseDeadline = workerMilliseconds + leaseMilliseconds + LATE_CALL_LIMIT_MILLISECONDS
}

/**
 * Updates what a report shows of calls of earlier owners, or to earlier incarnations: the worker executes none of them
 * after one with a higher token. Before that, each may start a run, or renew the lease for the longest time.
 * @param worker The worker, which is synchronized afterwards unless it is a new incarnation without such a call.
 * @param call The report and its call.
 */
export function updateFence (worker: WorkerRecord, call: ReportedCall): void {
  const isNew = worker.syncState === 'unknown'
  const isFenced = !isNew || (!worker.mayHaveRestarted && call.sentAt >= worker.tokenRaisedAt)
  if (call.isFirst || (isNew && isFenced)) {
    const latenessMilliseconds = isFenced ? 0 : LATE_CALL_LIMIT_MILLISECONDS
    worker.leaseDeadline = call.workerMilliseconds + call.earlierLeaseMilliseconds + latenessMilliseconds
  }
  if (isFenced) worker.syncState = 'synchronized'
}
