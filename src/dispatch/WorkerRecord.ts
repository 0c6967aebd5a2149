import type { AccountResources, AccountUsage } from '../accounts/index.js'
import type { RunRecord, StepRecord, TaskRecord } from '../jobs/index.js'
import { ResponseTimeEstimate, type ResponseTimeEstimateOptions } from '../shared/ResponseTimeEstimate.js'

/** Resources of a worker. */
export interface WorkerCapacity {
  /** Thousandths of a processor. */
  processorsMilli: number
  memoryMegabytes: number
  accelerators: number
}

/** The entry of a worker in the platform's list of workers. */
export interface WorkerEntry {
  workerId: string
  serviceName: string
  address: string
  dataCentre: string
  state: 'ready' | 'draining'
  /** The kind of the worker and its rack. */
  labels: string[]
  capacity: WorkerCapacity
  /** Identifies the incarnation of the worker's process; 0 when it is unknown. */
  bornAtMilliseconds: number
  /** The minimum time until a draining worker shuts down; null for no such time. */
  remainingMilliseconds: number | null
}

/**
 * Whether this owner's list of a worker's runs is current: not known yet (`unknown`), current (`synchronized`), or last
 * updated before calls to the worker failed (`unreachable`).
 */
export type WorkerSyncState = 'unknown' | 'synchronized' | 'unreachable'

/** A run without a live task, which is being stopped. */
export interface OrphanedRun {
  name: string
  attempt: number
  /** What the run counts for; null when its account is unknown, or the lease of its worker has expired. */
  usage: { account: AccountUsage, resources: AccountResources } | null
}

/** The state of one worker, as known to the shard owner. */
export interface WorkerRecord {
  entry: WorkerEntry
  /** Whether the platform's list contains the worker; false once it was removed. */
  listed: boolean
  /** Whether the store records that this worker may hold tasks, so that the next owner reconciles it. */
  registered: boolean
  /**
   * Whether a stored record may tell a successor that this worker is not reached; until that changes, its lease is not
   * renewed and it gets no new work.
   */
  isRecordedUnreached: boolean
  syncState: WorkerSyncState
  runs: Map<string, RunRecord>
  /** Runs without a live task, which are being stopped; the worker gets no new work while it lists any. */
  orphanedRuns: Map<string, OrphanedRun>
  /** The resources reserved by runs. */
  reserved: WorkerCapacity
  /** The waiting restart for which room is reserved, see `RestartReservations`; null for none. */
  reservingTask: TaskRecord | null
  /** The resources reserved for it, which may exceed the free capacity. */
  reservedForRestart: Readonly<WorkerCapacity>
  /** Thousandths of a processor that best-effort tasks request without reserving them. */
  bestEffortDemand: number
  /** The part of `bestEffortDemand` of the run that exceeds the unused processors; it takes no room from others. */
  excessDemand: number
  /** Thousandths of a processor that serving tasks reserve. */
  servingReserved: number
  /** The latest reading of the worker's clock and the monotonic time at which it was received. */
  clockReading: { workerMilliseconds: number, receivedAt: number } | null
  /** The time that orders and report calls without a wait take until their response arrives. */
  responseTime: ResponseTimeEstimate
  /** Monotonic time at which the call was sent whose response was the latest report. */
  reportedAt: number
  /** Monotonic time at which the latest report arrived whose call had timed out; -Infinity if there is none. */
  lateReportAt: number
  /**
   * Monotonic time at which the latest call was sent to which the worker did not respond; null after a report. Calls
   * that were not sent are no evidence about the worker and do not count.
   */
  unansweredCallSentAt: number | null
  /**
   * Monotonic time until which the worker may still respond to a call that has timed out and was sent before its lease
   * expired; its response may list ends of runs.
   */
  reportAwaitedUntil: number
  /** Monotonic time at which a report call last ended without a report; -Infinity if none has. */
  reportFailedAt: number
  /** Monotonic time at which the worker's process was found to have ended; responses to earlier calls are ignored. */
  exitConfirmedAt: number
  /** Monotonic times of the last two failures, the earlier one first, see `recordFailure`. */
  failureTimes: [number, number]
  /** Identifies the incarnation before the one that reported last, which the list may still name; 0 for none. */
  endedBornAtMilliseconds: number
  /** Whether the process that reported last is known to have ended, so that its clock says nothing of the next one. */
  hasProcessEnded: boolean
  /**
   * Whether the next call may reach another process than the earlier ones, so that it must carry a higher fencing
   * token: a call has failed, or a new incarnation is listed or has reported.
   */
  mayHaveRestarted: boolean
  /** How often this owner has raised its fencing token for the worker, see `raiseFencingToken`. */
  tokenRaiseCount: number
  /** Monotonic time of the last raise: the calls since then carry the higher token. */
  tokenRaisedAt: number
  /** The time on the worker's clock by which each lease of this incarnation has expired. */
  leaseDeadline: number
  /** The highest number of an applied completion. */
  appliedCompletion: number
  /** The highest number up to which the effects of completions are durable, so that they may be acknowledged. */
  durableCompletion: number
  /** The number of failed runs since the last successful one. */
  failureStreak: number
  /** Monotonic time until which the worker gets no new work. */
  quarantinedUntil: number
  /** The duration of the latest quarantine for failed runs; 0 after a successful run. */
  quarantineMilliseconds: number
  /** Increases with each change of the runs or of their figures, so that computed costs are known to be outdated. */
  changeCount: number
  /** Monotonic time of the last pace change of a run on the worker. */
  paceChangedAt: number
  /** Monotonic time of the last change of the best-effort runs or their paces. */
  bestEffortChangedAt: number
}

