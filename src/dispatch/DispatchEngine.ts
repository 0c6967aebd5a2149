import { AccountDirectory, type ClientAccount } from '../accounts/index.js'
import { RunTimeRatios } from '../admission/RunTimeRatios.js'
import { createRun, type FinalJobState, type JobRecord, type RunRecord, type TaskRecord } from '../jobs/index.js'
import { AcceptedStarts } from './AcceptedStarts.js'
import { hasStartedOccurrence } from './hasStartedTask.js'
import { hasUnusedProcessors, isInService, type ChoiceConditions } from './chooseWorker.js'
import { findRunsToDrain } from './findRunsToMove.js'
import { findUnsteadyDataCentres } from './findUnsteadyDataCentres.js'
import { findStalledRuns, pauseStalledWorker } from './findStalledRuns.js'
import { ColocationAdvisor } from './ColocationAdvisor.js'
import { applyPaceChange, decidePace } from './decidePace.js'
import {
  silentDispatchObserver, type DispatchObserver, type ReconciliationCause, type RunLossCause
} from './DispatchObserver.js'
import type { DispatchEngineOptions } from './DispatchEngineOptions.js'
import { JobTable } from './JobTable.js'
import { endEarlierIncarnation } from './endEarlierIncarnation.js'
import { findWorkerObstacles, type WorkerObstacles } from './findWorkerObstacles.js'
import { expireLease } from './expireLease.js'
import { explainWaiting, type WaitingExplanation, type WaitingReason } from './explainWaiting.js'
import { GangStarts } from './gangs/GangStarts.js'
import { OpenStarts } from './OpenStarts.js'
import { PendingOrders, type DispatchOrder } from './PendingOrders.js'
import { placeWaitingTasks } from './placeWaitingTasks.js'
import type { GetRunTimeRatio } from './rankJobs.js'
import { recordRunTime } from './recordRunTime.js'
import { RestartReservations } from './RestartReservations.js'
import { RestartShare } from './RestartShare.js'
import { RunStopper } from './RunStopper.js'
import type { SizeClassShares } from './SizeClassShares.js'
import { settleUncertainStarts } from './settleUncertainStarts.js'
import { SlowedRunMover } from './SlowedRunMover.js'
import { StartPlan } from './StartPlan.js'
import { UnreachedWorkers } from './UnreachedWorkers.js'
import { UnseenRuns } from './UnseenRuns.js'
import { WorkerCosts } from './WorkerCosts.js'
import { UnreconciledWorkers } from './UnreconciledWorkers.js'
import { applyCompletions, applyReport, type ReportContext } from './applyReport.js'
import { applyStartOutcome } from './applyStartOutcome.js'
import { UrgentWorkProtection } from './headroom/UrgentWorkProtection.js'
import { isAcceptedByAnother, isListedAnew, markProcessEnded, startClockAnew, updateFence } from './replacedProcesses.js'
import type { OrderOutcome, WorkerReport } from './WorkerProtocol.js'
import {
  addRun, clearOrphanedRuns, createWorkerRecord, isLeaseExpired, recordFailure, removeRun, updateClockReading,
  type WorkerEntry, type WorkerRecord
} from './WorkerRecord.js'

/**
 * Decides for one shard which tasks start on which workers and which runs are stopped or paced.
 *
 * The engine reads no clock and sends nothing: each method takes the time as a parameter, and the caller sends the
 * orders that `takeOrders` returns.
 */
export class DispatchEngine {
  /** The client accounts, with what they have running. */
  readonly accounts = AccountDirectory.create()
  readonly jobs: JobTable
  readonly workers = new Map<string, WorkerRecord>()
  readonly advisor = ColocationAdvisor.create()
  /** The ratios of the run times of ended runs to their estimates. */
  readonly runTimeRatios = RunTimeRatios.create()
  private readonly orders = PendingOrders.create()
  private readonly stopper = RunStopper.create({ workers: this.workers, orders: this.orders })
  private dataCentresOut: ReadonlySet<string> = new Set()
  /** The workers that may hold runs of earlier owners, or ends of these, that they have not listed to this owner. */
  readonly unreconciled = UnreconciledWorkers.create({
    workers: this.workers, onReconciled: (worker, cause) => this.handleReconciliation(worker, cause)
  })

