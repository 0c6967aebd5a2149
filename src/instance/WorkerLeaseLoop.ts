import {
  getEarliestWorkerTime, getFencingToken, hasFailedRecently, hasSlowPath, isUnsteady, raiseFencingToken,
  type DispatchEngine, type HoldOutcome, type WorkerClient, type WorkerRecord, type WorkerReport
} from '../dispatch/index.js'
import type { BatchedLog } from '../shared/BatchedLog.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import type { RepeatBudget } from '../shared/RepeatBudget.js'
import type { InstanceMetrics } from './InstanceMetrics.js'
import { sendRenewal, type LateOutcome } from './sendRenewal.js'
import { hasUncertainStarts, stopUncertainStarts } from './stopUncertainStarts.js'

/** Options of the lease loop of one worker. */
export interface WorkerLeaseLoopOptions {
  worker: WorkerRecord
  engine: DispatchEngine
  client: WorkerClient
  clock: Clock
  leaseMilliseconds: number
  logger: Logger
  /** Logs the ended runs of all workers. */
  endedRuns: BatchedLog
  metrics: Pick<InstanceMetrics, 'workerCallFailures' | 'workerCallRepeats' | 'lateReports'>
  /** Limits the repeats of calls without a response. */
  repeats: Pick<RepeatBudget, 'tryWithdraw'>
  errors: ErrorBoundary
  /** Returns whether this process may still renew leases. */
  mayRenewLeases (): boolean
  /** Resolves when the jobs are known whose tasks an earlier owner may have started on a worker that has answered. */
  prepareReport (worker: WorkerRecord): Promise<void>
  onReport (worker: WorkerRecord): void
  onFenced (): void
  /** Resolves when the ended runs applied so far are durable, or after a time limit. */
  waitForDurability (): Promise<void>
}

/** How long a call waits for an ended run when nothing else requires a newer report. */
const IDLE_WAIT_MILLISECONDS = 1500
/** The wait while tasks that fill run beside serving tasks, whose usage figures each cover half a second. */
const COLOCATION_WAIT_MILLISECONDS = 600
/**
 * The wait after a recent failure: a lost call is noticed sooner, and the last renewal before it is newer, so that more
 * time remains to reach the worker before its lease has ended.
 */
const UNSTEADY_WAIT_MILLISECONDS = 300
/** Pause between two calls, so that one call reports all runs that end within it, which costs less. */
const CALL_PAUSE_MILLISECONDS = 30
const RETRY_MILLISECONDS = 200
/**
 * The pause after a failed call that took longer than `RETRY_MILLISECONDS`, while the lease of its worker lasts: over a
 * path that loses packets, few calls fit into that time. Calls that fail at once are not repeated more often.
 */
const SHORTEST_RETRY_MILLISECONDS = 50
/** The sends of one renewal, each of which occupies a connection until its time limit. */
const SEND_LIMIT = 6
/** The outcome of a call whose response is no longer awaited, since the platform lists another process. */
const REPLACED_PROCESS: HoldOutcome = { kind: 'unknown', reason: 'another process of the worker is listed' }
/** The sends of one call to a worker without a lease: a pending repeat would delay its reconciliation. */
const UNLEASED_SEND_LIMIT = 1

/** Renews the lease of one worker and reads its reports, as long as this process owns the shard. */
export class WorkerLeaseLoop {
  private stopped = false
  private lastCallFailed = false
  /** Whether a report has arrived late since the last call failed. */
  private hasLateReport = false
  /** Whether the next report settles starts without a response, so that the call for it should not wait. */
  private hasAnsweredStops = false
  /** Whether stops over the connection for reports are not over yet. */
  private isStopping = false
  /** Whether the next report settles starts by a raised fencing token, so that the call for it should not wait. */
  private mustSettleStarts = false
  /** The latest deadline of a renewal on the clock of the worker; earlier owners may have granted later ones. */
  private renewedDeadline = 0
  /** Ends the wait for the response to the call in flight, or the pause after a failed call. */
  private interrupt = () => {}

  private constructor (private readonly options: WorkerLeaseLoopOptions) {}

  /**
   * Creates a loop that does nothing before `run`.
   * @param options The worker, its client and the engine.
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

  /** Calls the worker at once, as another process of it is listed, which will not respond to the call in flight. */
  callNow (): void {
    this.interrupt()
  }

