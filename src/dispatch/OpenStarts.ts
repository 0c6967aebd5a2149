import type { RunRecord, TaskRecord } from '../jobs/index.js'
import { listsAllEnds } from './listsAllEnds.js'
import type { WorkerReport } from './WorkerProtocol.js'
import { LATE_CALL_LIMIT_MILLISECONDS, type WorkerRecord } from './WorkerRecord.js'

/** A call without a response has arrived at its worker, or never does, this long after it was sent. */
const ARRIVAL_LIMIT_MILLISECONDS = 500
/** By so much longer may the lease last that a worker with a slow clock grants. */
const LEASE_MARGIN_MILLISECONDS = 300

/** A start without a response whose run no report has listed. */
interface OpenStart {
  run: RunRecord
  /** Monotonic time from which no process of the worker executes the start any more. */
  closesAt: number
}

/**
 * The starts without a response of tasks that must not run twice, whose runs their owner has given up.
 *
 * Answers calls that are executed late: the process to which a start was sent may reject it by then, but the next one
 * with the same ID knows neither the fencing token nor the stop, and its clock starts anew. Until the start can no
 * longer be executed, its task runs nowhere else. A start is held only while workers execute orders late, which one
 * shows by reports that arrive although the start of a task has no response: the path of others has lost theirs.
 */
export class OpenStarts {
  private readonly startsByTask = new Map<TaskRecord, OpenStart[]>()
  /** Monotonic time until which workers count as executing orders late. */
  private lateOrdersUntil = -Infinity

  private constructor (private readonly leaseMilliseconds: number) {}

  /**
   * Creates an empty set.
   * @param leaseMilliseconds The longest lease that workers grant.
   * @returns The set.
   */
  static create (leaseMilliseconds: number): OpenStarts {
    return new OpenStarts(leaseMilliseconds)
  }

  /** The number of tasks with such a start. */
  get taskCount (): number {
    return this.startsByTask.size
  }

  /** Returns whether a later process of a worker may execute a start of a task. */
  has (task: TaskRecord): boolean {
    return this.startsByTask.has(task)
  }

  /**
   * Adds the start of a run that is given up, if a later process of its worker may execute it.
   * @param run The run, whose start may have got a response.
   * @param worker Its worker.
   * @param now The monotonic time.
   */
  add (run: RunRecord, worker: WorkerRecord, now: number): void {
    if (!isSentOnce(run.task) || !hasOpenSend(run)) return
    const closesAt = run.sentAt + LATE_CALL_LIMIT_MILLISECONDS + ARRIVAL_LIMIT_MILLISECONDS
    // A path that has failed since has probably lost the start or its response.
    const isPathSound = worker.reportFailedAt < run.sentAt
    if (run.isUnanswered && isPathSound) this.lateOrdersUntil = Math.max(this.lateOrdersUntil, closesAt)
    if (!this.expectsLateOrders(now)) return
    // A worker that did not respond may not respond to the next start either.
    run.task.failedWorkerIds.add(run.workerId)
    this.startsByTask.set(run.task, [...this.startsByTask.get(run.task) ?? [], { run, closesAt }])
  }

  /**
   * Returns whether workers execute orders late at present.
   * @param now The monotonic time.
   * @returns Whether a worker that reports has left a start unanswered that it may still execute.
   */
  expectsLateOrders (now: number): boolean {
    return now < this.lateOrdersUntil
  }

  /**
   * Removes the starts that a report settles: a process has executed them, or none will.
   * @param worker The worker.
   * @param report The report.
   * @param sentAt Monotonic time at which the call was sent.
   */
  applyReport ({ entry: { workerId } }: WorkerRecord, report: WorkerReport, sentAt: number): void {
    if (this.startsByTask.size === 0) return
    const isWhole = listsAllEnds(report)
    const isListed = ({ task, attempt }: RunRecord): boolean => [...report.running, ...report.ended]
      .some(row => row.taskName === task.name && row.attempt === attempt)
    this.removeWhere(({ run, closesAt }) =>
      run.workerId === workerId && ((isWhole && sentAt >= closesAt) || isListed(run)))
  }

  /**
   * Removes the starts whose run on an unreachable worker would be over with its lease, and those of ended jobs.
   * @param now The monotonic time.
   */
  expire (now: number): void {
    if (this.startsByTask.size === 0) return
    const longest = this.leaseMilliseconds + LEASE_MARGIN_MILLISECONDS
    this.removeWhere(({ run: { task }, closesAt }) =>
      now >= closesAt + longest || task.done || task.step.occurrence.job.finalState !== null)
  }

  /**
   * Returns when a report of a worker settles the first of its starts.
   * @param worker The worker.
   * @returns The earliest monotonic time at which a call for such a report is sent; Infinity for none.
   */
  getSettlementAt ({ entry: { workerId } }: WorkerRecord): number {
    let settlementAt = Infinity
    for (const starts of this.startsByTask.values()) {
      for (const { run, closesAt } of starts) {
        if (run.workerId === workerId) settlementAt = Math.min(settlementAt, closesAt)
      }
    }
    return settlementAt
  }

  private removeWhere (isSettled: (start: OpenStart) => boolean): void {
    for (const [task, starts] of this.startsByTask) {
      const open = starts.filter(start => !isSettled(start))
      if (open.length > 0) this.startsByTask.set(task, open)
      else this.startsByTask.delete(task)
    }
  }
}

/**
 * Returns whether a send of the start of a run has had no effect that this owner knows of, so that a process of its
 * worker may still execute it.
 * @param run The run.
 * @returns False if each send has got a response, or if the only one has begun the run that a report has listed.
 */
export function hasOpenSend ({ task, openSendCount, isListed }: RunRecord): boolean {
  return openSendCount > 0 && !(isListed && isSentOnce(task))
}

/**
 * Returns whether the start of a task is sent once only, so that a report that lists the run leaves no further send
 * that a later process could execute. A long-running task ends with its process, and copies of a speculative one may
 * run at the same time.
 * @param task The task.
 * @returns Whether a second run of the task after its end, or beside it, would be wrong.
 */
export function isSentOnce ({ step: { specification: { longRunning, speculative } } }: TaskRecord): boolean {
  return !longRunning && !speculative
}
