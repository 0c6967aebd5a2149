import { createIdentifier } from '../shared/identifiers.js'
import { stepMachine } from '../shared/stepMachine.js'
import type { Clock } from '../shared/Clock.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { Condition, Row, TableService, Transaction } from '../table/TableService.js'
import { MAX_CLOCK_DRIFT_RATIO } from '../workers/WorkerProtocol.js'
import { shardLeaseMachine, type ShardLeaseEvent, type ShardLeaseState } from './shardLeaseMachine.js'

/** Names of the tables of ownership. */
export const SHARD_TABLE = 'shards'
export const SHARD_HEARTBEAT_TABLE = 'shard-heartbeats'

/** How often an owner renews; three renewals fit into a lease, so that one lost renewal does no harm. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 2000
/** How long an owner regards its lease as valid, from before it sent the last successful renewal. */
export const SHARD_LEASE_MILLISECONDS = 6000
/** How long a successor waits from its first sight of a heartbeat: the lease and the greatest clock drift. */
export const TAKEOVER_WAIT_MILLISECONDS = SHARD_LEASE_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
/** A takeover that is not settled within this time is tried anew from observation. */
const ACQUIRE_DEADLINE_MILLISECONDS = 5000

/** What an owner reports of its shard, for the choice of a shard for new jobs. */
export interface ShardSummary {
  freeProcessors: number
  freeMemoryMegabytes: number
  freeAccelerators: number
  waiting: number
}

/** An owner that did not release the shard and may still renew leases of workers. */
export interface EarlierOwner {
  epoch: number
  address: string
}

/** The value of the row `shards/<shard>`. */
export interface ShardRow {
  owner: string
  address: string
  region: string
  epoch: number
  writeId: string
  /** Owners before this one; the journal says up to which epoch all have certainly stopped. */
  earlier: EarlierOwner[]
}

/** The value of the row `shard-heartbeats/<shard>`. */
export interface HeartbeatRow {
  owner: string
  epoch: number
  beat: number
  summary: ShardSummary | null
  /** Set by an owner that stops in an orderly way: a successor need not wait. */
  released: boolean
}

/** Names the owner's right in a transaction: the row version changes only with a takeover. */
export interface Fence {
  epoch: number
  rowVersion: number
}

/** Rules that tests break on purpose to prove that they would notice. */
export interface ShardLeaseRules {
  /** Whether a takeover requires that the heartbeat is the one that was observed. */
  checkHeartbeat: boolean
  takeoverWaitMilliseconds: number
}

/** Options of a lease. */
export interface ShardLeaseOptions {
  shardId: string
  owner: string
  address: string
  region: string
  tableService: TableService
  clock: Clock
  rules?: Partial<ShardLeaseRules>
}

/**
 * The lease of one shard as one process holds or observes it, with an epoch as fencing token.
 *
 * A holder may be paused at any moment, so a valid lease alone permits nothing: each write
 * must check the row version of `getFence`, and each receiver must refuse a lower epoch.
 */
export class ShardLease {
  private state: ShardLeaseState = 'observing'
  private fence: Fence | null = null
  private renewedAt = -Infinity
  private beat = 0
  private observedShard: Row | null = null
  private observedHeartbeat: Row | null = null
  private observedSince: number | null = null
  private readonly relinquishedEpochs = new Set<number>()
  private earlierOwners: EarlierOwner[] = []

  private constructor (
    private readonly options: ShardLeaseOptions,
    private readonly rules: ShardLeaseRules,
    private readonly writer: SettledWriter
  ) {}

  /**
   * Creates a lease that observes.
   * @param options The shard, the process, and the table service.
   * @returns The lease.
   */
  static create (options: ShardLeaseOptions): ShardLease {
    const rules = { checkHeartbeat: true, takeoverWaitMilliseconds: TAKEOVER_WAIT_MILLISECONDS, ...options.rules }
    const writer = SettledWriter.create({ tableService: options.tableService, clock: options.clock })
    return new ShardLease(options, rules, writer)
  }

  get shardId (): string {
    return this.options.shardId
  }

  getState (): ShardLeaseState {
    return this.state
  }