  /** Calls the worker until the loop is stopped. */
  async run (): Promise<void> {
    const { errors, engine, worker } = this.options
    while (!this.stopped) {
      if (!this.options.mayRenewLeases()) {
        await this.pause(RETRY_MILLISECONDS)
      } else if (!await errors.runAsync('lease-renewal', async () => await this.callWorker())) {
        // The report was not applied as a whole, so the worker gets no new work before the next one.
        engine.markUnreachable(worker, null)
        await this.pause(RETRY_MILLISECONDS)
      }
    }
  }

  private async callWorker (): Promise<void> {
    const { worker, engine, client, clock, leaseMilliseconds, errors } = this.options
    const sentAt = clock.monotonicMilliseconds()
    const workerTime = getEarliestWorkerTime(worker, sentAt)
    // Calls may still reach an unresponsive worker: renewing its lease blindly would keep the lease from expiring.
    // A report that arrives late shows only that the worker could be reached some time ago.
    const hasResponded = !this.lastCallFailed ||
      (this.hasLateReport && sentAt - worker.reportedAt <= leaseMilliseconds / 2)
    this.hasLateReport = false
    const leaseDeadline = this.getLeaseDeadline(workerTime, sentAt, hasResponded)
    this.fenceUncertainStarts(sentAt)
    const token = getFencingToken(worker, engine.epoch)
    const waitMilliseconds = this.getWaitMilliseconds(hasResponded ? leaseDeadline : null)
    this.hasAnsweredStops = false
    let isAbandoned = false
    const sending = sendRenewal({
      worker,
      client,
      clock,
      request: {
        epoch: token,
        // A new incarnation of the worker, which numbers its ended runs from 1, may respond after failed calls.
        acknowledgedCompletion: hasResponded ? worker.durableCompletion : 0,
        leaseDeadline,
        waitMilliseconds
      },
      lateMilliseconds: leaseMilliseconds,
      sendLimit: this.isLeased(sentAt) ? SEND_LIMIT : UNLEASED_SEND_LIMIT,
      // Calls to a worker whose process has ended fail at once, and are not made more often.
      repeatsFailures: !this.lastCallFailed,
      mayRepeat: () => !isAbandoned && this.mayRepeat(),
      onLateOutcome: late => { errors.runAsync('late-report', async () => await this.handleLateOutcome(late, token)) }
    })
    const renewal = await Promise.race([sending, this.waitForInterrupt()])
    if (this.stopped) return
    if (renewal === 'interrupted') {
      isAbandoned = true
      errors.runAsync('late-report', async () => {
        const { outcome, sentAt } = await sending
        await this.handleLateOutcome({ outcome, sentAt, hasTimedOut: false }, token)
      })
      this.recordOutcome(REPLACED_PROCESS, clock.monotonicMilliseconds() - sentAt)
      return engine.markUnreachable(worker, null)
    }
    const { outcome } = renewal
    this.recordOutcome(outcome, clock.monotonicMilliseconds() - sentAt)
    if (outcome.kind === 'fenced') return this.handleFence()
    if (outcome.kind !== 'reported') {
      engine.markUnreachable(worker, outcome.kind === 'not-sent' ? null : renewal.sentAt, renewal.awaitedUntil)
      await Promise.race([this.pause(this.getRetryMilliseconds(renewal.sentAt)), this.waitForInterrupt()])
      return
    }
    if (!await this.applyReport(outcome.report, renewal.sentAt)) return
    await this.stopUncertainStarts()
    if (this.stopped) return
    if (worker.appliedCompletion > worker.durableCompletion) await this.options.waitForDurability()
    else if (worker.isRecordedUnreached) await this.pause(RETRY_MILLISECONDS)
    else if (workerTime !== null) await this.pause(CALL_PAUSE_MILLISECONDS)
  }

