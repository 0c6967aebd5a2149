import { SHARD_HEARTBEAT_TABLE, SHARD_TABLE, ShardLease, type Fence } from '../leases/ShardLease.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { TableService } from '../table/TableService.js'
import type { OwnerPeer } from './OwnerPeer.js'

/** What a process can use. */
export interface InstanceResources {
  /** Processors, as a share of one. */
  processors: number
  linkMegabitsPerSecond: number
}

/** Options of an election. */
export interface OwnerElectionOptions {
  shardId: string
  instanceId: string
  /** Where peers reach this process. */
  address: string
  region: string
  tableService: TableService
  peer: OwnerPeer
  clock: Clock
  logger: Logger
  /** What this process has for the owner's work; weak ones let others go first. */
  resources: InstanceResources
  /** A number from 0 to 1 that spreads the candidates. */
  random (): number
  onAcquired (fence: Fence, earlierOwnerStopped: boolean): void
  onDeposed (reason: string): void
}

/** How often an owner renews; three renewals fit into the wait of a successor. */
const RENEW_MILLISECONDS = 700
/** How often other processes ask the owner whether it lives. */
const PROBE_MILLISECONDS = 400
/** A successor takes over when the heartbeat did not change for this long; fences make an early takeover safe. */
const TAKEOVER_WAIT_MILLISECONDS = 2200
/** An owner whose last renewal is older is asked for in the store. */
const STALE_RENEWAL_MILLISECONDS = 2000
/** Refused connections in a row that show that the owner's process is gone. */
const REFUSALS_UNTIL_STOPPED = 2
/** Candidates spread over this time, the ones near the store first. */
const CANDIDATE_SPREAD_MILLISECONDS = 150
/** A round trip to the store counts this many times in the candidates' order. */
const STORE_DISTANCE_WEIGHT = 6
const LONGEST_DISTANCE_DELAY_MILLISECONDS = 400
/** An owner of 342 workers used half a processor; one with less waits for up to this time. */
const LOW_PROCESSOR_DELAY_MILLISECONDS = 300
/** An owner reads all live jobs at its start, some megabytes; one with a slower link waits for this time. */
const SLOW_LINK_MEGABITS_PER_SECOND = 50
const SLOW_LINK_DELAY_MILLISECONDS = 500
/**
 * Operators restart processes in turn: one that has run for long is about to be stopped, so one that has just started
 * goes first. The delay grows up to the age at which a turn of eight processes is half done.
 */
const OLD_PROCESS_MILLISECONDS = 10_000
const OLD_PROCESS_DELAY_MILLISECONDS = 300

/** Decides which process owns the shard: it renews as owner, and watches the owner otherwise. */
export class OwnerElection {
  private readonly lease: ShardLease
  private stopped = false
  private consecutiveRefusals = 0
  private ownerDeniesOwnership = false
  private readonly startedAt: number

  private constructor (private readonly options: OwnerElectionOptions) {
    const { shardId, instanceId, address, region, tableService, clock } = options
    this.startedAt = clock.monotonicMilliseconds()
    this.lease = ShardLease.create({
      shardId,
      owner: instanceId,
      address,
      region,
      tableService,
      clock,
      rules: { takeoverWaitMilliseconds: TAKEOVER_WAIT_MILLISECONDS }
    })
  }

  /**
   * Creates an election that does nothing before `run`.
   * @param options The shard, this process, the store and the peers.
   * @returns The election.
   */
  static create (options: OwnerElectionOptions): OwnerElection {
    return new OwnerElection(options)
  }

  /** Returns the address of the owner as far as it is known, or null. */
  getOwnerAddress (): string | null {
    return this.lease.getObservedOwner()?.address ?? null
  }

  /** Tells whether this process owns the shard. */
  isOwner (): boolean {
    return this.lease.getFence() !== null
  }

  /** Tells whether a takeover by this process is in flight: the store may name it as owner before it knows. */
  isAcquiring (): boolean {
    return this.lease.getState() === 'acquiring'
  }

  /** Returns the monotonic time of the last successful renewal. */
  getRenewedAt (): number {
    return this.lease.getRenewedAt()
  }

  /** Takes part until it is stopped. */
  async run (): Promise<void> {
    while (!this.stopped) {
      if (this.isOwner()) {
        await this.renew()
        await this.pause(RENEW_MILLISECONDS)
      } else {
        await this.checkOwner()
        await this.pause(PROBE_MILLISECONDS)
      }
    }
  }