  /** The workers that this owner does not reach, as stored for its successor. */
  readonly unreached = UnreachedWorkers.create({ workers: this.workers })
  /** The starts without a response that later processes of their workers may execute. */
  readonly openStarts: OpenStarts
  /** The attempts to start gangs. */
  readonly gangs: GangStarts
  /** Monotonic time until which an earlier owner may start tasks. */
  earlierStartsEndAt = -Infinity
  private queueServices: ReadonlyMap<string, string> = new Map()
  private readonly restartShare = RestartShare.create()
  private readonly reservations = RestartReservations.create({ orders: this.orders, getObserver: () => this.observer })
  private readonly sizeClassShares = new Map<number, SizeClassShares>()
  private readonly costs = WorkerCosts.create()
  private readonly slowedRunMover = SlowedRunMover.create()
  /** Null where the deployment does not enable it. */
  private readonly protection: UrgentWorkProtection | null
  private readonly acceptedStarts = AcceptedStarts.create()
  /** The token raises for workers that were removed: a worker with the same ID may have seen their tokens. */
  private readonly removedTokenRaises = new Map<string, number>()
  private readonly unseenRuns: UnseenRuns
  /** Returns by how much estimates are wrong; undefined where they count as right. */
  private readonly getRunTimeRatio: GetRunTimeRatio | undefined
  private dirty = true

  private constructor (
    readonly epoch: number, private readonly observer: DispatchObserver, private readonly leaseMilliseconds: number,
    { protectsUrgentWork = false, gangTimes, getRunTimeRatio }: DispatchEngineOptions
  ) {
    const { accounts, unreconciled, workers, orders, runTimeRatios } = this
    const learnedRatio = protectsUrgentWork ? runTimeRatios.getRunTimeRatio.bind(runTimeRatios) : undefined
    this.getRunTimeRatio = getRunTimeRatio ?? learnedRatio
    this.gangs = GangStarts.create({ times: gangTimes, workers, orders, observer })
    this.jobs = JobTable.create({ epoch, accounts, largestGang: this.gangs.attempts.largestGang })
    this.openStarts = OpenStarts.create(leaseMilliseconds)
    this.unseenRuns = UnseenRuns.create({ jobs: this.jobs, accounts, unreconciled, workers })
    this.protection = !protectsUrgentWork
      ? null
      : UrgentWorkProtection.create({
        getRunTimeRatio: this.getRunTimeRatio,
        getObserver: () => this.observer,
        getServiceName: job => this.getServiceName(job),
        stop: (worker, run) => this.orders.stop(worker, run)
      })
  }

  /**
   * Creates an engine without jobs and workers.
   * @param options The epoch and the observer.
   * @returns The engine.
   */
  static create (options: DispatchEngineOptions): DispatchEngine {
    const { epoch, observer = silentDispatchObserver, leaseMilliseconds = 0 } = options
    return new DispatchEngine(epoch, observer, leaseMilliseconds, options)
  }

  /** Returns the decided orders and clears them. */
  takeOrders (): DispatchOrder[] {
    return this.orders.take()
  }

  /** Sets the service of each queue from the latest configuration. */
  setQueueServices (services: ReadonlyMap<string, string>): void {
    this.queueServices = services
    this.dirty = true
  }

  /** Sets the client accounts of the latest configuration; null when it has no list of them. */
  setAccounts (accounts: readonly ClientAccount[] | null): void {
    this.accounts.setAccounts(accounts)
    this.unseenRuns.invalidate()
    this.dirty = true
  }

  /** Sets the data centres whose workers get no new work. */
  setDataCentresOut (dataCentres: ReadonlySet<string>): void {
    this.dataCentresOut = dataCentres
    this.dirty = true
  }

  /** Makes the next plan run, after a change that may let a waiting task start. */
  markDirty (): void {
    this.dirty = true
  }

