import {
  createRun, isStepReady, type JobRecord, type RunRecord, type TaskRecord
} from '../jobs/index.js'
import { chooseWorker, isInService, type ChoiceConditions } from './chooseWorker.js'
import { findRunsToDrain, mayMoveSlowedRun } from './findRunsToMove.js'
import { findStalledRuns } from './findStalledRuns.js'
import { ColocationAdvisor } from './ColocationAdvisor.js'
import { decidePace } from './decidePace.js'
import { silentDispatchObserver, type DispatchObserver, type RunLossCause } from './DispatchObserver.js'
import { JobTable } from './JobTable.js'
import { hasWaitingTask } from './hasWaitingTask.js'
import { PendingOrders, type DispatchOrder } from './PendingOrders.js'
import { rankJobs } from './rankJobs.js'
import { StartPlan } from './StartPlan.js'
import { UnreconciledWorkers } from './UnreconciledWorkers.js'
import { applyReport, type ReportContext } from './applyReport.js'
import { applyStartOutcome } from './applyStartOutcome.js'
import type { OrderOutcome, WorkerReport } from './WorkerProtocol.js'
import {
  addRun, clearProcessState, createWorkerRecord, isLeaseExpired, pauseWorker, removeRun, type WorkerEntry,
  type WorkerRecord
} from './WorkerRecord.js'

/** A run that is slowed below this is moved after a while. */
const SLOWED_BELOW_PERCENT = 35
/** A worker on which tasks stood still gets a task again after this time, which shows whether it works. */
const STALLED_PAUSE_MILLISECONDS = 3000

/** Options of an engine. */
export interface DispatchEngineOptions {
  /** The owner's epoch, which is the fencing token of all orders. */
  epoch: number
  /** Is told why runs were lost; silent by default. */
  observer?: DispatchObserver
}

/**
 * Decides which task starts where, what is stopped, and what is told of jobs, for one shard.
 *
 * It reads no clock and sends nothing: each method gets the time, and orders are collected by `takeOrders`.
 */
export class DispatchEngine {
  readonly jobs: JobTable
  readonly workers = new Map<string, WorkerRecord>()
  readonly advisor = ColocationAdvisor.create()
  private readonly orders = PendingOrders.create()
  private dataCentresOut: ReadonlySet<string> = new Set()
  private readonly unreconciled = UnreconciledWorkers.create()
  private queueServices: ReadonlyMap<string, string> = new Map()
  private dirty = true

  private constructor (readonly epoch: number, private readonly observer: DispatchObserver) {
    this.jobs = JobTable.create({ epoch })
  }

  /**
   * Creates an engine without jobs and workers.
   * @param options The epoch.
   * @returns The engine.
   */
  static create (options: DispatchEngineOptions): DispatchEngine {
    return new DispatchEngine(options.epoch, options.observer ?? silentDispatchObserver)
  }

  /** Returns and clears the orders that were decided. */
  takeOrders (): DispatchOrder[] {
    return this.orders.take()
  }

  /** Sets the service of each queue, as the newest configuration has it. */
  setQueueServices (services: ReadonlyMap<string, string>): void {
    this.queueServices = services
    this.dirty = true
  }

  /** Sets the data centres that get no new work. */
  setDataCentresOut (dataCentres: ReadonlySet<string>): void {
    this.dataCentresOut = dataCentres
    this.dirty = true
  }

  /** Notes that something changed that may let a waiting task start. */
  markDirty (): void {
    this.dirty = true
  }

