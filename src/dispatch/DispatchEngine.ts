import {
  isStepReady, type JobRecord, type RunRecord, type StepRecord, type TaskRecord
} from '../jobs/index.js'
import { chooseWorker, type ChoiceConditions } from './chooseWorker.js'
import { findStalledRuns } from './findStalledRuns.js'
import { ColocationAdvisor } from './ColocationAdvisor.js'
import { decidePace } from './decidePace.js'
import { silentDispatchObserver, type DispatchObserver, type RunLossCause } from './DispatchObserver.js'
import { JobTable } from './JobTable.js'
import { mayStartTasks } from './mayStartTasks.js'
import { rankJobs } from './rankJobs.js'
import { StartCandidates } from './StartCandidates.js'
import { applyReport, type ReportContext } from './applyReport.js'
import { selectGangPlacement } from './selectGangPlacement.js'
import type { OrderOutcome, WorkerReport } from './WorkerProtocol.js'
import {
  addRun, createWorkerRecord, isLeaseOver, isSent, removeRun, type WorkerEntry, type WorkerRecord
} from './WorkerRecord.js'

/** What the owner has to send. */
export type DispatchOrder =
  | { kind: 'start', worker: WorkerRecord, run: RunRecord }
  | { kind: 'stop', worker: WorkerRecord, taskName: string, attempt: number, run: RunRecord | null }
  | { kind: 'pace', worker: WorkerRecord, run: RunRecord, percent: number }

/** How long a worker gets no new work after it turned a start away as unhealthy. */
const UNHEALTHY_PAUSE_MILLISECONDS = 1500
/** A worker that a start could not be sent to gets none for this long; by then a call for its lists has failed too. */
const UNSENT_PAUSE_MILLISECONDS = 300
/** A draining worker's resumable tasks leave this long before its least remaining time ends. */
const DRAIN_MARGIN_MILLISECONDS = 1200

