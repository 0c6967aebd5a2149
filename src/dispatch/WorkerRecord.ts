import type { RunRecord, StepRecord, TaskRecord } from '../jobs/index.js'

/** What a worker offers to tasks. */
export interface WorkerCapacity {
  /** Thousandths of a processor. */
  processorsMilli: number
  memoryMegabytes: number
  accelerators: number
}

/** A worker as the platform's list shows it. */
export interface WorkerEntry {
  workerId: string
  serviceName: string
  address: string
  dataCentre: string
  state: 'ready' | 'draining'
  /** The kind of the worker and its rack. */
  labels: string[]
  capacity: WorkerCapacity
  /** Identifies the life of the worker's process; 0 when it is not told. */
  bornAtMilliseconds: number
  /** The least time that a draining worker stays, or null. */
  remainingMilliseconds: number | null
}

/**
 * What this owner knows of a worker's runs: nothing yet (`unknown`), all of them (`synchronized`), or what it knew
 * before calls began to fail (`unreachable`).
 */
export type WorkerSyncState = 'unknown' | 'synchronized' | 'unreachable'

/** One worker as the owner sees it. */
export interface WorkerRecord {
  entry: WorkerEntry
  /** Whether the platform's list still names the worker. */
  listed: boolean
  /** Whether the store knows that this worker may hold tasks, so that a successor asks it. */
  registered: boolean
  syncState: WorkerSyncState
  runs: Map<string, RunRecord>
  /** Runs that belong to no live job, being stopped; the worker gets no work until they are gone. */
  orphanedRuns: Map<string, { name: string, attempt: number }>
  reserved: WorkerCapacity
  /** Processors wanted by tasks that fill, in thousandths. */
  bestEffortDemand: number
  /** Processors reserved by serving tasks, in thousandths. */
  servingReserved: number
  /** The newest reading of the worker's clock and the monotonic time at which it arrived. */
  clockReading: { workerMilliseconds: number, receivedAt: number } | null
  /** Monotonic time at which the last call that was answered with a report was sent. */
  reportedAt: number
  /**
   * Monotonic time at which the newest call was sent that the worker left without an answer, or null since a report.
   * Calls that were not sent tell nothing of the worker.
   */
  unansweredCallSentAt: number | null
  /** The latest lease deadline ever sent, on the worker's clock. */
  leaseDeadline: number
  /** The highest number of an end that was applied, and the highest that may be acknowledged. */
  appliedCompletion: number
  durableCompletion: number
  /** Failed runs of different tasks since the last success. */
  failureStreak: number
  quarantinedUntil: number
  quarantineMilliseconds: number
  /** Monotonic time of the last change of a pace here. */
  paceChangedAt: number
  /** Monotonic time of the last change of what fills here. */
  bestEffortChangedAt: number
}

/** A worker whose lease ended this long ago on its own clock runs nothing any more. */
const EXPIRY_MARGIN_MILLISECONDS = 100
/** Leases are measured on clocks that may be this share slow. */
const CLOCK_DRIFT_SHARE = 0.02

/**
 * Creates the record of a worker that has not been asked yet.
 * @param entry The worker.
 * @returns The record.
 */
export function createWorkerRecord (entry: WorkerEntry): WorkerRecord {
  return {
    entry,
    listed: true,
    registered: false,
    syncState: 'unknown',
    runs: new Map(),
    orphanedRuns: new Map(),
    reserved: { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 },
    bestEffortDemand: 0,
    servingReserved: 0,
    clockReading: null,
    reportedAt: -Infinity,
    unansweredCallSentAt: null,
    leaseDeadline: 0,
    appliedCompletion: 0,
    durableCompletion: 0,
    failureStreak: 0,
    quarantinedUntil: 0,
    quarantineMilliseconds: 0,
    paceChangedAt: -Infinity,
    bestEffortChangedAt: -Infinity
  }
}

/**
 * Clears what was known of the worker's process, because another one has taken its place.
 * @param worker The worker; its runs stay.
 */
