import { LoadMeter, type LoadSummary } from '../admission/index.js'
import {
  DispatchEngine, type GangTimes, type LearnedEffects, type WorkerCensus, type WorkerClient, type WorkerEntry,
  type WorkerRecord
} from '../dispatch/index.js'
import type { Fence } from '../leases/ShardLease.js'
import type { Clock } from '../shared/Clock.js'
import type { ElapsedTime } from '../shared/ElapsedTime.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import { RepeatBudget } from '../shared/RepeatBudget.js'
import type { TableFeed } from '../table/TableFeed.js'
import { TableFollower } from '../table/TableFollower.js'
import type { TableLimits } from '../table/TableLimits.js'
import type { Row, TableService } from '../table/TableService.js'
import type { TransactionRepeater } from '../table/TransactionRepeater.js'
import { createDispatchObserver } from './createDispatchObserver.js'
import { EarlierStarts } from './EarlierStarts.js'
import { FinishedJobCleaner } from './FinishedJobCleaner.js'
import { decodeHeldWorker, decodeUnreachedRecord, JOB_TABLE } from './jobRows.js'
import type { InstanceMetrics } from './InstanceMetrics.js'
import { LEASE_RENEWAL_LIMIT_MILLISECONDS, TASK_START_LIMIT_MILLISECONDS } from './ownerTimeLimits.js'
import { JobRowReader } from './JobRowReader.js'
import { LearnedEffectsWriter } from './LearnedEffectsWriter.js'
import { EventLoopDelayMonitor } from './EventLoopDelayMonitor.js'
import { OrderSender } from './OrderSender.js'
import { ProgressWriter } from './ProgressWriter.js'
import { RecoveryMonitor } from './RecoveryMonitor.js'
import { ShardRowLoader } from './ShardRowLoader.js'
import { SiteUpdater, type ChangedWorkers, type SiteState } from './SiteUpdater.js'
import { WaitingCounter } from './WaitingCounter.js'
import { WaitMonitor } from './WaitMonitor.js'
import { WorkerLeaseLoops } from './WorkerLeaseLoops.js'
import { WorkerRegistry } from './WorkerRegistry.js'

/** Options of a dispatcher. */
export interface ShardDispatcherOptions {
  shardId: string
  fence: Fence
  tableService: TableService
  /** Repeats writes to the store while their responses are overdue; each is sent once at a time by default. */
  repeater?: TransactionRepeater
  tableLimits: TableLimits
  feed: TableFeed
  site: SiteState
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  livenessSource: WorkerCensus
  metrics: InstanceMetrics
  /** The longest lease that workers grant. */
  leaseMilliseconds: number
  /** The time limits of gangs; those of `DEFAULT_GANG_TIMES` by default. */
  gangTimes?: GangTimes
  /** Whether long-running and useless work gives way to urgent work in an overload; false by default. */
  protectsUrgentWork?: boolean
  /** Monotonic time by which all worker leases granted by earlier owners have expired. */
  earlierLeasesEndAt: number
  /**
   * Monotonic time until which an earlier owner may still start tasks on workers that this owner has not reached; null
   * when it has stopped.
   */
  earlierStartsEndAt: number | null
  /** The row version since which all owners have stored assignments, see `ShardLease`; null when some have not. */
  assignmentsStoredSince: number | null
  /** The number of processors of this process, which may be a fraction. */
  processors: number
  /** Whether the load is measured and published for admission control; false by default. */
  isAdmissionEnabled?: boolean
  createWorkerClient (entry: WorkerEntry): WorkerClient
  /** Returns a number from 0 to 1 for the random part of retry delays. */
  random (): number
  /** Returns the milliseconds since the last successful renewal of the ownership. */
  getRenewalAge (): number
  onDeposed (reason: string): void
}

