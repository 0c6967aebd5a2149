import { xxhash64 } from './hashing.js'
import type { CancelTimer, Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { ConfigurationSource } from '../configuration/Configuration.js'
import { DATA_CENTRE_TABLE } from '../configuration/Configuration.js'
import {
  SHARD_HEARTBEAT_TABLE, SHARD_TABLE, ShardLease, type EarlierOwner, type HeartbeatRow, type ShardLeaseRules,
  type ShardRow
} from '../leases/ShardLease.js'
import type { InstanceListSource, ListedInstance } from '../membership/InstanceList.js'
import type { PlacementEngine } from '../placement/PlacementEngine.js'
import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { ObjectStore, Row, TableService } from '../table/TableService.js'
import type { OwnerCounters, OwnerRules } from '../tasks/OwnerCore.js'
import { recoverShard } from '../tasks/recoverShard.js'
import { ShardJournal, type ShardJournalRules } from '../tasks/ShardJournal.js'
import { ShardOwner } from '../tasks/ShardOwner.js'
import { ShardRunner } from '../tasks/ShardRunner.js'
import type { WorkerClient } from '../workers/WorkerProtocol.js'
import type { SchedulerPeer } from './SchedulerPeer.js'

/** Rows of owners and heartbeats, and the instance list, are read this often. */
const SCAN_INTERVAL_MILLISECONDS = 1000
/** Each place behind the first choice for a shard waits this much longer, so that the first usually gets it. */
const RANK_TAKEOVER_DELAY_MILLISECONDS = 700
/** An instance of another region waits this much longer, to keep the owner's traffic off the slow link. */
const OTHER_REGION_TAKEOVER_DELAY_MILLISECONDS = 5000
/** An instance that owns its share waits this much longer for each shard beyond it. */
const OVERLOAD_TAKEOVER_DELAY_MILLISECONDS = 1000
/** How often an instance with more than its share hands one shard over. */
const REBALANCE_INTERVAL_MILLISECONDS = 10_000
/** After handing a shard over an instance leaves it to the others for this time. */
const RETAKE_DELAY_MILLISECONDS = 10_000
/** A deposed owner is asked this often whether it has given up, as long as workers do not answer. */
const RELEASE_REQUEST_INTERVAL_MILLISECONDS = 2000

/** Checks that tests leave out on purpose. */
export interface SchedulerRules {
  lease?: Partial<ShardLeaseRules>
  journal?: Partial<ShardJournalRules>
  owner?: Partial<OwnerRules>
}

/** What a keeper works with. */
export interface ShardManagerOptions {
  instanceId: string
  address: string
  region: string
  tableService: TableService
  objectStore: ObjectStore
  workerClient: WorkerClient
  instanceList: InstanceListSource
  configuration: ConfigurationSource
  getPolicy: () => CompiledPolicy
  createEngine: () => PlacementEngine
  getPeer: (address: string) => SchedulerPeer
  clock: Clock
  logger: Logger
  rules?: SchedulerRules
}

interface ManagedShard {
  lease: ShardLease
  runner: ShardRunner | null
  noTakeoverBefore: number
  cancelTakeoverTimer: CancelTimer
}

/** Observes all shards, takes over those that are vacant, and runs the ones that this process owns. */
export class ShardManager {
  private readonly shards = new Map<string, ManagedShard>()
  private instances: ListedInstance[] = []
  private lastScanSucceeded = false
  private hasScanned = false
  private isStopping = false
  private cancelScanTimer: CancelTimer = () => {}
  private cancelRebalanceTimer: CancelTimer = () => {}
  private unsubscribe: () => void = () => {}
  /** Counters of shards that are no longer run here, so that the sums never fall. */
  private readonly endedRunnerCounters: Partial<OwnerCounters> = {}
  takeovers = 0

  private constructor (private readonly options: ShardManagerOptions) {}

  /**
   * Creates a keeper that owns nothing.
   * @param options What it works with.
   * @returns The keeper.
   */
  static create (options: ShardManagerOptions): ShardManager {
    return new ShardManager(options)
  }

  /** Begins to observe and to take over. */
  start (): void {
    this.unsubscribe = this.options.configuration.subscribe(() => this.sendConfiguration())
    this.scanPeriodically()
    this.scheduleRebalance()
  }

  /** Gives all shards up in good order. */
  async stop (): Promise<void> {
    this.isStopping = true
    this.cancelScanTimer()
    this.cancelRebalanceTimer()
    this.unsubscribe()
    for (const slot of this.shards.values()) slot.cancelTakeoverTimer()
    await Promise.all([...this.shards.values()].map(async slot => await slot.runner?.stop()))
  }

  /** Returns the shards that run here. */
  getRunners (): ShardRunner[] {
    return [...this.shards.values()].flatMap(slot => slot.runner === null ? [] : [slot.runner])
  }

  /** Returns the runner of a shard, if it runs here. */
  getRunner (shardId: string): ShardRunner | undefined {
    return this.shards.get(shardId)?.runner ?? undefined
  }

  /** Returns all shards as last observed. */
  getShards (): Array<{ shardId: string, owner: ShardRow | null, heartbeat: HeartbeatRow | null }> {
    return [...this.shards].map(([shardId, { lease }]) => ({
      shardId, owner: lease.getObservedOwner(), heartbeat: lease.getObservedHeartbeat()
    }))
  }

  getInstances (): ListedInstance[] {
    return this.instances
  }

  isStoreReachable (): boolean {
    return this.lastScanSucceeded
  }

  /** Tells whether the store has been read at least once. */
  isReady (): boolean {
    return this.hasScanned && !this.isStopping
  }

  /** Returns the region of a shard, from the list or from its last owner's row. */
  getRegion (shardId: string): string | null {
    const listed = this.instances.find(instance => instance.dataCentre === shardId)
    return listed?.region ?? null
  }

  isOwnRegion (shardId: string): boolean {
    return this.getRegion(shardId) === this.options.region
  }

  /** Returns the data centres that operators have taken out of service. */
  getOutOfServiceDataCentres (): string[] {
    const { dataCentres } = this.options.configuration.getConfiguration()
    return dataCentres.filter(({ state }) => state === 'out').map(({ name }) => name)
  }

  /** Tells whether this process held the epoch of the shard and has given it up. */
  hasRelinquished (shardId: string, epoch: number): boolean {
    return this.shards.get(shardId)?.lease.hasRelinquished(epoch) ?? false
  }

  /** A successor that asks has taken the shard over, so an owner at the epoch or before it drops the shard. */
  dropThroughEpoch (shardId: string, epoch: number): void {
    const runner = this.getRunner(shardId)
    if (runner !== undefined && runner.owner.core.options.epoch <= epoch) runner.drop('a successor asked')
  }

  /** Returns the sums of all counters since the start of the process. */
  getCounters (): Partial<OwnerCounters> {
    const sums = { ...this.endedRunnerCounters }
    for (const runner of this.getRunners()) addCounters(sums, runner.owner.core.counters)
    return sums
  }

  private scanPeriodically (): void {
    if (this.isStopping) return
    this.cancelScanTimer = this.options.clock.setTimer(SCAN_INTERVAL_MILLISECONDS, () => this.scanPeriodically())
    this.readInstanceList()
    this.scanShardTables()
  }

  private async readInstanceList (): Promise<void> {
    const outcome = await this.options.instanceList.readInstances()
    if (outcome.kind !== 'ok' || this.isStopping) return
    this.instances = outcome.instances
    for (const { dataCentre, role } of this.instances) if (role === 'worker') this.getOrCreateShard(dataCentre)
    const workers = this.instances.filter(instance => instance.role === 'worker')
    for (const runner of this.getRunners()) runner.send({ kind: 'workers-listed', workers })
  }

  private async scanShardTables (): Promise<void> {
    const { tableService, clock } = this.options
    // Heartbeats are read first: a row that is older than its heartbeat only delays a takeover.
    const heartbeats = await tableService.scan(SHARD_HEARTBEAT_TABLE)
    const shards = heartbeats.kind === 'ok' ? await tableService.scan(SHARD_TABLE) : heartbeats
    this.lastScanSucceeded = heartbeats.kind === 'ok' && shards.kind === 'ok'
    if (heartbeats.kind !== 'ok' || shards.kind !== 'ok' || this.isStopping) return
    this.hasScanned = true
    const now = clock.monotonicMilliseconds()
    const heartbeatByShard = new Map(heartbeats.value.map(row => [row.key, row]))
    const shardById = new Map(shards.value.map(row => [row.key, row]))
    for (const { name } of this.options.configuration.getConfiguration().dataCentres) this.getOrCreateShard(name)
    for (const row of shards.value) this.getOrCreateShard(row.key)
    for (const [shardId, slot] of this.shards) {
      slot.lease.observe(shardById.get(shardId) ?? null, heartbeatByShard.get(shardId) ?? null, now)
      if (slot.runner !== null && slot.lease.getFence() === null) slot.runner.drop('another owner was observed')
      this.scheduleTakeover(shardId, slot, now)
    }
    this.sendOtherShards(heartbeats.value)
  }

  private getOrCreateShard (shardId: string): ManagedShard {
    let shard = this.shards.get(shardId)
    if (shard === undefined) {
      const { instanceId, address, region, tableService, clock, rules } = this.options
      const lease = ShardLease.create({
        shardId, owner: instanceId, address, region, tableService, clock, rules: rules?.lease
      })
      shard = { lease, runner: null, noTakeoverBefore: -Infinity, cancelTakeoverTimer: () => {} }
      this.shards.set(shardId, shard)
    }
    return shard
  }

  /** Sets a timer for the moment at which this process may take the shard over. */
  private scheduleTakeover (shardId: string, shard: ManagedShard, now: number): void {
    shard.cancelTakeoverTimer()
    const vacantFrom = shard.lease.getEarliestTakeoverTime()
    if (vacantFrom === null || this.isStopping) return
    const takeoverAt = Math.max(vacantFrom + this.getTakeoverDelay(shardId, shard), shard.noTakeoverBefore)
    // Later moments are scheduled by a later scan, which may find that the owner lives.
    if (takeoverAt - now > SCAN_INTERVAL_MILLISECONDS) return
    shard.cancelTakeoverTimer = this.options.clock.setTimer(Math.max(0, takeoverAt - now), () => { this.takeOver(shardId, shard) })
  }

  /** Returns how much longer than the first choice this process waits for a vacant shard. */
  private getTakeoverDelay (shardId: string, shard: ManagedShard): number {
    const { instanceId, region } = this.options
    const previousOwner = shard.lease.getObservedOwner()?.owner
    const shardRegion = this.getRegion(shardId)
    const candidates = this.getLiveSchedulers().filter(candidate =>
      candidate.instanceId !== previousOwner || candidate.instanceId === instanceId)
    const fairShare = Math.ceil(this.shards.size / Math.max(1, candidates.length))
    const owned = [...this.shards.values()].filter(other => other.runner !== null).length
    const higherRanked = candidates.filter(candidate =>
      candidate.region === region && isBetter(candidate.instanceId, instanceId, shardId))
    const isOtherRegion = shardRegion !== null && shardRegion !== region
    return higherRanked.length * RANK_TAKEOVER_DELAY_MILLISECONDS + Math.max(0, owned + 1 - fairShare) * OVERLOAD_TAKEOVER_DELAY_MILLISECONDS +
      (isOtherRegion ? OTHER_REGION_TAKEOVER_DELAY_MILLISECONDS : 0)
  }

  /** The live schedulers of the list, and this one even when the list lags. */
  private getLiveSchedulers (): Array<{ instanceId: string, region: string }> {
    const listed = this.instances.filter(instance => instance.role === 'scheduler' && instance.state === 'live')
    const { instanceId, region } = this.options
    return listed.some(instance => instance.instanceId === instanceId) ? listed : [...listed, { instanceId, region }]
  }

  private async takeOver (shardId: string, shard: ManagedShard): Promise<void> {
    const { lease } = shard
    const previousOwner = lease.getObservedOwner()
    if (this.isStopping || shard.runner !== null || !await lease.acquire()) return
    this.takeovers++
    const fence = lease.getFence()!
    const { tableService, objectStore, clock, logger, workerClient, configuration, rules } = this.options
    logger.info('shard taken over', { shardId, epoch: fence.epoch, earlierOwner: previousOwner?.owner ?? null })
    const isCancelled = () => lease.getFence() !== fence || this.isStopping
    const stopRenewing = this.renewPeriodically(lease, isCancelled)
    const recovered = await recoverShard({ shardId, tableService, objectStore, clock, isCancelled })
    const dataCentreRow = recovered === null
      ? null
      : await tableService.read({ table: DATA_CENTRE_TABLE, key: shardId })
    stopRenewing()
    if (recovered === null || isCancelled()) {
      await lease.release()
      return
    }
    const row = dataCentreRow?.kind === 'ok' ? dataCentreRow.value : null
    const engine = this.options.createEngine()
    if (recovered.learned !== null) engine.importLearned(recovered.learned)
    const owner = ShardOwner.create({
      shardId,
      dataCentre: shardId,
      region: this.getRegion(shardId) ?? this.options.region,
      epoch: fence.epoch,
      state: recovered.state,
      lastSequence: recovered.lastSequence,
      engine,
      dataCentreVersion: row?.version ?? null,
      isOutOfService: isOutOfService(row),
      now: clock.monotonicMilliseconds(),
      rules: rules?.owner
    })
    const journal = ShardJournal.create({ shardId, dataCentre: shardId, tableService, clock, rules: rules?.journal })
    const runner = ShardRunner.create({
      owner,
      lease,
      journal,
      tableService,
      objectStore,
      workerClient,
      clock,
      logger,
      notifyShard: target => this.notifyShard(target),
      onEnd: reason => {
        logger.info('shard given up', { shardId, epoch: fence.epoch, reason })
        addCounters(this.endedRunnerCounters, owner.core.counters)
        shard.runner = null
      }
    })
    shard.runner = runner
    runner.send({
      kind: 'configuration', configuration: configuration.getConfiguration(), policy: this.options.getPolicy()
    })
    runner.send({ kind: 'workers-listed', workers: this.instances.filter(({ role }) => role === 'worker') })
    runner.start()
    const { stoppedEpoch } = recovered.state
    this.requestEarlierOwnersRelease(runner, lease.getUnreleasedOwners().filter(owner => owner.epoch > stoppedEpoch))
  }

  /** Renews the lease while the journal is read, which takes long when the store is slow. */
  private renewPeriodically (lease: ShardLease, isCancelled: () => boolean): () => void {
    let cancel: CancelTimer = () => {}
    const schedule = () => {
      cancel = this.options.clock.setTimer(SCAN_INTERVAL_MILLISECONDS, () => {
        if (isCancelled()) return
        lease.renew(null)
        schedule()
      })
    }
    schedule()
    return () => cancel()
  }

  /** Asks deposed owners until all have given up, because they may still renew leases of workers. */
  private async requestEarlierOwnersRelease (runner: ShardRunner, owners: EarlierOwner[]): Promise<void> {
    const { shardId } = runner.lease
    if (this.isStopping || this.getRunner(shardId) !== runner) return
    const areReleased = await Promise.all(owners.map(async ({ epoch, address }) => {
      const response = await this.options.getPeer(address).releaseShard({ shardId, epoch }).catch(() => null)
      return response?.released === true
    }))
    const unreleased = owners.filter((_, index) => !areReleased[index])
    if (unreleased.length === 0) return runner.send({ kind: 'earlier-owners-stopped' })
    // Until all have answered, the wait of section 5.2 (c) holds.
    this.options.clock.setTimer(RELEASE_REQUEST_INTERVAL_MILLISECONDS, () => { this.requestEarlierOwnersRelease(runner, unreleased) })
  }

  /** Tells the owner of a shard that its inbox has changed. */
  notifyShard (shardId: string): void {
    const runner = this.getRunner(shardId)
    if (runner !== undefined) return runner.send({ kind: 'inbox-changed' })
    const address = this.shards.get(shardId)?.lease.getObservedOwner()?.address
    // A lost notice costs a second: the owner also polls its inbox.
    if (address !== undefined) this.options.getPeer(address).inboxChanged({ shardId }).catch(() => {})
  }

  private sendConfiguration (): void {
    const configuration = this.options.configuration.getConfiguration()
    const policy = this.options.getPolicy()
    for (const runner of this.getRunners()) runner.send({ kind: 'configuration', configuration, policy })
  }

  private sendOtherShards (heartbeats: Row[]): void {
    for (const runner of this.getRunners()) {
      const shards = heartbeats.flatMap(row => {
        const { summary, released } = row.value as unknown as HeartbeatRow
        if (row.key === runner.lease.shardId || summary === null || released) return []
        return [{ shardId: row.key, region: this.getRegion(row.key) ?? '', summary: { ...summary } }]
      })
      runner.send({ kind: 'other-shards', shards })
    }
  }

  private scheduleRebalance (): void {
    this.cancelRebalanceTimer = this.options.clock.setTimer(REBALANCE_INTERVAL_MILLISECONDS, () => {
      if (this.isStopping) return
      this.scheduleRebalance()
      this.rebalance()
    })
  }

  /** Hands one shard over when another live scheduler owns at least two fewer, or is in the shard's own region. */
  private async rebalance (): Promise<void> {
    const shardCounts = new Map<string, number>()
    for (const { owner } of this.getShards()) {
      if (owner !== null) shardCounts.set(owner.owner, (shardCounts.get(owner.owner) ?? 0) + 1)
    }
    const { instanceId, region } = this.options
    const runners = this.getRunners()
    const others = this.instances.filter(instance =>
      instance.role === 'scheduler' && instance.state === 'live' && instance.instanceId !== instanceId)
    for (const runner of runners) {
      const { shardId } = runner.lease
      const shardRegion = this.getRegion(shardId) ?? region
      const target = others.find(other => {
        if (other.region !== shardRegion) return false
        return region !== shardRegion || (shardCounts.get(other.instanceId) ?? 0) <= runners.length - 2
      })
      if (target === undefined) continue
      try {
        await this.options.getPeer(target.address).getStatus()
      } catch {
        continue
      }
      this.options.logger.info('shard handed over', { shardId, to: target.instanceId })
      this.getOrCreateShard(shardId).noTakeoverBefore = this.options.clock.monotonicMilliseconds() + RETAKE_DELAY_MILLISECONDS
      await runner.stop()
      return
    }
  }
}

function isOutOfService (row: Row | null): boolean {
  return row !== null && (row.value as { state?: string }).state === 'out'
}

/** Orders the schedulers of a region for one shard, the same in every process (rendezvous hashing). */
function isBetter (left: string, right: string, shardId: string): boolean {
  const [leftHash, rightHash] = [xxhash64(`${shardId}|${left}`), xxhash64(`${shardId}|${right}`)]
  return leftHash === rightHash ? left < right : leftHash > rightHash
}

function addCounters (sums: Partial<OwnerCounters>, counters: OwnerCounters): void {
  for (const [name, count] of Object.entries(counters) as Array<[keyof OwnerCounters, number]>) {
    sums[name] = (sums[name] ?? 0) + count
  }
}