export function clearProcessState (worker: WorkerRecord): void {
  worker.orphanedRuns.clear()
  worker.appliedCompletion = 0
  worker.durableCompletion = 0
  worker.leaseDeadline = 0
  worker.clockReading = null
  worker.syncState = 'unknown'
  worker.failureStreak = 0
}

/**
 * Returns the key of a run among the runs of its worker.
 * @param name The name of the task.
 * @param attempt The number of the start.
 * @returns The key.
 */
export function getRunKey (name: string, attempt: number): string {
  return `${name}#${attempt}`
}

/**
 * Adds a run to its task and worker and reserves its resources.
 * @param worker The worker.
 * @param run The run.
 */
export function addRun (worker: WorkerRecord, run: RunRecord): void {
  worker.runs.set(getRunKey(run.task.name, run.attempt), run)
  run.task.runs.push(run)
  reserve(worker, run.task.step, 1)
}

/**
 * Removes a run that is over and frees its resources.
 * @param worker The worker.
 * @param run The run.
 * @param now The monotonic time, from which the task waits.
 */
export function removeRun (worker: WorkerRecord, run: RunRecord, now: number): void {
  if (!worker.runs.delete(getRunKey(run.task.name, run.attempt))) return
  run.task.runs = run.task.runs.filter(other => other !== run)
  run.task.waitingSince = now
  if (run.task.step.specification.fills) worker.bestEffortChangedAt = now
  reserve(worker, run.task.step, -1)
}

/**
 * Tells whether the start order of a run may have reached its worker.
 * @param run The run.
 * @returns Whether it was sent, by this owner or an earlier one.
 */
export function isSent (run: RunRecord): boolean {
  return run.sentAt > -Infinity || run.startUncertain || run.confirmedAt !== null
}

/**
 * Returns the least value that the worker's clock can show.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns The time on the worker's clock, or null when no reading is known.
 */
export function getEarliestWorkerTime (worker: WorkerRecord, now: number): number | null {
  const reading = worker.clockReading
  if (reading === null) return null
  return reading.workerMilliseconds + (now - reading.receivedAt) * (1 - CLOCK_DRIFT_SHARE)
}

/**
 * Tells whether all leases of a worker are over and the worker was asked since, in vain.
 *
 * A list that was sent but not read may name ends of before the lease was over. A process that could not ask knows
 * nothing of them, however long that lasts, so time alone is no evidence.
 * @param worker The worker.
 * @returns Whether its runs count as over.
 */
export function isLeaseExpired (worker: WorkerRecord): boolean {
  if (worker.unansweredCallSentAt === null) return false
  const workerTime = getEarliestWorkerTime(worker, worker.unansweredCallSentAt)
  return workerTime !== null && workerTime > worker.leaseDeadline + EXPIRY_MARGIN_MILLISECONDS
}

/**
 * Keeps new work off a worker for a while.
 * @param worker The worker.
 * @param until Monotonic time until which it gets none; a longer pause that is in force stays.
 */
export function pauseWorker (worker: WorkerRecord, until: number): void {
  worker.quarantinedUntil = Math.max(worker.quarantinedUntil, until)
}

/**
 * Counts the runs of a step on a worker.
 * @param worker The worker.
 * @param step The step.
 * @returns The number of runs that are not over.
 */
export function countRunsOfStep (worker: WorkerRecord, step: StepRecord): number {
  let count = 0
  for (const run of worker.runs.values()) if (run.task.step === step) count++
  return count
}

/**
 * Tells whether a task serves its own users, so that its tail latency must be kept.
 * @param task The task.
 * @returns Whether it serves.
 */
export function isServing (task: TaskRecord): boolean {
  return task.step.specification.targetMilliseconds > 0
}

function reserve (worker: WorkerRecord, step: StepRecord, sign: 1 | -1): void {
  const { specification } = step
  worker.reserved.memoryMegabytes += sign * specification.memoryMegabytes
  worker.reserved.accelerators += sign * specification.accelerators
  if (specification.fills) {
    worker.bestEffortDemand += sign * specification.processorsMilli
  } else {
    worker.reserved.processorsMilli += sign * specification.processorsMilli
    if (specification.targetMilliseconds > 0) worker.servingReserved += sign * specification.processorsMilli
  }
}