/** Changes that occur within this time are planned together. */
const PLAN_DELAY_MILLISECONDS = 8
/** No further starts are planned while this many orders delay them: about 0.2 s of them at 300 starts a second. */
const QUEUED_ORDER_LIMIT = 64
/** No further starts of long-running tasks are planned while the assignments of this many are being stored. */
const STORED_START_LIMIT = 32
/** The most repeats of calls to workers that an owner makes per second with one processor. */
const WORKER_CALL_REPEATS_PER_PROCESSOR = 1000
/** Interval at which expired leases and due occurrences are handled. */
const TICK_MILLISECONDS = 200
/** Bounds the detection of a dead connection, as a cancelled job must stop within 3 s. */
const FEED_WAIT_MILLISECONDS = 1500
/** The first report of a worker waits this long for the jobs, so that its lease is renewed while the store is away. */
const REPORT_DELAY_LIMIT_MILLISECONDS = 1500
const LOAD_RETRY_MILLISECONDS = 200
/** Interval at which the platform is asked which worker processes are alive, while some do not respond. */
const LIVENESS_CHECK_MILLISECONDS = 400
/** After this time a check of the living workers counts as lost, and the next one begins. */
const LONGEST_LIVENESS_CHECK_MILLISECONDS = 5000

/** Runs one shard as its owner: loads its jobs, renews worker leases, sends orders, and stores progress. */
export class ShardDispatcher {
  readonly engine: DispatchEngine
  private readonly writer: ProgressWriter
  private readonly learnedEffectsWriter: LearnedEffectsWriter
  private readonly cleaner: FinishedJobCleaner
  private readonly sender: OrderSender
  private readonly registry: WorkerRegistry
  private readonly eventLoopDelay: EventLoopDelayMonitor
  /** The repeats of all calls to workers. */
  readonly workerCallRepeats: RepeatBudget
  private readonly recoveryMonitor: RecoveryMonitor
  private readonly waitMonitor: WaitMonitor
  private readonly loops: WorkerLeaseLoops
  private readonly jobRows: JobRowReader
  private readonly siteUpdater: SiteUpdater
  private readonly rowLoader: ShardRowLoader
  private readonly waitingCounter: WaitingCounter
  private readonly loadMeter: LoadMeter | null
  private jobFollower: TableFollower | null = null
  /** The time since the job table was read for the load. */
  private sinceLoadRead: ElapsedTime | null = null
  private stopped = false
  private draining = false
  private planScheduled = false
  private nextLivenessCheckAt = 0
  private cancelTick: () => void = () => {}
  private loaded = false
  private readonly earlierStarts: EarlierStarts
  private earlierLeasesEndAt: number

  private constructor (private readonly options: ShardDispatcherOptions) {
    const observer = createDispatchObserver(options.logger, options.metrics)
    this.engine = DispatchEngine.create({
      epoch: options.fence.epoch,
      observer,
      leaseMilliseconds: options.leaseMilliseconds,
      gangTimes: options.gangTimes,
      protectsUrgentWork: options.protectsUrgentWork
    })
    this.loadMeter = options.isAdmissionEnabled === true
      ? LoadMeter.create({ ...this.engine, epoch: options.fence.epoch })
      : null
    this.eventLoopDelay = EventLoopDelayMonitor.create(options)
    const repeatsPerSecond = WORKER_CALL_REPEATS_PER_PROCESSOR * options.processors
    this.workerCallRepeats = RepeatBudget.create({
      clock: options.clock,
      repeatsPerSecond,
      reserve: repeatsPerSecond,
      isOverloaded: () => this.eventLoopDelay.isLate
    })
    this.recoveryMonitor = RecoveryMonitor.create({ ...options, engine: this.engine })
    this.earlierLeasesEndAt = options.earlierLeasesEndAt
    this.waitMonitor = WaitMonitor.create({
      ...options, engine: this.engine, getStartObstacle: () => this.getStartObstacle()
    })
    this.waitingCounter = WaitingCounter.create({
      ...options, jobs: this.engine.jobs, epoch: options.fence.epoch, getReadAge: () => this.getJobReadAge()
    })
    this.engine.earlierStartsEndAt = options.earlierStartsEndAt ?? -Infinity
    this.earlierStarts = EarlierStarts.create({ endAt: options.earlierStartsEndAt })
    this.rowLoader = ShardRowLoader.create(options)
    this.cleaner = FinishedJobCleaner.create(options)
    this.jobRows = JobRowReader.create({
      ...options,
      jobs: this.engine.jobs,
      cleaner: this.cleaner,
      cancelJob: jobId => this.engine.cancelJob(jobId)
    })
    this.learnedEffectsWriter = LearnedEffectsWriter.create({ ...options, engine: this.engine })
    this.sender = OrderSender.create({
      ...options,
      engine: this.engine,
      repeats: this.workerCallRepeats,
      mayStart: () => this.mayStart(),
      storeAssignment: run => this.writer.waitForTask(run.task),
      onChange: () => this.schedulePlan()
    })
    this.registry = WorkerRegistry.create({
      ...options,
      onRegistered: () => {
        this.engine.markDirty()
        this.schedulePlan()
      }
    })
    this.loops = WorkerLeaseLoops.create({
      ...options,
      engine: this.engine,
      repeats: this.workerCallRepeats,
      mayRenewLeases: () => this.getRenewalAge() < LEASE_RENEWAL_LIMIT_MILLISECONDS,
      prepareReport: async worker => await this.readJobsBeforeReport(worker),
      onReport: worker => {
        if (!worker.registered) this.registry.register(this.engine.workers)
        this.siteUpdater.review(worker.entry.workerId)
        this.sender.handleReport(worker)
        this.schedulePlan()
      },
      onFenced: () => options.onDeposed('a worker rejected a lease renewal with an old epoch'),
      waitForDurability: () => this.writer.waitForDurability()
    })
    this.siteUpdater = SiteUpdater.create({
      site: options.site, engine: this.engine, follow: (worker, entry) => this.loops.follow(worker, entry)
    })
    this.writer = ProgressWriter.create({
      ...options,
      engine: this.engine,
      onDurable: finished => {
        for (const job of finished) {
          options.metrics.finishedJobs.inc({ state: job.finalState ?? 'unknown' })
          this.jobRows.removeRows(job)
          options.logger.info('job finished', { job: job.submission.jobId, state: job.finalState })
        }
      },
      onDeposed: () => options.onDeposed('a progress write conflicted with another owner')
    })
  }