/** No resources. */
export const NO_CAPACITY: Readonly<WorkerCapacity> = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }

/** A round trip between regions takes 24 ms, one that opens a connection twice as long. */
const RESPONSE_TIME_LIMITS: ResponseTimeEstimateOptions = {
  initialMilliseconds: 150, shortestMilliseconds: 80, longestMilliseconds: 350
}
/** Time after the lease deadline, on the worker's clock, by which the worker has stopped all its runs. */
const EXPIRY_MARGIN_MILLISECONDS = 100
/**
 * Time after the end of a lease in which a report may arrive that its worker sent before. Calls after the first one
 * without a response open a connection within a shorter time, so only packets lost after that delay their responses.
 */
export const LATE_REPORT_LIMIT_MILLISECONDS = 2000
/** A worker that has stopped responding twice within this time gets new work only when no other one has capacity. */
const UNSTEADY_MILLISECONDS = 10_000
/** A worker whose report arrived late within this time has a slow path: its lease is renewed, and stops reach it. */
const SLOW_PATH_MILLISECONDS = 3000
/** A worker executes a call without a response up to this much later. */
export const LATE_CALL_LIMIT_MILLISECONDS = 12_000
/** The maximum share by which a worker's clock may run slow. */
const CLOCK_DRIFT_SHARE = 0.02

/**
 * Creates the record of a worker that has not been called yet.
 * @param entry The entry in the platform's list.
 * @returns The record.
 */
export function createWorkerRecord (entry: WorkerEntry): WorkerRecord {
  return {
    entry,
    listed: true,
    registered: false,
    isRecordedUnreached: false,
    syncState: 'unknown',
    runs: new Map(),
    orphanedRuns: new Map(),
    reserved: { ...NO_CAPACITY },
    reservingTask: null,
    reservedForRestart: NO_CAPACITY,
    bestEffortDemand: 0,
    excessDemand: 0,
    servingReserved: 0,
    clockReading: null,
    responseTime: ResponseTimeEstimate.create(RESPONSE_TIME_LIMITS),
    reportedAt: -Infinity,
    lateReportAt: -Infinity,
    unansweredCallSentAt: null,
    reportAwaitedUntil: -Infinity,
    reportFailedAt: -Infinity,
    exitConfirmedAt: -Infinity,
    failureTimes: [-Infinity, -Infinity],
    endedBornAtMilliseconds: 0,
    hasProcessEnded: false,
    mayHaveRestarted: false,
    tokenRaiseCount: 0,
    tokenRaisedAt: -Infinity,
    leaseDeadline: 0,
    appliedCompletion: 0,
    durableCompletion: 0,
    failureStreak: 0,
    quarantinedUntil: 0,
    quarantineMilliseconds: 0,
    changeCount: 0,
    paceChangedAt: -Infinity,
    bestEffortChangedAt: -Infinity
  }
}

/**
 * Clears the state that belongs to the earlier incarnation of a worker.
 * @param worker The worker, whose runs are left unchanged.
 */
export function clearProcessState (worker: WorkerRecord): void {
  clearOrphanedRuns(worker)
  worker.appliedCompletion = 0
  worker.durableCompletion = 0
  worker.leaseDeadline = 0
  worker.clockReading = null
  worker.syncState = 'unknown'
  worker.lateReportAt = -Infinity
  worker.failureStreak = 0
}

/**
 * Returns the capacity of a worker that neither runs nor a waiting restart reserve.
 * @param worker The worker.
 * @returns The free capacity; less than 0 where a restart waits for more than is free.
 */
export function getFreeCapacity ({ entry: { capacity }, reserved, reservedForRestart }: WorkerRecord): WorkerCapacity {
  return {
    processorsMilli: capacity.processorsMilli - reserved.processorsMilli - reservedForRestart.processorsMilli,
    memoryMegabytes: capacity.memoryMegabytes - reserved.memoryMegabytes - reservedForRestart.memoryMegabytes,
    accelerators: capacity.accelerators - reserved.accelerators - reservedForRestart.accelerators
  }
}