  /**
   * Returns the fence of a lease that is held, valid or not.
   * @returns The fence, or null when this process does not own the shard as far as it knows.
   */
  getFence (): Fence | null {
    return this.fence
  }

  /** Returns the owner's row as last observed. */
  getObservedOwner (): ShardRow | null {
    return this.observedShard === null ? null : this.observedShard.value as unknown as ShardRow
  }

  /** Returns the heartbeat as last observed. */
  getObservedHeartbeat (): HeartbeatRow | null {
    return this.observedHeartbeat === null ? null : this.observedHeartbeat.value as unknown as HeartbeatRow
  }

  /**
   * Tells whether the lease is held and was renewed recently enough.
   * @param now The monotonic time.
   * @returns Whether starts may be sent.
   */
  isValid (now: number): boolean {
    return this.state === 'held' && now - this.renewedAt < SHARD_LEASE_MILLISECONDS
  }

  /** Returns the owners before this one that did not release the shard. */
  getUnreleasedOwners (): EarlierOwner[] {
    return this.earlierOwners
  }

  /** Returns the monotonic time of the last successful renewal. */
  getRenewedAt (): number {
    return this.renewedAt
  }

  /**
   * Tells whether this process itself held the epoch and has given it up; of an earlier process at the same
   * address it knows nothing.
   * @param epoch The epoch that a successor asks about.
   * @returns Whether this process will use the epoch never again.
   */
  hasRelinquished (epoch: number): boolean {
    return this.relinquishedEpochs.has(epoch)
  }

  /**
   * Takes note of the two rows as read; reads may arrive out of order, so older versions are ignored.
   * @param shard The row `shards/<shard>`.
   * @param heartbeat The row `shard-heartbeats/<shard>`.
   * @param now The monotonic time after the read.
   */
  observe (shard: Row | null, heartbeat: Row | null, now: number): void {
    if ((heartbeat?.version ?? 0) < (this.observedHeartbeat?.version ?? 0)) return
    if (this.observedSince === null || heartbeat?.version !== this.observedHeartbeat?.version) this.observedSince = now
    this.observedShard = shard
    this.observedHeartbeat = heartbeat
    const owner = this.getObservedOwner()
    if (this.fence !== null && owner !== null && owner.epoch > this.fence.epoch) this.depose()
  }

  /**
   * Returns the time from which this process may take the shard over.
   * @returns The monotonic time, or null when the shard is not observed or is held here.
   */
  getEarliestTakeoverTime (): number | null {
    if (this.state !== 'observing' || this.observedSince === null) return null
    const heartbeat = this.getObservedHeartbeat()
    if (heartbeat === null || heartbeat.released) return this.observedSince
    return this.observedSince + this.rules.takeoverWaitMilliseconds
  }

  /**
   * Takes the shard over on condition that the observed rows are unchanged.
   * @param options With `ownerHasTerminated` the caller knows that the owner's process is gone, and need not wait.
   * @returns Whether the shard is now held.
   */
  async acquire (options: { ownerHasTerminated?: boolean } = {}): Promise<boolean> {
    const earliestTakeover = options.ownerHasTerminated === true ? this.observedSince : this.getEarliestTakeoverTime()
    const sentAt = this.options.clock.monotonicMilliseconds()
    if (earliestTakeover === null || sentAt < earliestTakeover || !this.advance('acquire')) return false
    const { shardId, owner, address, region } = this.options
    const epoch = (this.getObservedOwner()?.epoch ?? 0) + 1
    const writeId = createIdentifier()
    const row: ShardRow = { owner, address, region, epoch, writeId, earlier: this.getEarlierOwners() }
    const heartbeat: HeartbeatRow = { owner, epoch, beat: 0, summary: null, released: false }
    const outcome = await this.writer.transactAndSettle({
      operations: [{
        kind: 'put',
        table: SHARD_TABLE,
        key: shardId,
        value: row as unknown as JsonValue,
        condition: getUnchangedCondition(this.observedShard)
      }, {
        kind: 'put',
        table: SHARD_HEARTBEAT_TABLE,
        key: shardId,
        value: heartbeat as unknown as JsonValue,
        condition: this.rules.checkHeartbeat ? getUnchangedCondition(this.observedHeartbeat) : { kind: 'any' }
      }]
    }, { table: SHARD_TABLE, key: shardId, writeId }, { deadlineMilliseconds: ACQUIRE_DEADLINE_MILLISECONDS })
    const rowVersion = outcome.kind === 'committed' ? outcome.versions[0] ?? await this.readOwnVersion(writeId) : null
    if (rowVersion === null) {
      this.advance('rejected')
      this.observedSince = null
      return false
    }
    this.advance('acquired')
    this.earlierOwners = row.earlier
    this.fence = { epoch, rowVersion }
    this.renewedAt = sentAt
    this.beat = 0
    return true
  }