  /**
   * Adds a worker or takes note of a change of its entry.
   * @param entry The entry of the platform's list.
   * @returns The worker.
   */
  setWorker (entry: WorkerEntry): WorkerRecord {
    this.dirty = true
    const existing = this.workers.get(entry.workerId)
    if (existing === undefined) {
      const worker = createWorkerRecord(entry)
      this.workers.set(entry.workerId, worker)
      return worker
    }
    // A new life is believed when the worker itself reports it, together with what it runs.
    if (entry.bornAtMilliseconds > existing.entry.bornAtMilliseconds) this.markUnreachable(existing, null)
    existing.entry = { ...entry, bornAtMilliseconds: existing.entry.bornAtMilliseconds }
    existing.listed = true
    if (entry.state === 'draining') {
      for (const run of findRunsToDrain(existing)) this.orders.stop(existing, run)
    }
    return existing
  }

  /** Notes that the platform's list does not name the worker any more; its tasks may still run. */
  markRemoved (workerId: string): void {
    const worker = this.workers.get(workerId)
    if (worker !== undefined) worker.listed = false
  }

  /**
   * Notes a worker on which tasks of an earlier owner may run.
   * @param workerId The worker.
   * @param expiresAt Monotonic time from which nothing of an earlier owner can run there.
   */
  requireReconciliation (workerId: string, expiresAt: number): void {
    this.unreconciled.add(workerId, expiresAt)
  }

  /** Returns the workers that give no answer and may run tasks. */
  getUnresponsiveWorkers (): WorkerRecord[] {
    return [...this.workers.values()].filter(worker => worker.syncState !== 'synchronized' &&
      (worker.runs.size > 0 || this.unreconciled.has(worker.entry.workerId)))
  }

  /**
   * Notes that the process of a worker has ended, and with it all that ran there.
   * @param worker The worker.
   * @param now The monotonic time.
   */
  confirmWorkerExited (worker: WorkerRecord, now: number): void {
    for (const run of [...worker.runs.values()]) this.markRunLost(worker, run, 'worker-gone', now)
    worker.orphanedRuns.clear()
    this.unreconciled.markReconciled(worker.entry.workerId)
    this.dirty = true
  }

  /** Tells whether the runs of all earlier owners are known or certainly over. */
  isReconciled (): boolean {
    return this.unreconciled.isEmpty
  }

  /**
   * Applies the lists of a worker.
   * @param worker The worker.
   * @param report The lists.
   * @param sentAt Monotonic time at which the call was sent.
   * @param now The monotonic time.
   */
  applyReport (worker: WorkerRecord, report: WorkerReport, sentAt: number, now: number): void {
    const { entry } = worker
    if (report.bornAtMilliseconds !== entry.bornAtMilliseconds && report.bornAtMilliseconds > 0) {
      if (entry.bornAtMilliseconds > 0) this.handleWorkerRestart(worker, now)
      worker.entry = { ...entry, bornAtMilliseconds: report.bornAtMilliseconds }
    }
    worker.clockReading = { workerMilliseconds: report.workerMilliseconds, receivedAt: now }
    worker.reportedAt = sentAt
    worker.unansweredCallSentAt = null
    const context: ReportContext = {
      jobs: this.jobs,
      sentAt,
      now,
      stop: run => this.orders.stop(worker, run),
      stopOrphaned: (taskName, attempt) => this.orders.stopOrphaned(worker, taskName, attempt),
      failJob: job => this.failJob(job),
      stopRuns: task => this.stopRuns(task),
      markRunLost: run => this.markRunLost(worker, run, 'not-listed', now),
      reportIgnoredCompletion: (ended, reason) => this.observer.onCompletionIgnored(worker, ended, reason)
    }
    const changed = applyReport(worker, report, context)
    worker.syncState = 'synchronized'
    if (this.unreconciled.markReconciled(entry.workerId) || changed) this.dirty = true
    this.moveStalledRuns(worker, now)
    this.advisor.learn(worker, now)
    for (const { run, percent } of decidePace(worker, this.advisor, now)) {
      if (percent < SLOWED_BELOW_PERCENT) run.slowedSince ??= now
      else run.slowedSince = null
      run.pacePercent = percent
      run.progressedAt = now
      worker.bestEffortChangedAt = now
      this.orders.pace(worker, run, percent)
    }
  }