/**
 * Returns what all workers have together.
 * @param workers The workers.
 * @returns The sums of their capacities.
 */
export function sumCapacity (workers: Iterable<WorkerRecord>): WorkerCapacity {
  const sum = { ...NO_CAPACITY }
  for (const { entry: { capacity } } of workers) {
    sum.processorsMilli += capacity.processorsMilli
    sum.memoryMegabytes += capacity.memoryMegabytes
    sum.accelerators += capacity.accelerators
  }
  return sum
}

/**
 * Returns the key of a run in the maps of its worker.
 * @param name The name of the task.
 * @param attempt The attempt number.
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
  if (run.task.runs.length === 1) run.task.step.tasks.addBusy(run.task)
  reserve(worker, run, 1)
}

/**
 * Removes a run that is over and releases its resources.
 * @param worker The worker.
 * @param run The run.
 * @param now The monotonic time.
 * @param waitingSince The monotonic time from which the task counts as waiting; now by default.
 */
export function removeRun (worker: WorkerRecord, run: RunRecord, now: number, waitingSince = now): void {
  if (!worker.runs.delete(getRunKey(run.task.name, run.attempt))) return
  run.task.runs = run.task.runs.filter(other => other !== run)
  if (run.task.runs.length === 0) run.task.step.tasks.removeBusy(run.task)
  run.task.waitingSince = waitingSince
  if (run.task.step.specification.fills) worker.bestEffortChangedAt = now
  reserve(worker, run, -1)
}

/**
 * Adds a run without a live task that a worker lists, and counts it for its account.
 * @param worker The worker.
 * @param run The run, which is not counted yet; it may replace a record of it that is not counted.
 */
export function addOrphanedRun (worker: WorkerRecord, run: OrphanedRun): void {
  run.usage?.account.add(run.usage.resources)
  worker.orphanedRuns.set(getRunKey(run.name, run.attempt), run)
}

/**
 * Removes a run without a live task that is over.
 * @param worker The worker.
 * @param key The key of the run.
 */
export function removeOrphanedRun (worker: WorkerRecord, key: string): void {
  const run = worker.orphanedRuns.get(key)
  if (run !== undefined) releaseOrphanedRun(run)
  worker.orphanedRuns.delete(key)
}

/**
 * Removes all runs without a live task, which are over.
 * @param worker The worker.
 */
export function clearOrphanedRuns (worker: WorkerRecord): void {
  releaseOrphanedRuns(worker)
  worker.orphanedRuns.clear()
}

/**
 * Counts the runs without a live task no longer, because the lease of their worker has expired.
 * @param worker The worker, which gets no new work until it reports.
 */
export function releaseOrphanedRuns (worker: WorkerRecord): void {
  for (const run of worker.orphanedRuns.values()) releaseOrphanedRun(run)
}

function releaseOrphanedRun (run: OrphanedRun): void {
  run.usage?.account.remove(run.usage.resources)
  run.usage = null
}

/**
 * Returns whether the worker of a run may have received its start order.
 * @param run The run.
 * @returns Whether the order was sent by this owner or an earlier one.
 */
export function isSent (run: RunRecord): boolean {
  return run.sentAt > -Infinity || run.startUncertain || run.confirmedAt !== null
}

/**
 * Records a reading of a worker's clock, unless an earlier one gives a later time: a report may have been delayed.
 * @param worker The worker.
 * @param workerMilliseconds The reading.
 * @param receivedAt Monotonic time at which it was received.
 */
export function updateClockReading (worker: WorkerRecord, workerMilliseconds: number, receivedAt: number): void {
  const earliestTime = getEarliestWorkerTime(worker, receivedAt)
  if (earliestTime !== null && earliestTime > workerMilliseconds) return
  worker.clockReading = { workerMilliseconds, receivedAt }
}

/**
 * Returns a lower bound of the current time on a worker's clock.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns The time on the worker's clock, or null without a reading.
 */
export function getEarliestWorkerTime (worker: WorkerRecord, now: number): number | null {
  const reading = worker.clockReading
  if (reading === null) return null
  return reading.workerMilliseconds + (now - reading.receivedAt) * (1 - CLOCK_DRIFT_SHARE)
}

/**
 * Returns whether the lease of a worker has expired and the worker did not respond to a call sent after that.
 *
 * A worker may hold completions from before the expiry. An owner that could not call it has not received them, so the
 * passage of time alone does not show that its runs were lost.
 * @param worker The worker.
 * @returns Whether its runs are considered over.
 */
export function isLeaseExpired (worker: WorkerRecord): boolean {
  if (worker.unansweredCallSentAt === null) return false
  const workerTime = getEarliestWorkerTime(worker, worker.unansweredCallSentAt)
  return workerTime !== null && workerTime > worker.leaseDeadline + EXPIRY_MARGIN_MILLISECONDS
}