  /**
   * Returns the lease deadline of a call, or null for none. Calls that may not grant a later one repeat the latest one
   * while it lasts, which may not have arrived.
   */
  private getLeaseDeadline (workerTime: number | null, sentAt: number, hasResponded: boolean): number | null {
    const { worker, leaseMilliseconds } = this.options
    if (workerTime === null || worker.isRecordedUnreached || worker.hasProcessEnded) return null
    // A path that has failed and recovered of late is likely to lose the response rather than the worker.
    const mayExtend = hasResponded ||
      (isUnsteady(worker, sentAt) && sentAt - worker.reportedAt <= leaseMilliseconds / 2)
    if (mayExtend) {
      this.renewedDeadline = Math.floor(workerTime + leaseMilliseconds)
      worker.leaseDeadline = Math.max(worker.leaseDeadline, this.renewedDeadline)
    }
    // A new incarnation of the worker has got no lease yet.
    const deadline = Math.min(this.renewedDeadline, worker.leaseDeadline)
    return deadline > workerTime ? deadline : null
  }

  /** Returns whether the latest lease that was granted to the worker may last. */
  private isLeased (now: number): boolean {
    const { worker } = this.options
    const workerTime = getEarliestWorkerTime(worker, now)
    return workerTime !== null && workerTime < worker.leaseDeadline
  }

  /** Returns whether a call without a response is sent once more, and counts it. */
  private mayRepeat (): boolean {
    const { worker, clock, repeats, metrics } = this.options
    // The responses over a slow path arrive late, and repeats would delay them further.
    if (hasSlowPath(worker, clock.monotonicMilliseconds())) return false
    if (this.stopped || !this.options.mayRenewLeases() || !repeats.tryWithdraw()) return false
    metrics.workerCallRepeats.inc({ call: 'renewal' })
    return true
  }

  /** Stops runs without a response for the time that responses usually take; later ones are handled as they arrive. */
  private async stopUncertainStarts (): Promise<void> {
    const { clock, errors, worker } = this.options
    if (this.isStopping || !hasUncertainStarts(worker)) return
    this.isStopping = true
    const stops = errors.runAsync('uncertain-stops', async () => {
      const outcome = await stopUncertainStarts(this.options)
      if (this.stopped) return
      if (outcome === 'fenced') return this.handleFence()
      if (outcome === 'answered') this.hasAnsweredStops = true
    }).finally(() => { this.isStopping = false })
    await new Promise<void>(resolve => {
      const cancel = clock.setTimer(worker.responseTime.milliseconds, resolve)
      stops.finally(() => {
        cancel()
        resolve()
      })
    })
  }

  /** Raises the fencing token when that is due; the report to the next call settles starts without a response. */
  private fenceUncertainStarts (now: number): void {
    const { worker, engine, logger } = this.options
    const runs = raiseFencingToken(worker, now)
    this.mustSettleStarts = runs.length > 0
    if (!this.mustSettleStarts) return
    logger.info('fencing token raised for starts without a response', {
      worker: worker.entry.workerId,
      token: getFencingToken(worker, engine.epoch),
      runs: runs.map(run => `${run.task.name}#${run.attempt}`)
    })
  }

  private waitForInterrupt (): Promise<'interrupted'> {
    return new Promise(resolve => { this.interrupt = () => resolve('interrupted') })
  }

  /** Applies a response that arrives after the outcome of its renewal, which may list the ends of runs. */
  private async handleLateOutcome ({ outcome, sentAt, hasTimedOut }: LateOutcome, token: number): Promise<void> {
    const { worker, engine, clock, logger, metrics } = this.options
    if (this.stopped) return
    if (outcome.kind === 'fenced' && token === getFencingToken(worker, engine.epoch)) return this.handleFence()
    if (outcome.kind !== 'reported' || sentAt < worker.exitConfirmedAt) return
    if (hasTimedOut) {
      metrics.lateReports.inc()
      const ageMilliseconds = Math.round(clock.monotonicMilliseconds() - sentAt)
      logger.info('late report of a worker', { worker: worker.entry.workerId, ageMilliseconds })
    }
    if (this.isOutdated(sentAt)) return this.applyEnds(outcome.report, sentAt)
    if (!await this.applyReport(outcome.report, sentAt)) return
    this.hasLateReport = true
    if (hasTimedOut) worker.lateReportAt = clock.monotonicMilliseconds()
    // The latest call has failed, so the worker gets no new work before it responds in time.
    if (this.lastCallFailed) engine.markUnreachable(worker, null)
  }

