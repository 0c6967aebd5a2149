import {
  findWaitingLongRunningTasks, getRemainingLease, isSent, type DispatchEngine, type WaitingReason, type WorkerRecord
} from '../dispatch/index.js'
import type { RunRecord } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'

/** Options of a monitor. */
export interface RecoveryMonitorOptions {
  engine: DispatchEngine
  clock: Clock
  logger: Logger
}

/** Interval of the checks, each of which looks at all long-running tasks. */
const CHECK_MILLISECONDS = 1000
/** Interval between log lines about the same unreconciled workers. */
const REPEAT_MILLISECONDS = 5000
/** A long-running task should run again within 6 s; half of that time leaves time to act on the log line. */
const WAIT_THRESHOLD_MILLISECONDS = 3000
/** The most workers named in one log line, and the most tasks reported in one check. */
const NAMED_LIMIT = 10

/**
 * Logs which workers delay tasks of earlier owners after a takeover, which long-running tasks wait, and why, and which
 * tasks have a run whose state the owner does not know. `WaitMonitor` explains the waits of other tasks.
 */
export class RecoveryMonitor {
  private nextCheckAt = -Infinity
  private nextWorkersLineAt = -Infinity
  private waitingForWorkersSince: number | null = null
  /** The reason that was logged last, by task name; tasks that no longer wait are removed. */
  private reportedReasons = new Map<string, WaitingReason>()
  /** Monotonic time since when a run is starting or stopping; null once it is logged. */
  private unsettledSince = new Map<RunRecord, number | null>()

  private constructor (private readonly options: RecoveryMonitorOptions) {}

  /**
   * Creates a monitor that has reported nothing.
   * @param options The engine, the clock and the logger.
   * @returns The monitor.
   */
  static create (options: RecoveryMonitorOptions): RecoveryMonitor {
    return new RecoveryMonitor(options)
  }

  /** Checks the engine unless the last check was a moment ago; called at short intervals. */
  check (): void {
    const now = this.options.clock.monotonicMilliseconds()
    if (now < this.nextCheckAt) return
    this.nextCheckAt = now + CHECK_MILLISECONDS
    this.reportWorkers(now)
    this.reportTasks(now)
    this.reportUnsettledRuns(now)
  }

  private reportWorkers (now: number): void {
    const { engine, logger } = this.options
    const expiries = engine.unreconciled.getExpiries()
    if (expiries.size === 0) {
      if (this.waitingForWorkersSince === null) return
      logger.info('all workers reconciled', { afterMilliseconds: Math.round(now - this.waitingForWorkersSince) })
      this.waitingForWorkersSince = null
      return
    }
    this.waitingForWorkersSince ??= now
    if (now < this.nextWorkersLineAt) return
    this.nextWorkersLineAt = now + REPEAT_MILLISECONDS
    logger.info('waiting for workers of earlier owners', {
      workerCount: expiries.size,
      workers: [...expiries.keys()].slice(0, NAMED_LIMIT),
      leasesEndInMilliseconds: Math.round(Math.max(...expiries.values()) - now),
      recoveredJobs: [...engine.jobs.getJobs()].filter(job => job.recovered && job.finalState === null).length
    })
  }

  private reportTasks (now: number): void {
    const { engine, logger } = this.options
    const reasons = new Map<string, WaitingReason>()
    const waitingBefore = now - WAIT_THRESHOLD_MILLISECONDS
    for (const task of findWaitingLongRunningTasks(engine.jobs.getJobs(), waitingBefore, NAMED_LIMIT)) {
      const { reason, ...explanation } = engine.explainWaiting(task, now)
      reasons.set(task.name, reason)
      if (this.reportedReasons.get(task.name) === reason) continue
      logger.info('long-running task waits', {
        task: task.name,
        reason,
        waitMilliseconds: Math.round(now - task.waitingSince),
        nextAttempt: task.nextAttempt,
        ...explanation
      })
    }
    this.reportedReasons = reasons
  }

  private reportUnsettledRuns (now: number): void {
    const since = new Map<RunRecord, number | null>()
    let reported = 0
    for (const worker of this.options.engine.workers.values()) {
      for (const run of worker.runs.values()) {
        if (run.state === 'running') continue
        const earlier = this.unsettledSince.get(run)
        const isDue = earlier !== null && earlier !== undefined && now - earlier >= WAIT_THRESHOLD_MILLISECONDS
        since.set(run, isDue && reported < NAMED_LIMIT ? null : earlier === undefined ? now : earlier)
        if (isDue && reported++ < NAMED_LIMIT) this.reportUnsettledRun(run, worker, now)
      }
    }
    this.unsettledSince = since
  }

  private reportUnsettledRun (run: RunRecord, worker: WorkerRecord, now: number): void {
    const { longRunning } = run.task.step.specification
    this.options.logger.info(longRunning ? 'run of a long-running task not settled' : 'run not settled', {
      task: run.task.name,
      attempt: run.attempt,
      worker: run.workerId,
      runState: run.state,
      isStartUncertain: run.startUncertain,
      isSent: isSent(run),
      isConfirmed: run.confirmedAt !== null,
      workerState: worker.syncState,
      leaseEndsInMilliseconds: Math.round(getRemainingLease(worker, now)),
      startedMillisecondsAgo: Math.round(now - run.startedAt)
    })
  }
}