/**
 * Returns whether a run on a worker with an expired lease counts as over, see `isLeaseExpired`. The end of a short run
 * may be in a report that is still awaited, if the worker sent it before its lease expired; a long-running task
 * restarts however its run has ended.
 * @param run A run of the worker.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns Whether the task of the run may start again.
 */
export function isOverWithLease (run: RunRecord, worker: WorkerRecord, now: number): boolean {
  if (now >= worker.reportAwaitedUntil || run.task.step.specification.longRunning) return true
  const workerTime = getEarliestWorkerTime(worker, now)
  return workerTime !== null && workerTime > worker.leaseDeadline + LATE_REPORT_LIMIT_MILLISECONDS
}

/**
 * Returns the time until all leases that this owner has granted to a worker have expired.
 * @param worker The worker, which has reported to this owner, or holds no run of any owner.
 * @param now The monotonic time.
 * @returns Milliseconds of the owner's clock, 0 when the leases have expired.
 */
export function getRemainingLease (worker: WorkerRecord, now: number): number {
  const workerTime = getEarliestWorkerTime(worker, now)
  if (workerTime === null) return 0
  return Math.max(0, worker.leaseDeadline + EXPIRY_MARGIN_MILLISECONDS - workerTime) / (1 - CLOCK_DRIFT_SHARE)
}

/**
 * Records that a worker has stopped responding to its lease renewals, or that a start got no response or no connection.
 * @param worker The worker.
 * @param at Monotonic time of the failure.
 */
export function recordFailure (worker: WorkerRecord, at: number): void {
  worker.failureTimes = [worker.failureTimes[1], at]
}

/**
 * Returns whether calls to a worker have failed repeatedly of late although it responds now, as over a connection that
 * loses packets. A start there may get no response, and its task then waits for the end of the worker's lease.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns Whether another worker is a better choice.
 */
export function isUnsteady (worker: WorkerRecord, now: number): boolean {
  return now - worker.failureTimes[0] < UNSTEADY_MILLISECONDS
}

/**
 * Returns whether a call to a worker that had responded has failed of late.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns Whether further calls are likely to fail.
 */
export function hasFailedRecently (worker: WorkerRecord, now: number): boolean {
  return now - worker.failureTimes[1] < UNSTEADY_MILLISECONDS
}

/**
 * Returns whether calls reach a worker: it responds, or its responses have arrived late until recently.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns Whether stops and renewals are likely to arrive; false before the first report.
 */
export function isReached (worker: WorkerRecord, now: number): boolean {
  return worker.syncState === 'synchronized' || hasSlowPath(worker, now)
}

/**
 * Returns whether responses of a worker have arrived late until recently.
 * @param worker The worker.
 * @param now The monotonic time.
 * @returns Whether further responses are likely to arrive late rather than to be lost.
 */
export function hasSlowPath (worker: WorkerRecord, now: number): boolean {
  return now - worker.lateReportAt < SLOW_PATH_MILLISECONDS
}

/**
 * Pauses new work for a worker.
 * @param worker The worker.
 * @param until Monotonic time at which the pause ends; a later end that is already set remains.
 */
export function pauseWorker (worker: WorkerRecord, until: number): void {
  worker.quarantinedUntil = Math.max(worker.quarantinedUntil, until)
}

/**
 * Counts the runs of a step on a worker.
 * @param worker The worker.
 * @param step The step.
 * @returns The number of its runs there that are not over.
 */
export function countRunsOfStep (worker: WorkerRecord, step: StepRecord): number {
  let count = 0
  for (const run of worker.runs.values()) if (run.task.step === step) count++
  return count
}

/**
 * Returns whether a task is a serving task: it serves requests of users and has a tail-latency target.
 * @param task The task.
 * @returns Whether it is a serving task.
 */
export function isServing (task: TaskRecord): boolean {
  return task.step.specification.targetMilliseconds > 0
}

function reserve (worker: WorkerRecord, run: RunRecord, sign: 1 | -1): void {
  const { specification, occurrence: { job: { account } } } = run.task.step
  if (sign === 1) account?.add(specification, run)
  else account?.remove(specification, run)
  worker.changeCount++
  worker.reserved.memoryMegabytes += sign * specification.memoryMegabytes
  worker.reserved.accelerators += sign * specification.accelerators
  if (specification.fills) {
    worker.bestEffortDemand += sign * specification.processorsMilli
    if (run.exceedsUnusedProcessors) worker.excessDemand += sign * specification.processorsMilli
  } else {
    worker.reserved.processorsMilli += sign * specification.processorsMilli
    if (specification.targetMilliseconds > 0) worker.servingReserved += sign * specification.processorsMilli
  }
}