/** A run that was slowed below this for this long is moved, where another worker can take it without harm. */
const SLOWED_PERCENT = 35
const SLOWED_MILLISECONDS = 1600
/** A run without checkpoints is moved only while it would lose at most this much of its work. */
const LARGEST_LOST_PERCENT = 35

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
  private orders: DispatchOrder[] = []
  private dataCentresOut: ReadonlySet<string> = new Set()
  /** Workers that may run tasks of earlier owners and have not answered: identifier and time of certain expiry. */
  private readonly unresolved = new Map<string, number>()
  private queueServices: ReadonlyMap<string, string> = new Map()
  private dirty = true
  private readonly sizeKeys = new WeakMap<StepRecord, string>()
  /** How many more tasks the current plan may start. */
  private startsLeft = Infinity

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
    const { orders } = this
    this.orders = []
    return orders
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
    const known = this.workers.get(entry.workerId)
    if (known === undefined) {
      const worker = createWorkerRecord(entry)
      this.workers.set(entry.workerId, worker)
      return worker
    }
    // A new life is believed when the worker itself reports it, together with what it runs.
    if (entry.bornAtMilliseconds > known.entry.bornAtMilliseconds) this.markUnreachable(known, null)
    known.entry = { ...entry, bornAtMilliseconds: known.entry.bornAtMilliseconds }
    known.listed = true
    if (entry.state === 'draining') this.leaveDraining(known)
    return known
  }

  /** Notes that the platform's list does not name the worker any more; its tasks may still run. */
  unlistWorker (workerId: string): void {
    const worker = this.workers.get(workerId)
    if (worker !== undefined) worker.listed = false
  }

  /**
   * Notes a worker on which tasks of an earlier owner may run.
   * @param workerId The worker.
   * @param expiresAt Monotonic time from which nothing of an earlier owner can run there.
   */
  expectAnswer (workerId: string, expiresAt: number): void {
    this.unresolved.set(workerId, expiresAt)
  }

  /** Returns the workers that give no answer and may run tasks. */
  getSilentWorkers (): WorkerRecord[] {
    return [...this.workers.values()].filter(worker => worker.knowledge !== 'synchronized' &&
      (worker.runs.size > 0 || this.unresolved.has(worker.entry.workerId)))
  }

  /**
   * Notes that the process of a worker has ended, and with it all that ran there.
   * @param worker The worker.
   * @param now The monotonic time.
   */
  confirmGone (worker: WorkerRecord, now: number): void {
    for (const run of [...worker.runs.values()]) this.loseRun(worker, run, 'worker-gone', now)
    worker.foreignRuns.clear()
    this.unresolved.delete(worker.entry.workerId)
    this.dirty = true
  }

  /** Tells whether the runs of all earlier owners are known or certainly over. */
  isResolved (): boolean {
    return this.unresolved.size === 0
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
      if (entry.bornAtMilliseconds > 0) this.resetWorker(worker, now)
      worker.entry = { ...entry, bornAtMilliseconds: report.bornAtMilliseconds }
    }
    worker.clockReading = { workerMilliseconds: report.workerMilliseconds, receivedAt: now }
    worker.reportedAt = sentAt
    worker.unansweredCallSentAt = null
    const context: ReportContext = {
      jobs: this.jobs,
      sentAt,
      now,
      stop: (taskName, attempt, run) => this.orderStop(worker, taskName, attempt, run),
      failJob: job => this.failJob(job),
      stopCopies: task => this.stopRuns(task),
      loseRun: run => this.loseRun(worker, run, 'not-listed', now),
      ignoreEnd: (ended, reason) => this.observer.onEndIgnored(worker, ended, reason)
    }
    const changed = applyReport(worker, report, context)
    worker.knowledge = 'synchronized'
    if (this.unresolved.delete(entry.workerId) || changed) this.dirty = true
    this.moveStalledRuns(worker, now)
    this.advisor.learn(worker, now)
    for (const { run, percent } of decidePace(worker, this.advisor, now)) {
      if (percent < SLOWED_PERCENT) run.slowedSince ??= now
      else run.slowedSince = null
      run.pacePercent = percent
      run.progressedAt = now
      worker.fillChangedAt = now
      this.orders.push({ kind: 'pace', worker, run, percent })
    }
  }

  /**
   * Notes that a call to a worker failed; it gets no new work until it answers one.
   * @param worker The worker.
   * @param sentAt Monotonic time at which the call was sent, or null when it was not sent.
   */
  markUnreachable (worker: WorkerRecord, sentAt: number | null): void {
    worker.unansweredCallSentAt = sentAt ?? worker.unansweredCallSentAt
    if (worker.knowledge === 'synchronized') worker.knowledge = 'unreachable'
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
    if (outcome.kind === 'accepted') {
      run.startUncertain = false
      run.task.step.occurrence.job.hasStarted = true
      if (run.state === 'starting') run.state = 'running'
      run.settledAt = now
      run.progressedAt = now
      return
    }
    if (outcome.kind === 'not-sent') pauseWorker(worker, now + UNSENT_PAUSE_MILLISECONDS)
    if (outcome.kind === 'unhealthy') pauseWorker(worker, now + UNHEALTHY_PAUSE_MILLISECONDS)
    if (outcome.kind === 'unknown' || run.startUncertain) {
      run.startUncertain = true
      if (run.state === 'starting') this.orderStop(worker, run.task.name, run.attempt, run)
      return
    }
    // Another try of the same start was carried out, or a stop was answered: lists tell when the run is over.
    if (run.settledAt !== null) return
    this.loseRun(worker, run, outcome.kind === 'not-sent' ? 'not-sent' : 'start-refused', now)
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
    this.loseRun(worker, run, 'not-sent', now)
  }

  /**
   * Applies the answer to a stop; a run that never began is over with the next list that does not name it.
   * @param run The run that was stopped.
   * @param outcome What the worker answered.
   * @param now The monotonic time.
   */
  applyStopOutcome (run: RunRecord, outcome: OrderOutcome, now: number): void {
    if (outcome.kind === 'accepted') run.settledAt ??= now
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
    this.startsLeft = startLimit
    this.dirty = false
    const blocked = new Set<string>()
    const candidatesOf = new Map<string, StartCandidates>()
    const workers = this.getWorkers()
    for (const job of rankJobs(this.getStartableJobs(wallMilliseconds), wallMilliseconds)) {
      this.jobs.openDueOccurrences(job, wallMilliseconds, now)
      const serviceName = this.queueServices.get(job.submission.queueName) ?? job.submission.serviceName
      const conditions = this.getConditions(serviceName, now)
      const candidates = candidatesOf.get(serviceName) ?? StartCandidates.create(workers, conditions)
      candidatesOf.set(serviceName, candidates)
      for (const occurrence of job.occurrences.values()) {
        for (const step of occurrence.steps) {
          if (step.doneCount === step.tasks.length || !isStepReady(step)) continue
          this.startTasks(step, conditions, candidates, blocked)
          if (this.startsLeft <= 0) {
            this.dirty = true
            return
          }
        }
      }
    }
    this.moveSlowedRuns(now)
  }

  private getStartableJobs (wallMilliseconds: number): JobRecord[] {
    return [...this.jobs.getJobs()].filter(job => job.finalState === null &&
      (!job.recovered || this.isResolved()) && mayStartTasks(job, wallMilliseconds))
  }

  private getWorkers (): readonly WorkerRecord[] {
    return [...this.workers.values()]
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
      run.task.failedOn.add(worker.entry.workerId)
      this.orderStop(worker, run.task.name, run.attempt, run)
    }
  }

  /** A run that must stay slow beside what it disturbs goes on elsewhere, where that costs little work. */
  private moveSlowedRuns (now: number): void {
    for (const worker of this.workers.values()) {
      for (const run of worker.runs.values()) {
        if (run.slowedSince === null || now - run.slowedSince < SLOWED_MILLISECONDS || run.state !== 'running') continue
        if (!run.task.step.specification.fills) continue
        if (!run.task.step.specification.checkpointing && run.percent > LARGEST_LOST_PERCENT) continue
        const conditions = this.getConditions(worker.entry.serviceName, now)
        const other = chooseWorker(
          run.task, this.getWorkers(), { ...conditions, excludedWorkerId: worker.entry.workerId })
        if (other === null || this.advisor.getPressure(other, run.task) > 0) continue
        run.slowedSince = null
        this.orderStop(worker, run.task.name, run.attempt, run)
      }
    }
  }

  private startTasks (
    step: StepRecord, conditions: ChoiceConditions, candidates: StartCandidates, blocked: Set<string>
  ): void {
    const { specification } = step
    if (specification.gang) {
      const placement = selectGangPlacement(step, this.workers.values(), conditions)
      const attempt = Math.max(...step.tasks.map(task => task.nextAttempt))
      for (const { task, worker } of placement) this.start(task, worker, attempt, conditions.now)
      return
    }
    // A step whose size did not fit a moment ago does not fit now either; the search is the costly part.
    const size = this.getKnownSizeKey(step)
    if (blocked.has(size)) return
    for (const task of step.tasks) {
      if (task.done || task.runs.length > 0) continue
      if (this.startsLeft <= 0) return
      const worker = candidates.choose(task)
      if (worker === null) {
        blocked.add(size)
        return
      }
      this.start(task, worker, task.nextAttempt, conditions.now)
    }
  }

  private getKnownSizeKey (step: StepRecord): string {
    const known = this.sizeKeys.get(step)
    if (known !== undefined) return known
    const size = getSizeKey(step)
    this.sizeKeys.set(step, size)
    return size
  }

  private start (task: TaskRecord, worker: WorkerRecord, attempt: number, now: number): void {
    const run: RunRecord = {
      task,
      attempt,
      workerId: worker.entry.workerId,
      state: 'starting',
      startedAt: now,
      sentAt: -Infinity,
      startUncertain: false,
      settledAt: null,
      percent: 0,
      progressedAt: now,
      usageFigure: 0,
      pacePercent: 100,
      overTargetSince: null,
      slowedSince: null
    }
    this.startsLeft--
    task.nextAttempt = attempt + 1
    addRun(worker, run)
    this.orders.push({ kind: 'start', worker, run })
  }

  private loseRun (worker: WorkerRecord, run: RunRecord, cause: RunLossCause, now: number): void {
    this.observer.onRunLost(worker, run, cause, now)
    removeRun(worker, run, now)
  }

  private orderStop (worker: WorkerRecord, taskName: string, attempt: number, run: RunRecord | null): void {
    if (run !== null) {
      run.state = 'stopping'
      // Only an answer to this stop settles a start that got none.
      if (run.startUncertain) run.settledAt = null
      // A start that still waits to be sent is withdrawn; the worker knows nothing of it.
      if (!isSent(run)) return
    }
    this.orders.push({ kind: 'stop', worker, taskName, attempt, run })
  }

  private stopRuns (task: TaskRecord): void {
    for (const run of [...task.runs]) {
      const worker = this.workers.get(run.workerId)
      if (worker !== undefined && run.state !== 'stopping') this.orderStop(worker, task.name, run.attempt, run)
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

  /** Tasks that can resume, or that never end, leave a draining worker; others get the time that is left. */
  private leaveDraining (worker: WorkerRecord): void {
    const remaining = worker.entry.remainingMilliseconds ?? 0
    for (const run of worker.runs.values()) {
      if (run.state !== 'running') continue
      const { checkpointing, longRunning, estimateMilliseconds } = run.task.step.specification
      const isTooLong = estimateMilliseconds > remaining - DRAIN_MARGIN_MILLISECONDS
      if (longRunning || (checkpointing && isTooLong)) this.orderStop(worker, run.task.name, run.attempt, run)
    }
  }

  /**
   * The worker's process is another one: nothing of the earlier life runs. An order that was sent since the last report
   * of the earlier life may have reached the new one, so its run is stopped and settled by the lists.
   */
  private resetWorker (worker: WorkerRecord, now: number): void {
    for (const run of [...worker.runs.values()]) {
      if (run.sentAt <= worker.reportedAt) {
        this.loseRun(worker, run, 'worker-restarted', now)
      } else {
        run.startUncertain = true
        this.orderStop(worker, run.task.name, run.attempt, run)
      }
    }
    worker.foreignRuns.clear()
    worker.appliedEnd = 0
    worker.acknowledgeableEnd = 0
    worker.leaseDeadline = 0
    worker.clockReading = null
    worker.knowledge = 'unknown'
    worker.failureStreak = 0
    this.dirty = true
  }

  private expireWorkers (now: number): void {
    for (const [workerId, expiresAt] of this.unresolved) {
      // Ends of before the expiry are in the lists of a worker that this owner has not asked yet.
      const askedAt = this.workers.get(workerId)?.unansweredCallSentAt ?? null
      if (askedAt !== null && askedAt >= expiresAt) {
        this.unresolved.delete(workerId)
        this.dirty = true
      }
    }
    for (const worker of this.workers.values()) {
      if (worker.knowledge === 'synchronized') continue
      const isOver = isLeaseOver(worker)
      if (isOver && worker.runs.size > 0) {
        for (const run of [...worker.runs.values()]) this.loseRun(worker, run, 'lease-expired', now)
        this.dirty = true
      }
      const isForgettable = !worker.listed && worker.runs.size === 0 && !this.unresolved.has(worker.entry.workerId)
      if (isForgettable && (isOver || worker.clockReading === null)) this.workers.delete(worker.entry.workerId)
    }
  }
}

function pauseWorker (worker: WorkerRecord, until: number): void {
  worker.quarantinedUntil = Math.max(worker.quarantinedUntil, until)
}

function getSizeKey (step: StepRecord): string {
  const { specification: s, occurrence } = step
  const place = s.maximumPerWorker > 0 ? `${occurrence.job.submission.jobId}.${occurrence.number}.${step.index}` : ''
  return `${occurrence.job.submission.queueName} ${s.fills} ${s.processorsMilli} ${s.memoryMegabytes} ` +
    `${s.accelerators} ${s.requiredLabel} ${place}`
}