  /**
   * Renews the lease once.
   * @param summary What to report of the shard.
   * @returns `renewed`, `deposed` when another process owns the shard, or `unsettled` when the store gave no answer.
   */
  async renew (summary: ShardSummary | null): Promise<'renewed' | 'deposed' | 'unsettled'> {
    return await this.writeHeartbeat(summary, false)
  }

  /**
   * Gives the shard up so that a successor need not wait; the caller has stopped all writes and sends before.
   * @returns Whether the store knows it; if not, the successor waits as after a failure.
   */
  async release (): Promise<boolean> {
    if (!this.advance('release')) return false
    const outcome = await this.writeHeartbeat(null, true)
    this.depose('released')
    return outcome === 'renewed'
  }

  /** Drops the lease after a conflict proved that another process has taken the shard over. */
  depose (event: 'deposed' | 'released' = 'deposed'): void {
    if (this.fence !== null) this.relinquishedEpochs.add(this.fence.epoch)
    this.fence = null
    this.renewedAt = -Infinity
    this.observedSince = null
    this.advance(event)
  }

  private getEarlierOwners (): EarlierOwner[] {
    const observed = this.getObservedOwner()
    if (observed === null) return []
    const wasReleased = this.getObservedHeartbeat()?.released ?? false
    return wasReleased ? observed.earlier : [...observed.earlier, { epoch: observed.epoch, address: observed.address }]
  }

  private async writeHeartbeat (
    summary: ShardSummary | null,
    released: boolean
  ): Promise<'renewed' | 'deposed' | 'unsettled'> {
    const fence = this.fence
    if (fence === null) return 'deposed'
    const { shardId, owner } = this.options
    const sentAt = this.options.clock.monotonicMilliseconds()
    const value: HeartbeatRow = { owner, epoch: fence.epoch, beat: ++this.beat, summary, released }
    const transaction: Transaction = {
      operations: [
        { kind: 'check', table: SHARD_TABLE, key: shardId, condition: { kind: 'version', version: fence.rowVersion } },
        {
          kind: 'put',
          table: SHARD_HEARTBEAT_TABLE,
          key: shardId,
          value: value as unknown as JsonValue,
          condition: { kind: 'any' }
        }
      ]
    }
    const outcome = await this.options.tableService.transact(transaction)
    // The process may have been paused, deposed and made owner again while it waited.
    if (this.fence !== fence) return 'deposed'
    if (outcome.kind === 'committed') {
      this.renewedAt = Math.max(this.renewedAt, sentAt)
      return 'renewed'
    }
    if (outcome.kind !== 'conflict') return 'unsettled'
    if (!released) this.depose()
    return 'deposed'
  }

  private async readOwnVersion (writeId: string): Promise<number | null> {
    const read = await this.options.tableService.read({ table: SHARD_TABLE, key: this.shardId })
    if (read.kind !== 'ok' || read.value === null) return null
    return (read.value.value as unknown as ShardRow).writeId === writeId ? read.value.version : null
  }

  private advance (event: ShardLeaseEvent): boolean {
    const next = stepMachine<ShardLeaseState>(shardLeaseMachine, this.state, event)
    if (next !== undefined) this.state = next
    return next !== undefined
  }
}

function getUnchangedCondition (row: Row | null): Condition {
  return row === null ? { kind: 'absent' } : { kind: 'version', version: row.version }
}