  /** Gives the ownership up in an orderly way and takes no further part. */
  async stop (): Promise<void> {
    this.stopped = true
    if (this.isOwner()) await this.lease.release()
  }

  /** Drops the ownership after a receiver has seen a later owner. */
  depose (reason: string): void {
    if (!this.isOwner()) return
    this.lease.depose()
    this.options.onDeposed(reason)
  }

  private async renew (): Promise<void> {
    const outcome = await this.lease.renew(null)
    if (outcome === 'deposed' && !this.stopped) this.options.onDeposed('the store names another owner')
  }

  private async checkOwner (): Promise<void> {
    if (await this.isOwnerAlive()) return
    const { shardId, tableService, clock } = this.options
    const sentAt = clock.monotonicMilliseconds()
    const read = await tableService.readMany([
      { table: SHARD_TABLE, key: shardId }, { table: SHARD_HEARTBEAT_TABLE, key: shardId }
    ])
    if (read.kind !== 'ok' || this.stopped) return
    const now = clock.monotonicMilliseconds()
    const previousAddress = this.getOwnerAddress()
    this.lease.observe(read.value[0], read.value[1], now)
    if (previousAddress !== this.getOwnerAddress()) {
      this.consecutiveRefusals = 0
      this.ownerDeniesOwnership = false
      // Only a probe of the owner just learned of can tell whether it lives.
      if (previousAddress === null && this.getOwnerAddress() !== this.options.address) return
    }
    const isOwnEarlierIncarnation = this.getOwnerAddress() === this.options.address
    const hasOwnerStopped = this.consecutiveRefusals >= REFUSALS_UNTIL_STOPPED || this.ownerDeniesOwnership || isOwnEarlierIncarnation
    const vacantFrom = hasOwnerStopped ? now : this.lease.getEarliestTakeoverTime()
    if (vacantFrom === null || now < vacantFrom) return
    await this.tryToAcquire(now - sentAt, hasOwnerStopped)
  }

  private async tryToAcquire (storeRoundTripMilliseconds: number, hasOwnerStopped: boolean): Promise<void> {
    const { random, logger, instanceId, clock } = this.options
    const age = clock.monotonicMilliseconds() - this.startedAt
    const delay = Math.min(LONGEST_DISTANCE_DELAY_MILLISECONDS, storeRoundTripMilliseconds * STORE_DISTANCE_WEIGHT) +
      getResourceDelay(this.options.resources) + getAgeDelay(age) + random() * CANDIDATE_SPREAD_MILLISECONDS
    await this.pause(delay)
    if (this.stopped) return
    const earlierOwnerStopped = hasOwnerStopped || this.lease.getObservedHeartbeat() === null ||
      this.lease.getObservedHeartbeat()?.released === true
    if (!await this.lease.acquire({ ownerHasTerminated: hasOwnerStopped })) return
    this.consecutiveRefusals = 0
    this.ownerDeniesOwnership = false
    const fence = this.lease.getFence()
    if (fence === null) return
    logger.info('ownership acquired', { owner: instanceId, epoch: fence.epoch, earlierOwnerStopped })
    this.options.onAcquired(fence, earlierOwnerStopped)
  }

  private async isOwnerAlive (): Promise<boolean> {
    const address = this.getOwnerAddress()
    if (address === null || address === this.options.address) return false
    const outcome = await this.options.peer.probe(address)
    if (outcome.kind === 'refused') this.consecutiveRefusals++
    else this.consecutiveRefusals = 0
    // A process that answers and does not own the shard has begun a new life or has given it up.
    this.ownerDeniesOwnership = outcome.kind === 'alive' && !outcome.isOwner
    return outcome.kind === 'alive' && outcome.isOwner && outcome.renewalAge < STALE_RENEWAL_MILLISECONDS
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}

function getAgeDelay (ageMilliseconds: number): number {
  return Math.min(1, ageMilliseconds / OLD_PROCESS_MILLISECONDS) * OLD_PROCESS_DELAY_MILLISECONDS
}

function getResourceDelay (resources: InstanceResources): number {
  const processorDelay = (1 - Math.min(1, resources.processors)) * LOW_PROCESSOR_DELAY_MILLISECONDS
  const isSlow = resources.linkMegabitsPerSecond < SLOW_LINK_MEGABITS_PER_SECOND
  return processorDelay + (isSlow ? SLOW_LINK_DELAY_MILLISECONDS : 0)
}