  /**
   * Notes that a call to a worker failed; it gets no new work until it answers one.
   * @param worker The worker.
   * @param sentAt Monotonic time at which the call was sent, or null when it was not sent.
   */
  markUnreachable (worker: WorkerRecord, sentAt: number | null): void {
    worker.unansweredCallSentAt = sentAt ?? worker.unansweredCallSentAt
    if (worker.syncState === 'synchronized') worker.syncState = 'unreachable'
  }

  /**
   * Applies the outcome of a start.
   * @param worker The worker.
   * @param run The run.
   * @param outcome What the worker answered.
   * @param now The monotonic time.
   */
  applyStartOutcome (worker: WorkerRecord, run: RunRecord, outcome: OrderOutcome, now: number): void {
    this.dirty = true
    if (!run.task.runs.includes(run)) return
    applyStartOutcome(worker, run, outcome, {
      now,
      stop: stopped => this.orders.stop(worker, stopped),
      markRunLost: (lost, cause) => this.markRunLost(worker, lost, cause, now)
    })
  }

  /**
   * Tells whether a start that was decided may still be sent.
   * @param worker The worker.
   * @param run The run.
   * @returns Whether its task still waits for it, and the worker may still get new work.
   */
  isStartNeeded (worker: WorkerRecord, run: RunRecord): boolean {
    return run.state === 'starting' && run.task.runs.includes(run) &&
      isInService(worker, this.getServiceName(run.task.step.occurrence.job), this.dataCentresOut)
  }

  /**
   * Frees the room of a run whose start was withdrawn before it was sent.
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
   * Applies the answer to a stop; a run that never began is over with the next list that does not name it.
   * @param run The run that was stopped.
   * @param outcome What the worker answered.
   * @param now The monotonic time.
   */
  applyStopOutcome (run: RunRecord, outcome: OrderOutcome, now: number): void {
    if (outcome.kind === 'accepted') run.confirmedAt ??= now
  }

  /** Cancels a job: its tasks are stopped and nothing of it starts any more. */
  cancelJob (jobId: string): void {
    const job = this.jobs.getJob(jobId)
    if (job === undefined || job.finalState !== null) return
    this.jobs.finish(job, 'cancelled')
    this.stopJob(job)
  }

  /**
   * Ends what can be known to be over by time alone, and starts what can start.
   * @param now The monotonic time.
   * @param wallMilliseconds The time of day.
   * @param mayStart Whether new starts are allowed now.
   * @param startLimit How many starts can be sent soon; the tasks beyond it are placed by a later plan, on newer lists.
   */
  plan (now: number, wallMilliseconds: number, mayStart: boolean, startLimit = Infinity): void {
    this.expireWorkers(now)
    if (!mayStart || !this.dirty || startLimit <= 0) return
    this.dirty = false
    const plan = StartPlan.create({
      workers: [...this.workers.values()],
      startLimit,
      getConditions: serviceName => this.getConditions(serviceName, now),
      start: (task, worker, attempt) => this.start(task, worker, attempt, now)
    })
    for (const job of rankJobs(this.getStartableJobs(wallMilliseconds), wallMilliseconds)) {
      this.jobs.createDueOccurrences(job, wallMilliseconds, now)
      this.placeJob(job, plan)
      if (plan.isFull) {
        this.dirty = true
        return
      }
    }
    this.moveSlowedRuns(now)
  }