  /**
   * Adds a worker or updates its entry.
   * @param entry The entry in the platform's list of workers.
   * @returns The worker.
   */
  setWorker (entry: WorkerEntry): WorkerRecord {
    this.dirty = true
    const existing = this.workers.get(entry.workerId)
    if (existing === undefined) {
      const worker = {
        ...createWorkerRecord(entry),
        isRecordedUnreached: this.unreached.isRecorded(entry.workerId),
        mayHaveRestarted: this.removedTokenRaises.has(entry.workerId),
        tokenRaiseCount: this.removedTokenRaises.get(entry.workerId) ?? 0
      }
      this.removedTokenRaises.delete(entry.workerId)
      this.workers.set(entry.workerId, worker)
      return worker
    }
    // A new incarnation counts only once the worker itself reports it, together with its runs.
    if (isListedAnew(existing, entry)) this.markReplaced(existing)
    existing.changeCount++
    existing.entry = { ...entry, bornAtMilliseconds: existing.entry.bornAtMilliseconds }
    existing.listed = true
    if (entry.state === 'draining') {
      for (const run of findRunsToDrain(existing)) this.orders.stop(existing, run)
    }
    return existing
  }

  /** Marks a worker as removed from the platform's list; its tasks may still run. */
  markRemoved (workerId: string): void {
    const worker = this.workers.get(workerId)
    if (worker !== undefined) worker.listed = false
  }

  /** Returns the workers that do not respond and may run tasks. */
  getUnresponsiveWorkers (): WorkerRecord[] {
    return [...this.workers.values()].filter(worker => worker.syncState !== 'synchronized' &&
      (worker.runs.size > 0 || this.unreconciled.has(worker.entry.workerId)))
  }

  /**
   * Handles proof that the process of a worker has exited, which ends all its runs.
   * @param worker The worker.
   * @param now The monotonic time.
   */
  confirmWorkerExited (worker: WorkerRecord, now: number): void {
    for (const run of [...worker.runs.values()]) this.markRunLost(worker, run, 'worker-gone', now)
    clearOrphanedRuns(worker)
    worker.exitConfirmedAt = now
    markProcessEnded(worker)
    this.unreconciled.markReconciled(worker, 'process-ended')
    this.dirty = true
  }

  /**
   * Explains why a ready task has no run.
   * @param task The task.
   * @param now The monotonic time.
   * @returns The reason, and the workers that were considered.
   */
  explainWaiting (task: TaskRecord, now: number): WaitingExplanation {
    const conditions = this.getConditions(this.getServiceName(task.step.occurrence.job), now)
    const explanation = explainWaiting(task, this.workers.values(), conditions)
    const getReason = (): WaitingReason => {
      if (explanation.reason === 'account-cap') return 'account-cap'
      const gangObstacle = this.gangs.attempts.getObstacle(task.step, now)
      if (gangObstacle !== null) return gangObstacle
      if (this.openStarts.has(task)) return 'open-start'
      if (this.unreconciled.mayRun(task)) return 'unreconciled-worker'
      const { headroom } = this.protection ?? {}
      const isHeldBack = explanation.reason === 'not-planned' &&
        headroom?.holdsBack(task, [...this.workers.values()], conditions) === true
      return isHeldBack ? 'urgent-headroom' : explanation.reason
    }
    const reason = getReason()
    return { ...explanation, reason, reservedWorker: this.reservations.getWorker(task)?.entry.workerId ?? null }
  }

  /**
   * Returns what keeps the workers with room for a task from getting it.
   * @param task The task.
   * @param now The monotonic time.
   * @returns The numbers of workers by obstacle.
   */
  findWorkerObstacles (task: TaskRecord, now: number): WorkerObstacles {
    const serviceName = this.getServiceName(task.step.occurrence.job)
    return findWorkerObstacles(task, this.workers.values(), this.getConditions(serviceName, now))
  }

