import type { Registry } from 'prom-client'
import { AdmissionControl, type LoadSummary } from '../admission/index.js'
import { isForeignAccount } from '../accounts/index.js'
import type { DispatchEngine, GangTimes, WorkerCensus, WorkerClient, WorkerEntry } from '../dispatch/index.js'
import type { Clock } from '../shared/Clock.js'
import { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import type { ListedObjectStore } from '../table/ListedObjectStore.js'
import type { TableFeed } from '../table/TableFeed.js'
import type { TableLimits } from '../table/TableLimits.js'
import type { TableService } from '../table/TableService.js'
import { TransactionRepeater } from '../table/TransactionRepeater.js'
import { createAccountMetrics } from './createAccountMetrics.js'
import { describeAccounts, type AccountDescription } from './describeAccounts.js'
import { getPublishingDelay } from './getPublishingDelay.js'
import { createInstanceMetrics, type InstanceMetrics } from './InstanceMetrics.js'
import { JobGateway } from './JobGateway.js'
import { OwnerElection, type InstanceResources, type Takeover } from './OwnerElection.js'
import type { OwnerApi, OwnerPeer } from './OwnerPeer.js'
import { TASK_START_LIMIT_MILLISECONDS } from './ownerTimeLimits.js'
import { ShardDispatcher } from './ShardDispatcher.js'
import type { ChangedWorkers } from './SiteUpdater.js'
import { SiteWatch, type PlatformTables } from './SiteWatch.js'

/** Options of an instance. */
export interface InstanceOptions {
  instanceId: string
  region: string
  /** The address at which peers reach this process. */
  peerAddress: string
  /** Client for ownership and shard state, separate so that calls of callers cannot delay lease renewals. */
  ownerTable: TableService
  /** Client for the calls of callers and peers. */
  callerTable: TableService
  /** Client for the repeats of the writes of callers, on other connections; `callerTable` by default. */
  callerRepeatTable?: TableService
  tableLimits: TableLimits
  feed: TableFeed
  objects: ListedObjectStore
  platform: PlatformTables
  peer: OwnerPeer
  livenessSource: WorkerCensus
  registry: Registry
  clock: Clock
  logger: Logger
  /** The longest lease that workers grant. */
  leaseMilliseconds: number
  /** The time limits of gangs; those of `DEFAULT_GANG_TIMES` by default. */
  gangTimes?: GangTimes
  resources: InstanceResources
  /** How long a removed key of a caller may be accepted; Infinity, the default, for no limit. */
  keyRemovalMilliseconds?: number
  /** Whether jobs may be refused because of the load; false by default. */
  isAdmissionEnabled?: boolean
  /** Whether long-running and useless work gives way to urgent work in an overload; false by default. */
  protectsUrgentWork?: boolean
  createWorkerClient (entry: WorkerEntry): WorkerClient
  random (): number
}

/** All jobs of a site belong to one shard; see docs/platform.md for the sizes at which it is split. */
const SHARD_ID = 'site'
/** A process whose last contact with the operators' table is older is not ready: its configuration may be outdated. */
const READY_CONTACT_AGE_LIMIT_MILLISECONDS = 4000
/** The repeats of the owner's writes: all instances together may make 800 writes per second. */
const OWNER_WRITE_REPEATS_PER_SECOND = 40
/** The repeats of the writes of callers and peers. */
const CALLER_WRITE_REPEATS_PER_SECOND = 20
/** The wait of a read of the configuration, so that one lost call leaves time for the next within the limit. */
const KEY_REMOVAL_WAIT_SHARE = 0.2
/** Worker clocks may be 2% slow; the remaining 3% covers the network delay of the last renewal. */
const LEASE_MARGIN_SHARE = 0.05

/** One process of the system, which serves callers and runs the shard while it is the elected owner. */
export class Instance {
  readonly gateway: JobGateway
  readonly ownerApi: OwnerApi
  /** Confines unexpected errors, and counts them in the metrics of this instance. */
  readonly errors: ErrorBoundary
  readonly metrics: InstanceMetrics
  /** Repeats the owner's writes. */
  private readonly ownerRepeater: TransactionRepeater
  private readonly election: OwnerElection
  private readonly site: SiteWatch
  private dispatcher: ShardDispatcher | null = null
  private stopping = false

  private constructor (private readonly options: InstanceOptions) {
    const { ownerTable, callerTable, clock, logger, peer, instanceId, region, peerAddress } = options
    this.metrics = createInstanceMetrics(options.registry, {
      isOwner: () => this.election.isOwner(),
      countLiveJobs: () => this.dispatcher?.engine.jobs.liveCount ?? 0,
      countUnreconciledWorkers: () => this.dispatcher?.engine.unreconciled.getExpiries().size ?? 0,
      countOpenStarts: () => this.dispatcher?.engine.openStarts.taskCount ?? 0
    })
    createAccountMetrics(options.registry, {
      getUsages: () => {
        const accounts = this.getOwnerEngine()?.accounts
        return accounts?.hasKnownAccounts === true ? accounts.getAll() : []
      },
      describeAccounts: () => this.describeAccounts() ?? []
    })
    const errors = ErrorBoundary.create({
      clock, logger, onError: activity => this.metrics.unexpectedErrors.inc({ activity })
    })
    this.errors = errors
    this.site = SiteWatch.create({
      platform: options.platform,
      objects: options.objects,
      clock,
      logger,
      errors,
      largeTableObserver: {
        copyPublished: () => this.metrics.tableCopiesPublished.inc(),
        copyUsed: () => this.metrics.tableCopiesUsed.inc(),
        wholeRead: cause => this.metrics.wholeTableReads.inc({ cause })
      },
      resourceDelayMilliseconds: getPublishingDelay(options.resources),
      isPublisher: () => this.election.isOwner(),
      random: options.random,
      longestOperatorWaitMilliseconds: (options.keyRemovalMilliseconds ?? Infinity) * KEY_REMOVAL_WAIT_SHARE,
      onChange: changed => this.updateDispatcher(changed)
    })
    this.ownerRepeater = this.createRepeater(OWNER_WRITE_REPEATS_PER_SECOND)
    const admission = options.isAdmissionEnabled === true
      ? AdmissionControl.create({
        ...options,
        getObservedEpoch: () => this.election.getObservedEpoch(),
        getOwnSummary: () => this.getLoad()
      })
      : undefined
    this.election = OwnerElection.create({
      shardId: SHARD_ID,
      instanceId,
      address: peerAddress,
      region,
      tableService: ownerTable,
      repeater: this.ownerRepeater,
      peer,
      clock,
      logger,
      errors,
      resources: options.resources,
      random: options.random,
      onAcquired: takeover => this.startDispatcher(takeover),
      onEarlierOwnerStopped: renewalsEndAt => this.dispatcher?.limitEarlierLeases(this.getLeasesEnd(renewalsEndAt)),
      onDeposed: reason => this.stopDispatcher(reason),
      onLoad: (summary, since) => admission?.record(summary, since)
    })
    this.ownerApi = this.createOwnerApi()
    this.gateway = JobGateway.create({
      tableService: callerTable,
      repeatTable: options.callerRepeatTable,
      repeater: this.createRepeater(CALLER_WRITE_REPEATS_PER_SECOND),
      tableLimits: options.tableLimits,
      peer,
      metrics: this.metrics,
      ownerApi: this.ownerApi,
      isOwner: () => this.election.isOwner(),
      getOwnerAddress: () => this.election.getOwnerAddress(),
      admission,
      gangTimes: options.gangTimes,
      clock,
      logger
    })
  }

  /**
   * Creates an instance that does nothing before `start`.
   * @param options The process, the store and the platform.
   * @returns The instance.
   */
  static create (options: InstanceOptions): Instance {
    return new Instance(options)
  }

  /** Starts following the site's configuration and taking part in the election. */
  start (): void {
    this.site.start()
    this.election.run()
  }

  /** Returns the newest configuration, or null before one was read. */
  getConfiguration () {
    return this.site.getConfiguration()
  }

  /** Returns the age of the configuration, see `SiteWatch.getReadAge`. */
  getConfigurationAge (): number {
    return this.site.getReadAge()
  }

  /** Returns whether callers can be served: the configuration is recent and the process is not stopping. */
  isReady (): boolean {
    const age = this.options.clock.monotonicMilliseconds() - this.site.getLastContactAt()
    return !this.stopping && this.site.getConfiguration() !== null && age < READY_CONTACT_AGE_LIMIT_MILLISECONDS
  }

  /** Releases the ownership and stops; callers are served until the servers close. */
  async stop (): Promise<void> {
    this.stopping = true
    const { dispatcher } = this
    dispatcher?.drain()
    await dispatcher?.flush()
    dispatcher?.stop()
    this.dispatcher = null
    await this.election.stop()
    this.site.stopFollowingWorkers()
  }

  private startDispatcher (takeover: Takeover): void {
    const { options } = this
    const { fence, earlierRenewalsEndAt, earlierStartsEndAt, assignmentsStoredSince } = takeover
    this.dispatcher?.stop()
    this.metrics.takeovers.inc()
    this.dispatcher = ShardDispatcher.create({
      shardId: SHARD_ID,
      fence,
      tableService: options.ownerTable,
      repeater: this.ownerRepeater,
      tableLimits: options.tableLimits,
      processors: options.resources.processors,
      feed: options.feed,
      site: this.site,
      clock: options.clock,
      logger: options.logger,
      errors: this.errors,
      livenessSource: options.livenessSource,
      metrics: this.metrics,
      leaseMilliseconds: options.leaseMilliseconds,
      gangTimes: options.gangTimes,
      protectsUrgentWork: options.protectsUrgentWork,
      assignmentsStoredSince,
      earlierLeasesEndAt: this.getLeasesEnd(earlierRenewalsEndAt),
      earlierStartsEndAt,
      isAdmissionEnabled: options.isAdmissionEnabled,
      createWorkerClient: options.createWorkerClient,
      random: options.random,
      getRenewalAge: () => this.election.getRenewalAge(),
      onDeposed: reason => this.election.depose(reason)
    })
    this.site.startFollowingWorkers()
    const { dispatcher } = this
    this.errors.runAsync('dispatch', async () => await dispatcher.run())
  }

  private createRepeater (repeatsPerSecond: number): TransactionRepeater {
    return TransactionRepeater.create({
      clock: this.options.clock,
      repeatsPerSecond,
      isOverloaded: () => this.dispatcher?.isLate ?? false,
      onRepeat: write => this.metrics.storeCallRepeats.inc({ write })
    })
  }

  private getLeasesEnd (renewalsEndAt: number): number {
    return renewalsEndAt + this.options.leaseMilliseconds * (1 + LEASE_MARGIN_SHARE)
  }

  private stopDispatcher (reason: string): void {
    this.options.logger.warn('ownership lost', { reason })
    this.dispatcher?.stop()
    this.dispatcher = null
    this.site.stopFollowingWorkers()
  }

  private updateDispatcher (changedWorkers: ChangedWorkers): void {
    if (this.site.areWorkersLoaded()) this.dispatcher?.updateSite(changedWorkers)
  }

  /** Returns the load of the shard while this process certainly owns it. */
  private getLoad (): LoadSummary | null {
    const isRecent = this.election.getRenewalAge() < TASK_START_LIMIT_MILLISECONDS
    return isRecent ? this.dispatcher?.getLoad() ?? null : null
  }

  /** Returns the engine, or null when this process has not loaded the shard as its owner. */
  private getOwnerEngine (): DispatchEngine | null {
    const { dispatcher } = this
    return dispatcher?.isLoaded === true && this.election.isOwner() ? dispatcher.engine : null
  }

  /** Returns the client accounts, or null at an instance that is not the owner. */
  private describeAccounts (): AccountDescription[] | null {
    const engine = this.getOwnerEngine()
    return engine === null ? null : describeAccounts(engine, this.options.clock.monotonicMilliseconds())
  }

  private createOwnerApi (): OwnerApi {
    const getEngine = () => this.dispatcher?.isLoaded === true ? this.dispatcher.engine : null
    return {
      probe: () => {
        if (this.election.isAcquiring()) return { isOwner: true, renewalAge: 0 }
        const renewalAge = Math.round(Math.min(1e9, this.election.getRenewalAge()))
        const load = this.getLoad()
        return { isOwner: this.election.isOwner(), renewalAge, ...load !== null && { load } }
      },
      storeSubmission: submission => this.gateway.storeSubmission(submission),
      storeCancellation: (jobId, accountName) => this.gateway.storeCancellation(jobId, accountName),
      getJobState: (jobId, accountName = null) => {
        const engine = getEngine()
        if (engine === null) return null
        const state = engine.jobs.getState(jobId)
        if (state === null) return 'unknown'
        return isForeignAccount(accountName, engine.jobs.getAccountName(jobId)) ? 'foreign' : state
      },
      countWaiting: queueName => this.dispatcher?.countWaiting(queueName) ?? null,
      describeAccounts: () => {
        const accounts = this.describeAccounts()
        if (accounts !== null) return { kind: 'owner', accounts }
        return { kind: 'not-owner', ownerAddress: this.election.getOwnerAddress() }
      }
    }
  }
}