  /**
   * Creates a dispatcher that does nothing before `run`.
   * @param options The shard, the fence, the store, the site and the callbacks.
   * @returns The dispatcher.
   */
  static create (options: ShardDispatcherOptions): ShardDispatcher {
    return new ShardDispatcher(options)
  }

  /** Whether the event loop is late, so that responses may be waiting to be read. */
  get isLate (): boolean {
    return this.eventLoopDelay.isLate
  }

  /** Whether the jobs are loaded, so that queries about them get complete answers. */
  get isLoaded (): boolean {
    return this.loaded
  }

  /** Loads the shard and runs it until the dispatcher is stopped. */
  async run (): Promise<void> {
    while (!this.stopped && !await this.tryToLoad()) await this.pause(LOAD_RETRY_MILLISECONDS)
    if (this.stopped) return
    this.loaded = true
    const { jobs, workers } = this.engine
    this.options.logger.info('shard loaded', { jobs: [...jobs.getJobs()].length, workers: workers.size })
    this.updateSite()
    this.writer.run()
    this.cleaner.start()
    this.tick()
  }

  /**
   * Limits the wait for workers that are not reconciled, because their leases are known to expire earlier.
   * @param leasesEndAt Monotonic time by which all worker leases granted by earlier owners have expired.
   */
  limitEarlierLeases (leasesEndAt: number): void {
    this.earlierLeasesEndAt = Math.min(this.earlierLeasesEndAt, leasesEndAt)
    this.engine.unreconciled.limitExpiries(leasesEndAt)
  }

  /** Stops starting tasks; leases are still renewed. */
  drain (): void {
    this.draining = true
  }

  /** Stops the dispatcher; outcomes of calls in flight are ignored. */
  stop (): void {
    this.stopped = true
    this.cancelTick()
    this.writer.stop()
    this.cleaner.stop()
    this.sender.stop()
    this.registry.stop()
    this.jobFollower?.stop()
    this.loops.stopAll()
    this.waitingCounter.stop()
  }

  /**
   * Counts the jobs of a queue that have not started yet.
   * @param queueName The queue.
   * @returns The number, or null before the jobs are loaded and while they or the ownership are outdated.
   */
  countWaiting (queueName: string): number | null {
    return this.loaded ? this.waitingCounter.count(queueName) : null
  }

  /** Returns the load of the shard; null where it is not measured and before the jobs are loaded. */
  getLoad (): LoadSummary | null {
    return this.loaded ? this.loadMeter?.getSummary(this.now()) ?? null : null
  }

