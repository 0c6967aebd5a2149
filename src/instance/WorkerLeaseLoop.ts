import {
  getEarliestWorkerTime, type DispatchEngine, type HoldOutcome, type WorkerClient, type WorkerRecord, type WorkerReport
} from '../dispatch/index.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { InstanceMetrics } from './InstanceMetrics.js'

/** Options of the loop of one worker. */
export interface WorkerLeaseLoopOptions {
  worker: WorkerRecord
  engine: DispatchEngine
  client: WorkerClient
  clock: Clock
  leaseMilliseconds: number
  logger: Logger
  metrics: Pick<InstanceMetrics, 'workerCallFailures'>
  /** Whether this process may still renew leases. */
  mayRenewLeases (): boolean
  onReport (worker: WorkerRecord): void
  onFenced (): void
  /** Resolves when the ends that were applied so far are durable, or after a while. */
  waitForDurability (): Promise<void>
}

/** Wait for an end where nothing else needs a newer list. */
const IDLE_WAIT_MILLISECONDS = 1500
/** Wait where tasks that fill run beside serving tasks; the worker's figures cover half a second. */
const COLOCATION_WAIT_MILLISECONDS = 600
/** Pause between two calls: ends that come together are then reported together, at a lower price. */
const CALL_PAUSE_MILLISECONDS = 30
const RETRY_MILLISECONDS = 200

/** Renews the lease of one worker and reads its lists, as long as this process owns the shard. */
export class WorkerLeaseLoop {
  private stopped = false
  private lastCallFailed = false

  private constructor (private readonly options: WorkerLeaseLoopOptions) {}

  /**
   * Creates a loop that does nothing before `run`.
   * @param options The worker and the engine.
   * @returns The loop.
   */
  static create (options: WorkerLeaseLoopOptions): WorkerLeaseLoop {
    return new WorkerLeaseLoop(options)
  }

  get isStopped (): boolean {
    return this.stopped
  }

  /** Ends the loop after the call in flight. */
  stop (): void {
    this.stopped = true
  }

  /** Calls the worker until the loop is stopped. */
  async run (): Promise<void> {
    while (!this.stopped) {
      if (!this.options.mayRenewLeases()) await this.pause(RETRY_MILLISECONDS)
      else await this.callWorker()
    }
  }

  private async callWorker (): Promise<void> {
    const { worker, engine, client, clock, leaseMilliseconds } = this.options
    const sentAt = clock.monotonicMilliseconds()
    const workerTime = getEarliestWorkerTime(worker, sentAt)
    // A worker that gave no answer may be cut off one way: a lease that is renewed blindly would never be known to end.
    const mayRenew = workerTime !== null && !this.lastCallFailed
    const leaseDeadline = mayRenew ? Math.floor(workerTime + leaseMilliseconds) : null
    if (leaseDeadline !== null) worker.leaseDeadline = Math.max(worker.leaseDeadline, leaseDeadline)
    const outcome = await client.hold({
      epoch: engine.epoch,
      // After a failed call another life of the worker may answer, whose ends have other numbers.
      acknowledgedCompletion: this.lastCallFailed ? 0 : worker.durableCompletion,
      leaseDeadline,
      waitMilliseconds: this.getWaitMilliseconds(leaseDeadline)
    })
    if (this.stopped) return
    this.recordOutcome(outcome, clock.monotonicMilliseconds() - sentAt)
    if (outcome.kind === 'fenced') {
      this.stopped = true
      this.options.onFenced()
      return
    }
    if (outcome.kind !== 'reported') {
      engine.markUnreachable(worker, outcome.kind === 'not-sent' ? null : sentAt)
      await this.pause(RETRY_MILLISECONDS)
      return
    }
    const lastAppliedBefore = worker.appliedCompletion
    engine.applyReport(worker, outcome.report, sentAt, clock.monotonicMilliseconds())
    this.logEndedRuns(outcome.report, lastAppliedBefore)
    this.options.onReport(worker)
    if (worker.appliedCompletion > worker.durableCompletion) await this.options.waitForDurability()
    else if (leaseDeadline !== null) await this.pause(CALL_PAUSE_MILLISECONDS)
  }

  /** Logs when the worker begins or ceases to answer; each failure is counted. */
  private recordOutcome (outcome: HoldOutcome, durationMilliseconds: number): void {
    const { worker, logger, metrics } = this.options
    const failed = outcome.kind !== 'reported'
    const reason = outcome.kind === 'unknown' || outcome.kind === 'not-sent' ? outcome.reason : outcome.kind
    if (failed) metrics.workerCallFailures.inc({ reason })
    if (failed !== this.lastCallFailed) {
      logger.info(failed ? 'worker gives no answer' : 'worker answers again', {
        worker: worker.entry.workerId,
        reason,
        durationMilliseconds: Math.round(durationMilliseconds)
      })
    }
    this.lastCallFailed = failed
  }

  private logEndedRuns (report: WorkerReport, lastAppliedBefore: number): void {
    const { worker, logger } = this.options
    if (worker.appliedCompletion === lastAppliedBefore) return
    logger.info('ends applied', {
      worker: worker.entry.workerId,
      acknowledged: worker.durableCompletion,
      ends: report.ended.filter(ended => ended.number > lastAppliedBefore || worker.appliedCompletion < lastAppliedBefore)
        .map(ended => `${ended.number} ${ended.taskName}#${ended.attempt} ${ended.end}`)
    })
  }

  private getWaitMilliseconds (leaseDeadline: number | null): number {
    const { worker } = this.options
    const mustNotWait = leaseDeadline === null || this.lastCallFailed || worker.syncState !== 'synchronized' ||
      worker.appliedCompletion > worker.durableCompletion
    if (mustNotWait) return 0
    return worker.servingReserved > 0 && worker.bestEffortDemand > 0 ? COLOCATION_WAIT_MILLISECONDS : IDLE_WAIT_MILLISECONDS
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