  /**
   * Applies a worker's report.
   * @param worker The worker.
   * @param report The report.
   * @param sentAt Monotonic time at which the call was sent.
   * @param now The monotonic time.
   */
  applyReport (worker: WorkerRecord, report: WorkerReport, sentAt: number, now: number): void {
    const { entry } = worker
    if (report.bornAtMilliseconds !== entry.bornAtMilliseconds && report.bornAtMilliseconds > 0) {
      if (worker.reportedAt > -Infinity) this.handleWorkerRestart(worker, report.bornAtMilliseconds, now)
      worker.endedBornAtMilliseconds = entry.bornAtMilliseconds
      worker.entry = { ...entry, bornAtMilliseconds: report.bornAtMilliseconds }
    }
    const isFirst = worker.clockReading === null
    updateClockReading(worker, report.workerMilliseconds, now)
    worker.reportedAt = sentAt
    worker.unansweredCallSentAt = null
    this.settleUncertainStarts(worker, report, sentAt)
    const changed = applyReport(worker, report, this.createReportContext(worker, sentAt, now))
    worker.changeCount++
    worker.hasProcessEnded = false
    const earlierLeaseEndsAt = this.unreconciled.getExpiries().get(entry.workerId) ?? sentAt
    updateFence(worker, {
      workerMilliseconds: report.workerMilliseconds,
      sentAt,
      isFirst,
      earlierLeaseMilliseconds: Math.max(this.leaseMilliseconds, earlierLeaseEndsAt - sentAt)
    })
    this.openStarts.applyReport(worker, report, sentAt)
    this.unreconciled.applyReport(worker, report)
    this.dirty ||= changed
    this.moveStalledRuns(worker, now)
    this.advisor.learn(worker, now)
    for (const { run, percent } of decidePace(worker, this.advisor, now)) {
      applyPaceChange(worker, run, percent, now)
      this.orders.pace(worker, run, percent)
    }
  }

  /**
   * Applies the ends of runs in a delayed report: the runs that it lists as running may be over.
   * @param worker The worker, in the incarnation that reports.
   * @param report The report.
   * @param sentAt Monotonic time at which the call was sent.
   * @param now The monotonic time.
   */
  applyLateReport (worker: WorkerRecord, report: WorkerReport, sentAt: number, now: number): void {
    if (applyCompletions(worker, report, this.createReportContext(worker, sentAt, now))) this.dirty = true
    worker.changeCount++
  }

  /**
   * Marks a worker as unreachable after a failed call; it gets no new work until it reports.
   * @param worker The worker.
   * @param sentAt Monotonic time at which the call was sent, or null when it was not sent.
   * @param awaitedUntil Monotonic time until which the response to the call is still received.
   */
  markUnreachable (worker: WorkerRecord, sentAt: number | null, awaitedUntil = -Infinity): void {
    worker.unansweredCallSentAt = sentAt ?? worker.unansweredCallSentAt
    if (sentAt !== null && this.mayBeLeasedAt(worker, sentAt)) {
      worker.reportAwaitedUntil = Math.max(worker.reportAwaitedUntil, awaitedUntil)
    }
    if (worker.syncState !== 'synchronized') return
    worker.syncState = 'unreachable'
    worker.mayHaveRestarted = true
    if (sentAt !== null) recordFailure(worker, sentAt)
  }

  /**
   * Applies the outcome of a start order.
   * @param worker The worker.
   * @param run The run.
   * @param outcome The outcome.
   * @param now The monotonic time.
   */
  applyStartOutcome (worker: WorkerRecord, run: RunRecord, outcome: OrderOutcome, now: number): void {
    if (outcome.kind === 'accepted') this.acceptedStarts.add()
    else this.dirty = true
    if (outcome.kind === 'accepted' && isAcceptedByAnother(worker, run, outcome.workerMilliseconds)) {
      this.markReplaced(worker)
      startClockAnew(worker, outcome.workerMilliseconds!, now, this.leaseMilliseconds)
    }
    if (!run.task.runs.includes(run)) return
    applyStartOutcome(worker, run, outcome, {
      now,
      stop: stopped => this.orders.stop(worker, stopped),
      markRunLost: (lost, cause) => this.markRunLost(worker, lost, cause, now)
    })
  }

  /**
   * Returns whether a decided start should still be sent.
   * @param worker The worker.
   * @param run The run.
   * @returns Whether the run is still wanted and the worker may still get new work.
   */
  isStartNeeded (worker: WorkerRecord, run: RunRecord): boolean {
    return run.state === 'starting' && run.task.runs.includes(run) &&
      isInService(worker, this.getServiceName(run.task.step.occurrence.job), this.dataCentresOut)
  }

  /**
   * Releases the reservation of a run whose start was withdrawn before it was sent.
   * @param worker The worker.
   * @param run The run.
   * @param now The monotonic time.
   */
  withdrawRun (worker: WorkerRecord, run: RunRecord, now: number): void {
    if (!run.task.runs.includes(run)) return
    this.dirty = true
    this.markRunLost(worker, run, 'not-sent', now)
  }