  private placeJob (job: JobRecord, plan: StartPlan): void {
    const serviceName = this.getServiceName(job)
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) {
        if (step.doneCount === step.tasks.length || !isStepReady(step)) continue
        plan.placeStep(step, serviceName)
        if (plan.isFull) return
      }
    }
  }

  private getServiceName (job: JobRecord): string {
    return this.queueServices.get(job.submission.queueName) ?? job.submission.serviceName
  }

  private getStartableJobs (wallMilliseconds: number): JobRecord[] {
    return [...this.jobs.getJobs()].filter(job => job.finalState === null &&
      (!job.recovered || this.isReconciled()) && hasWaitingTask(job, wallMilliseconds))
  }

  private getConditions (serviceName: string, now: number): ChoiceConditions {
    return { serviceName, dataCentresOut: this.dataCentresOut, advisor: this.advisor, now }
  }

  /** Tasks that stand still go on elsewhere, and their worker gets nothing new for a while. */
  private moveStalledRuns (worker: WorkerRecord, now: number): void {
    const stalled = findStalledRuns(worker, now)
    if (stalled.length === 0) return
    pauseWorker(worker, now + STALLED_PAUSE_MILLISECONDS)
    for (const run of stalled) {
      run.task.failedWorkerIds.add(worker.entry.workerId)
      this.orders.stop(worker, run)
    }
  }

  /** A run that must stay slow beside what it disturbs goes on elsewhere, where that costs little work. */
  private moveSlowedRuns (now: number): void {
    for (const worker of this.workers.values()) {
      for (const run of worker.runs.values()) {
        if (!mayMoveSlowedRun(run, now)) continue
        const conditions = this.getConditions(worker.entry.serviceName, now)
        const other = chooseWorker(
          run.task, [...this.workers.values()], { ...conditions, excludedWorkerId: worker.entry.workerId })
        if (other === null || this.advisor.getInterferencePressure(other, run.task) > 0) continue
        run.slowedSince = null
        this.orders.stop(worker, run)
      }
    }
  }

  private start (task: TaskRecord, worker: WorkerRecord, attempt: number, now: number): void {
    const run = createRun(task, worker.entry.workerId, attempt, now)
    task.nextAttempt = attempt + 1
    addRun(worker, run)
    this.orders.start(worker, run)
  }

  private markRunLost (worker: WorkerRecord, run: RunRecord, cause: RunLossCause, now: number): void {
    this.observer.onRunLost(worker, run, cause, now)
    removeRun(worker, run, now)
  }

  private stopRuns (task: TaskRecord): void {
    for (const run of [...task.runs]) {
      const worker = this.workers.get(run.workerId)
      if (worker !== undefined && run.state !== 'stopping') this.orders.stop(worker, run)
    }
  }

  private stopJob (job: JobRecord): void {
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) for (const task of step.tasks) this.stopRuns(task)
    }
  }

  private failJob (job: JobRecord): void {
    if (job.finalState !== null) return
    this.jobs.finish(job, 'failed')
    this.stopJob(job)
  }

  /**
   * The worker's process is another one: nothing of the earlier life runs. An order that was sent since the last report
   * of the earlier life, or got no answer, may reach the new one, so its run is stopped and settled by the lists.
   */
  private handleWorkerRestart (worker: WorkerRecord, now: number): void {
    for (const run of [...worker.runs.values()]) {
      if (run.sentAt <= worker.reportedAt && !run.startUncertain) {
        this.markRunLost(worker, run, 'worker-restarted', now)
      } else {
        run.startUncertain = true
        this.orders.stop(worker, run)
      }
    }
    clearProcessState(worker)
    this.dirty = true
  }

  private expireWorkers (now: number): void {
    if (this.unreconciled.expire(this.workers)) this.dirty = true
    for (const worker of this.workers.values()) {
      if (worker.syncState === 'synchronized') continue
      const isExpired = isLeaseExpired(worker)
      if (isExpired && worker.runs.size > 0) {
        for (const run of [...worker.runs.values()]) this.markRunLost(worker, run, 'lease-expired', now)
        this.dirty = true
      }
      const isRemovable = !worker.listed && worker.runs.size === 0 && !this.unreconciled.has(worker.entry.workerId)
      if (isRemovable && (isExpired || worker.clockReading === null)) this.workers.delete(worker.entry.workerId)
    }
  }
}