  /** Returns whether runs that a late report lists may be over: a later one is applied, or the lease has expired. */
  private isOutdated (sentAt: number): boolean {
    const { worker, engine, clock } = this.options
    if (sentAt <= worker.reportedAt) return true
    const workerTime = getEarliestWorkerTime(worker, clock.monotonicMilliseconds())
    if (workerTime === null) return !engine.unreconciled.has(worker.entry.workerId)
    return workerTime > worker.leaseDeadline
  }

  /** Applies the ends in an outdated report of the same incarnation; a task whose end is known does not start again. */
  private applyEnds (report: WorkerReport, sentAt: number): void {
    const { worker, engine, clock } = this.options
    if (report.bornAtMilliseconds !== worker.entry.bornAtMilliseconds) return
    const lastAppliedBefore = worker.appliedCompletion
    engine.applyLateReport(worker, report, sentAt, clock.monotonicMilliseconds())
    this.logEndedRuns(report, lastAppliedBefore)
  }

  /** Applies a report, unless one of a later call is applied already; returns whether it was applied. */
  private async applyReport (report: WorkerReport, sentAt: number): Promise<boolean> {
    const { worker, engine, clock } = this.options
    await this.options.prepareReport(worker)
    if (this.stopped || sentAt <= worker.reportedAt || sentAt < worker.exitConfirmedAt) return false
    const lastAppliedBefore = worker.appliedCompletion
    engine.applyReport(worker, report, sentAt, clock.monotonicMilliseconds())
    this.logEndedRuns(report, lastAppliedBefore)
    this.options.onReport(worker)
    return true
  }

  private handleFence (): void {
    this.stopped = true
    this.options.onFenced()
  }

  /** Counts each failed call, and logs when the worker stops or resumes responding. */
  private recordOutcome (outcome: HoldOutcome, durationMilliseconds: number): void {
    const { worker, logger, metrics } = this.options
    const failed = outcome.kind !== 'reported'
    const reason = outcome.kind === 'unknown' || outcome.kind === 'not-sent' ? outcome.reason : outcome.kind
    if (failed) metrics.workerCallFailures.inc({ reason })
    if (failed) worker.reportFailedAt = this.options.clock.monotonicMilliseconds()
    if (failed !== this.lastCallFailed) {
      logger.info(failed ? 'worker does not respond' : 'worker responds again', {
        worker: worker.entry.workerId,
        reason,
        durationMilliseconds: Math.round(durationMilliseconds)
      })
    }
    this.lastCallFailed = failed
  }

  private logEndedRuns (report: WorkerReport, lastAppliedBefore: number): void {
    const { worker, endedRuns } = this.options
    if (worker.appliedCompletion === lastAppliedBefore) return
    endedRuns.add({
      worker: worker.entry.workerId,
      acknowledged: worker.durableCompletion,
      ends: report.ended
        .filter(ended => ended.number > lastAppliedBefore || worker.appliedCompletion < lastAppliedBefore)
        .map(ended => `${ended.number} ${ended.taskName}#${ended.attempt} ${ended.end}`)
    })
  }

  private getWaitMilliseconds (leaseDeadline: number | null): number {
    const { worker } = this.options
    const mustNotWait = leaseDeadline === null || this.lastCallFailed || worker.syncState !== 'synchronized' ||
      worker.appliedCompletion > worker.durableCompletion || this.hasAnsweredStops ||
      this.mustSettleStarts
    if (mustNotWait) return 0
    const now = this.options.clock.monotonicMilliseconds()
    const untilSettlement = this.options.engine.openStarts.getSettlementAt(worker) - now
    return Math.max(0, Math.min(this.getUsualWait(now), Math.ceil(untilSettlement)))
  }

  private getUsualWait (now: number): number {
    const { worker } = this.options
    if (hasFailedRecently(worker, now)) return UNSTEADY_WAIT_MILLISECONDS
    return worker.servingReserved > 0 && worker.bestEffortDemand > 0
      ? COLOCATION_WAIT_MILLISECONDS
      : IDLE_WAIT_MILLISECONDS
  }

  /** Returns the pause after a failed call that was sent at the given monotonic time. */
  private getRetryMilliseconds (sentAt: number): number {
    const now = this.options.clock.monotonicMilliseconds()
    if (!this.isLeased(now)) return RETRY_MILLISECONDS
    return Math.max(SHORTEST_RETRY_MILLISECONDS, RETRY_MILLISECONDS - (now - sentAt))
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