  /**
   * Applies the outcome of a stop order. The run is over when a later report does not list it.
   * @param run The run that was stopped.
   * @param outcome The outcome.
   * @param now The monotonic time.
   */
  applyStopOutcome (run: RunRecord, outcome: OrderOutcome, now: number): void {
    if (outcome.kind === 'accepted') run.confirmedAt ??= now
  }

  /** Cancels a job: stops its runs and starts no more of its tasks. */
  cancelJob (jobId: string): void {
    this.endJob(this.jobs.getJob(jobId), 'cancelled')
  }

  /**
   * Marks the runs on workers with expired leases as lost and places the tasks that can start.
   * @param now The monotonic time.
   * @param wallMilliseconds The time of day.
   * @param mayStart Whether starts are allowed now.
   * @param startLimit The number of starts that can be sent soon; a later plan places other tasks, on newer reports.
   * @param storedStartLimit The number of them that may be of long-running tasks, whose assignments are stored first.
   * @param gangStartLimit The number of starts of members of gangs, which are counted apart from the others.
   */
  plan (
    now: number, wallMilliseconds: number, mayStart: boolean, startLimit = Infinity, storedStartLimit = Infinity,
    gangStartLimit = Infinity
  ): void {
    this.expireWorkers(now)
    this.gangs.abandonOverdue(now)
    if (!mayStart || !(this.dirty || this.acceptedStarts.requirePlan(now)) || startLimit <= 0) return
    this.dirty = false
    this.acceptedStarts.recordPlan(now)
    this.unseenRuns.update(now, wallMilliseconds)
    const workers = [...this.workers.values()]
    const unsteadyDataCentres = findUnsteadyDataCentres(workers, now)
    const getConditions = (serviceName: string): ChoiceConditions =>
      ({ ...this.getConditions(serviceName, now), unsteadyDataCentres })
    this.protection?.headroom.beginPlan(this.jobs.getJobs(), workers, now)
    const plan = StartPlan.create({
      workers,
      headroom: this.protection?.headroom,
      startLimit,
      storedStartLimit,
      gangStartLimit,
      getConditions,
      mayStart: this.mayStart,
      getGangObstacle: step => this.gangs.attempts.getObstacle(step, now),
      start: (task, worker, attempt) => this.start(task, worker, attempt, now)
    })
    const outcome = placeWaitingTasks({
      jobs: this.jobs,
      accounts: this.accounts,
      plan,
      restartLimit: this.restartShare.reserve(startLimit),
      reservations: this.reservations,
      sizeClassShares: this.sizeClassShares,
      protection: this.protection ?? undefined,
      getRunTimeRatio: this.getRunTimeRatio,
      wallMilliseconds,
      now,
      getServiceName: job => this.getServiceName(job),
      mayStart: this.mayStart
    })
    if (outcome === 'plan-full') {
      this.dirty = true
    } else {
      this.slowedRunMover.moveRuns(workers, getConditions, (worker, run) => this.orders.stop(worker, run), now)
    }
  }

  private markReplaced (worker: WorkerRecord): void {
    this.markUnreachable(worker, null)
    markProcessEnded(worker)
  }

  private settleUncertainStarts (worker: WorkerRecord, report: WorkerReport, sentAt: number): void {
    settleUncertainStarts(worker, report, sentAt)
  }

  /** Returns whether a lease of this owner or an earlier one may have lasted at a monotonic time. */
  private mayBeLeasedAt (worker: WorkerRecord, at: number): boolean {
    const earlierLeaseEndsAt = this.unreconciled.getExpiries().get(worker.entry.workerId) ?? -Infinity
    return at < earlierLeaseEndsAt || (worker.clockReading !== null && !isLeaseExpired(worker))
  }

  private createReportContext (worker: WorkerRecord, sentAt: number, now: number): ReportContext {
    return {
      jobs: this.jobs,
      sentAt,
      now,
      mayEarlierOwnersStart: sentAt < this.earlierStartsEndAt,
      stop: run => this.orders.stop(worker, run),
      stopOrphaned: (taskName, attempt) => this.orders.stopOrphaned(worker, taskName, attempt),
      failJob: job => this.endJob(job, 'failed'),
      stopRuns: task => this.stopper.stopTask(task),
      recordCompletedRun: run => recordRunTime(this.runTimeRatios, run, now),
      markRunLost: run => this.markRunLost(worker, run, 'not-listed', now),
      handleGangEnd: (step, attempt, run) => this.gangs.handleEnd(step, attempt, run, now),
      reportIgnoredCompletion: (ended, reason) => this.observer.onCompletionIgnored(worker, ended, reason)
    }
  }