  /** Stores progress that is not durable yet, before the shard is released. */
  async flush (): Promise<void> {
    await this.writer.flush()
  }

  /**
   * Applies changes of the workers, queues and data centres of the site to the engine.
   * @param changedWorkers The workers whose entries have changed.
   */
  updateSite (changedWorkers: ChangedWorkers = 'all'): void {
    if (!this.loaded || this.stopped || !this.siteUpdater.update(changedWorkers)) return
    this.registry.register(this.engine.workers)
    this.schedulePlan()
  }

  private async tryToLoad (): Promise<boolean> {
    let isLoaded = false
    await this.options.errors.runAsync('shard-load', async () => { isLoaded = await this.load() })
    return isLoaded
  }

  private async load (): Promise<boolean> {
    const rows = await this.rowLoader.load()
    if (rows === null || this.stopped) return false
    const { jobs, learned, unreachedReadAt } = rows
    this.sinceLoadRead = rows.sinceJobsRead
    for (const { value } of learned) {
      this.options.errors.run('learned-row', () => this.engine.advisor.import(value as unknown as LearnedEffects))
    }
    this.jobRows.load(jobs.rows, rows.progress)
    const remainingLeases = this.restoreUnreachedWorkers(rows.unreached)
    for (const row of rows.holding) {
      const worker = this.engine.setWorker(decodeHeldWorker(row.key, row.value))
      worker.registered = true
      worker.listed = false
      const remaining = remainingLeases.get(row.key) ?? Infinity
      const leasesEndAt = Math.min(this.earlierLeasesEndAt, unreachedReadAt + remaining)
      this.engine.unreconciled.add(row.key, leasesEndAt)
      this.loops.follow(worker)
    }
    if (this.engine.unreconciled.isEmpty) this.engine.jobs.confirmRecovered()
    this.followJobs(jobs.version)
    return true
  }

  /** Returns the milliseconds until the leases of workers that earlier owners did not reach have expired. */
  private restoreUnreachedWorkers (rows: readonly Row[]): ReadonlyMap<string, number> {
    if (rows.length === 0) return new Map()
    const record = decodeUnreachedRecord(rows.map(row => row.value))
    this.engine.unreached.restore(record)
    // An owner that does not know the record may have renewed the leases of its workers.
    const { assignmentsStoredSince } = this.options
    const isCurrent = assignmentsStoredSince !== null && rows[0].version > assignmentsStoredSince
    return new Map(isCurrent ? Object.entries(record) : [])
  }

  private followJobs (startVersion: number): void {
    const { feed, clock, logger, errors, random } = this.options
    this.jobFollower = TableFollower.create({
      table: JOB_TABLE,
      startVersion,
      feed,
      clock,
      logger,
      errors,
      random,
      waitMilliseconds: FEED_WAIT_MILLISECONDS,
      onSnapshot: snapshot => this.addJobs(snapshot.rows),
      onChanges: changes => this.addJobs(changes.flatMap(change => change.row === null ? [] : [change.row]))
    })
    this.jobFollower.run()
  }

  private addJobs (rows: Row[]): void {
    this.jobRows.add(rows, !this.engine.unreconciled.isEmpty && !this.earlierStarts.areOver)
    this.engine.markDirty()
    this.schedulePlan()
  }

  /**
   * Reads the job table again before the first report of a worker is applied. A report to this owner shows that an
   * earlier one starts nothing there any more, but it may name runs of jobs that were stored after the load. They would
   * be stopped as runs without a job, and their tasks would start elsewhere.
   */
  private async readJobsBeforeReport (worker: WorkerRecord): Promise<void> {
    const { workerId } = worker.entry
    if (!this.engine.unreconciled.has(workerId) || this.jobFollower === null) return
    const { clock, logger } = this.options
    let cancelTimer = () => {}
    const timeout = new Promise<'timeout'>(resolve => {
      cancelTimer = clock.setTimer(REPORT_DELAY_LIMIT_MILLISECONDS, () => resolve('timeout'))
    })
    const outcome = await Promise.race([this.jobFollower.catchUp(), timeout])
    cancelTimer()
    if (outcome === 'timeout') logger.warn('report applied without new jobs', { worker: workerId })
  }