  private readonly mayStart = (task: TaskRecord): boolean =>
    !this.openStarts.has(task) && !this.unreconciled.mayRun(task)

  private getServiceName (job: JobRecord): string {
    return this.queueServices.get(job.submission.queueName) ?? job.submission.serviceName
  }

  private getConditions (serviceName: string, now: number): ChoiceConditions {
    return { serviceName, dataCentresOut: this.dataCentresOut, advisor: this.advisor, costs: this.costs, now }
  }

  /** Stops stalled runs, so that their tasks start elsewhere, and pauses their worker. */
  private moveStalledRuns (worker: WorkerRecord, now: number): void {
    const stalled = findStalledRuns(worker, now)
    if (stalled.length === 0) return
    pauseStalledWorker(worker, stalled, now)
    for (const run of stalled) this.orders.stop(worker, run)
  }

  private start (task: TaskRecord, worker: WorkerRecord, attempt: number, now: number): void {
    const run = createRun(task, worker.entry.workerId, attempt, now)
    const { occurrence } = task.step
    run.exceedsUnusedProcessors = task.step.specification.fills && !hasUnusedProcessors(worker, task)
    occurrence.hasOnlyExcessStarts = run.exceedsUnusedProcessors && !hasStartedOccurrence(occurrence)
    task.nextAttempt = attempt + 1
    if (task.step.specification.longRunning) {
      task.assignedWorkerId = worker.entry.workerId
      this.jobs.markTaskChanged(task)
    }
    this.gangs.attempts.begin(task.step, attempt)
    addRun(worker, run)
    this.orders.start(worker, run)
  }

  private markRunLost (worker: WorkerRecord, run: RunRecord, cause: RunLossCause, now: number): void {
    this.observer.onRunLost(worker, run, cause, now)
    this.openStarts.add(run, worker, now)
    // A start that never ran does not end the wait of its task.
    const hasNeverRun = cause === 'start-refused' || cause === 'not-sent'
    if (hasNeverRun) run.task.startRefusedAt = now
    removeRun(worker, run, now, hasNeverRun ? run.task.waitingSince : now)
    this.jobs.waitingRestarts.add(run.task)
    this.gangs.handleLostRun(run, cause, now)
  }

  private handleReconciliation (worker: WorkerRecord, cause: ReconciliationCause): void {
    this.dirty = true
    this.observer.onReconciled(worker, cause)
    if (this.unreconciled.isEmpty) this.jobs.confirmRecovered()
  }

  private endJob (job: JobRecord | undefined, state: FinalJobState): void {
    if (job === undefined || job.finalState !== null) return
    this.jobs.finish(job, state)
    this.stopper.stopJob(job)
  }

  private handleWorkerRestart (worker: WorkerRecord, bornAtMilliseconds: number, now: number): void {
    const runCount = worker.runs.size
    endEarlierIncarnation(worker, {
      stop: run => this.orders.stop(worker, run),
      markRunLost: run => this.markRunLost(worker, run, 'worker-restarted', now)
    })
    this.observer.onWorkerRestarted(worker, bornAtMilliseconds, runCount - worker.runs.size)
    this.dirty = true
  }

  private remove (worker: WorkerRecord): void {
    const { entry: { workerId } } = worker
    clearOrphanedRuns(worker)
    this.workers.delete(workerId)
    this.removedTokenRaises.set(workerId, worker.tokenRaiseCount)
  }

  private expireWorkers (now: number): void {
    this.unreconciled.expire(now)
    this.openStarts.expire(now)
    for (const worker of this.workers.values()) {
      if (worker.syncState === 'synchronized') continue
      const lostRuns = expireLease(worker, now)
      for (const run of lostRuns) this.markRunLost(worker, run, 'lease-expired', now)
      this.dirty ||= lostRuns.length > 0
      const isRemovable = !worker.listed && worker.runs.size === 0 && !this.unreconciled.has(worker.entry.workerId)
      if (isRemovable && (worker.clockReading === null || isLeaseExpired(worker))) this.remove(worker)
    }
  }
}