  private tick (): void {
    if (this.stopped) return
    const now = this.options.clock.monotonicMilliseconds()
    this.cancelTick = this.options.clock.setTimer(TICK_MILLISECONDS, () => {
      this.eventLoopDelay.recordTick(now + TICK_MILLISECONDS)
      this.tick()
    })
    const { errors } = this.options
    this.engine.markDirty()
    this.plan()
    this.earlierStarts.update(this.jobFollower?.getReadAt() ?? -Infinity)
    errors.run('tick', () => this.runPeriodicTasks(now))
    if (now >= this.nextLivenessCheckAt) {
      errors.runAsync('liveness-check', async () => await this.checkUnresponsiveWorkers())
    }
    this.learnedEffectsWriter.storeIfDue(now)
  }

  private runPeriodicTasks (now: number): void {
    this.engine.jobs.expireFinalStates(now)
    this.recoveryMonitor.check()
    this.waitMonitor.check()
    this.loadMeter?.measure(now, this.options.clock.wallMilliseconds())
    const removedWorkerIds = this.loops.getWorkerIds().filter(workerId => !this.engine.workers.has(workerId))
    for (const workerId of removedWorkerIds) this.loops.stop(workerId)
    this.registry.unregister(removedWorkerIds)
  }

  /** Asks the platform which worker processes are alive, if any that may run tasks do not respond. */
  private async checkUnresponsiveWorkers (): Promise<void> {
    const unresponsiveWorkers = this.engine.getUnresponsiveWorkers()
    if (unresponsiveWorkers.length === 0) return
    const askedAt = this.now()
    this.nextLivenessCheckAt = askedAt + LONGEST_LIVENESS_CHECK_MILLISECONDS
    const living = await this.options.livenessSource.listLiveWorkers()
    this.nextLivenessCheckAt = this.now() + LIVENESS_CHECK_MILLISECONDS
    if (this.stopped || living.kind !== 'ok') return
    for (const worker of unresponsiveWorkers) {
      const { workerId } = worker.entry
      if (living.value.has(workerId) || worker.syncState === 'synchronized') continue
      // The list may be from before the process started that has reported since.
      if (worker.reportedAt >= askedAt) continue
      this.options.logger.info('worker process has ended', { worker: workerId, runs: worker.runs.size })
      this.options.metrics.endedWorkers.inc()
      this.engine.confirmWorkerExited(worker, this.now())
    }
    this.schedulePlan()
  }

  private schedulePlan (): void {
    if (this.planScheduled || this.stopped) return
    this.planScheduled = true
    this.options.clock.setTimer(PLAN_DELAY_MILLISECONDS, () => {
      this.planScheduled = false
      this.plan()
    })
  }

  private plan (): void {
    if (!this.stopped) this.options.errors.run('plan', () => this.planAndSend())
  }

  private planAndSend (): void {
    const { clock } = this.options
    const now = clock.monotonicMilliseconds()
    this.sender.withdrawUnneeded()
    const startLimit = QUEUED_ORDER_LIMIT - this.sender.delayingCount
    const storedStartLimit = STORED_START_LIMIT - this.sender.storingCount
    const gangStartLimit = this.engine.gangs.attempts.largestGang - this.sender.queuedGangStartCount
    this.engine.plan(now, clock.wallMilliseconds(), this.mayStart(), startLimit, storedStartLimit, gangStartLimit)
    for (const order of this.engine.takeOrders()) {
      const client = this.loops.getClient(order.worker.entry.workerId)
      if (client !== undefined) this.sender.send(order, client)
    }
  }

  private mayStart (): boolean {
    return this.getStartObstacle() === null
  }

  /** Returns why no task may start now, null when tasks may. */
  private getStartObstacle (): string | null {
    if (this.draining) return 'owner-draining'
    if (!this.loaded) return 'not-loaded'
    if (this.options.site.getConfiguration() === null) return 'no-configuration'
    return this.getRenewalAge() < TASK_START_LIMIT_MILLISECONDS ? null : 'renewal-too-old'
  }

  private getJobReadAge (): number {
    return Math.min(this.jobFollower?.getReadAge() ?? Infinity, this.sinceLoadRead?.getMilliseconds() ?? Infinity)
  }

  private getRenewalAge (): number {
    return this.options.getRenewalAge()
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
