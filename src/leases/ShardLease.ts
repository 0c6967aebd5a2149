import { createIdentifier } from '../shared/identifiers.js'
import { stepMachine } from '../shared/stepMachine.js'
import type { Clock } from '../shared/Clock.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { Condition, Row, TableService, Transaction, TransactionOutcome } from '../table/TableService.js'
import type { TransactionRepeater } from '../table/TransactionRepeater.js'
import { MAX_CLOCK_DRIFT_RATIO } from '../workers/WorkerProtocol.js'
import { shardLeaseMachine, type ShardLeaseEvent, type ShardLeaseState } from './shardLeaseMachine.js'
import type { EarlierOwner, HeartbeatRow, ShardRow, ShardSummary } from './shardRows.js'

export type { EarlierOwner, HeartbeatRow, ShardRow, ShardSummary } from './shardRows.js'

/** Tables that record which process owns each shard. */
export const SHARD_TABLE = 'shards'
export const SHARD_HEARTBEAT_TABLE = 'shard-heartbeats'

/** Interval between lease renewals; a lease spans three of them, so that it survives a lost renewal. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 2000
/** Validity of a lease, counted from the moment before the owner sent the last successful renewal. */
export const SHARD_LEASE_MILLISECONDS = 6000
/** How long a successor waits after it first observes a heartbeat: the lease and the greatest clock drift. */
export const TAKEOVER_WAIT_MILLISECONDS = SHARD_LEASE_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
/** A candidate sees at least one renewal within this time while the owner's renewals are stored. */
const SHORTEST_OBSERVATION_MILLISECONDS = 1000
/** A takeover whose outcome is still unknown after this time is abandoned by default. */
const ACQUIRE_DEADLINE_MILLISECONDS = 5000

/** How long a release without a response is repeated; the process may exit soon after. */
const RELEASE_REPEAT_LIMIT_MILLISECONDS = 400

/** One send of a heartbeat. */
interface HeartbeatSend {
  beat: number
  /** The monotonic time and the time of day before the send. */
  sentAt: number
  sentAtWallTime: number
  transaction: Transaction
}

/** Proves ownership in a transaction: the version of the row `shards/<shard>` changes only with a takeover. */
export interface Fence {
  epoch: number
  rowVersion: number
}

/** Safety rules that tests disable to verify that a violation is detected. */
export interface ShardLeaseRules {
  /** Whether a takeover fails if the heartbeat has changed since it was observed. */
  checkHeartbeat: boolean
  takeoverWaitMilliseconds: number
  /** Time after which a takeover without an outcome is abandoned, so that the rows are read again. */
  acquireDeadlineMilliseconds: number
}

/** Options of a shard lease. */
export interface ShardLeaseOptions {
  shardId: string
  owner: string
  address: string
  region: string
  tableService: TableService
  clock: Clock
  rules?: Partial<ShardLeaseRules>
  /** Repeats renewals and takeovers while their responses are overdue; each is sent once at a time by default. */
  repeater?: TransactionRepeater
  /** The difference to the epoch of the preceding owner; 1 by default. */
  epochStep?: number
  /**
   * Returns which of the owners that did not release the shard are stored for a successor, the earliest first; all by
   * default. The row grows with each one.
   */
  selectStoredOwners? (unreleased: readonly EarlierOwner[]): EarlierOwner[]
}

/**
 * The lease of one shard as one process holds or observes it, with an epoch as fencing token.
 *
 * The holder may be paused at any moment, so a valid lease alone does not protect a write: each write
 * must check the row version from `getFence`, and each receiver must reject an epoch lower than its highest.
 */
export class ShardLease {
  private state: ShardLeaseState = 'observing'
  private fence: Fence | null = null
  private renewedAt = -Infinity
  /** The time of day of the last successful renewal. */
  private renewedAtWallTime = -Infinity
  private beat = 0
  private observedShard: Row | null = null
  private observedHeartbeat: Row | null = null
  private observedSince: number | null = null
  private observedShardSince = -Infinity
  private readonly relinquishedEpochs = new Set<number>()
  private earlierOwners: EarlierOwner[] = []
  private assignmentsStoredSince: number | null = null

  private constructor (
    private readonly options: ShardLeaseOptions,
    private readonly rules: ShardLeaseRules,
    private readonly writer: SettledWriter
  ) {}

  /**
   * Creates a lease in the state `observing`.
   * @param options The shard, the process, and the table service.
   * @returns The lease.
   */
  static create (options: ShardLeaseOptions): ShardLease {
    const rules = {
      checkHeartbeat: true,
      takeoverWaitMilliseconds: TAKEOVER_WAIT_MILLISECONDS,
      acquireDeadlineMilliseconds: ACQUIRE_DEADLINE_MILLISECONDS,
      ...options.rules
    }
    const { tableService, clock, repeater } = options
    const repeats = repeater === undefined ? undefined : { repeater, write: 'takeover' as const }
    const writer = SettledWriter.create({ tableService, clock, repeats })
    return new ShardLease(options, rules, writer)
  }

  get shardId (): string {
    return this.options.shardId
  }

  getState (): ShardLeaseState {
    return this.state
  }

  /**
   * Returns the fence of the lease while it is held, even when it has expired.
   * @returns The fence, or null when this process does not consider itself the owner of the shard.
   */
  getFence (): Fence | null {
    return this.fence
  }

  /** Returns the row `shards/<shard>` as last observed. */
  getObservedOwner (): ShardRow | null {
    return this.observedShard === null ? null : this.observedShard.value as unknown as ShardRow
  }

  /** Returns the row `shard-heartbeats/<shard>` as last observed. */
  getObservedHeartbeat (): HeartbeatRow | null {
    return this.observedHeartbeat === null ? null : this.observedHeartbeat.value as unknown as HeartbeatRow
  }

  /**
   * Returns since when the observed heartbeat is unchanged. Its owner sent its last successful renewal before.
   * @returns The monotonic time of the first read of that heartbeat, or null when nothing was observed yet.
   */
  getObservedSince (): number | null {
    return this.observedSince
  }

  /**
   * Returns until when the owners before the observed one may renew the leases of workers.
   * @param clockMarginShare The greatest relative difference in rate between the clocks of two instances.
   * @returns The monotonic time, -Infinity when they had stopped when the observed owner acquired the shard.
   */
  getStoredEarlierRenewalsEnd (clockMarginShare: number): number {
    const milliseconds = this.getObservedOwner()?.earlierRenewalsMilliseconds
    if (milliseconds === 0) return -Infinity
    return this.observedShardSince + (milliseconds ?? 0) * (1 + clockMarginShare)
  }

  /**
   * Returns whether the lease is held and has not expired.
   * @param now The monotonic time.
   * @returns Whether the owner may send starts.
   */
  isValid (now: number): boolean {
    return this.state === 'held' && now - this.renewedAt < SHARD_LEASE_MILLISECONDS
  }

  /** Returns the earlier owners that did not release the shard. */
  getUnreleasedOwners (): EarlierOwner[] {
    return this.earlierOwners
  }

  /** Returns the row version since which all earlier owners have stored assignments, or null when the last has not. */
  getAssignmentsStoredSince (): number | null {
    return this.assignmentsStoredSince
  }

  /** Returns the monotonic time of the last successful renewal. */
  getRenewedAt (): number {
    return this.renewedAt
  }

  /**
   * Returns the time since the last successful renewal. The monotonic clock stands still while the machine is
   * suspended, so the time of day counts when it says that more time has passed; a step of it costs some starts.
   * @returns Milliseconds, Infinity when this process does not hold the lease.
   */
  getRenewalAge (): number {
    const { clock } = this.options
    return Math.max(
      clock.monotonicMilliseconds() - this.renewedAt, clock.wallMilliseconds() - this.renewedAtWallTime)
  }

  /**
   * Returns whether this process held the epoch and has relinquished it. An earlier process at the same address
   * is not covered: its epochs are unknown here.
   * @param epoch The epoch that a successor asks about.
   * @returns Whether this process held the epoch and will never use it again.
   */
  hasRelinquished (epoch: number): boolean {
    return this.relinquishedEpochs.has(epoch)
  }

  /**
   * Records the two rows as read; reads may complete out of order, so an older heartbeat version is ignored.
   * @param shard The row `shards/<shard>`.
   * @param heartbeat The row `shard-heartbeats/<shard>`.
   * @param now The monotonic time after the read.
   */
  observe (shard: Row | null, heartbeat: Row | null, now: number): void {
    if ((heartbeat?.version ?? 0) < (this.observedHeartbeat?.version ?? 0)) return
    if (this.observedSince === null || heartbeat?.version !== this.observedHeartbeat?.version) this.observedSince = now
    if (shard?.version !== this.observedShard?.version) this.observedShardSince = now
    this.observedShard = shard
    this.observedHeartbeat = heartbeat
    const owner = this.getObservedOwner()
    if (this.fence !== null && owner !== null && owner.epoch > this.fence.epoch) this.depose()
  }

  /**
   * Returns the earliest time at which this process may take the shard over.
   * @param ownerRenewedAt The monotonic time of the owner's last renewal as it tells it; Infinity if it does not.
   * @returns The monotonic time, or null when the lease is not observing or nothing was observed yet.
   */
  getEarliestTakeoverTime (ownerRenewedAt = Infinity): number | null {
    if (this.state !== 'observing' || this.observedSince === null) return null
    const heartbeat = this.getObservedHeartbeat()
    if (heartbeat === null || heartbeat.released) return this.observedSince
    const { takeoverWaitMilliseconds } = this.rules
    // An owner whose renewals are stored without a response tells an earlier time than that of the last one.
    const earliestAsTold = Math.max(
      ownerRenewedAt + takeoverWaitMilliseconds, this.observedSince + SHORTEST_OBSERVATION_MILLISECONDS)
    return Math.min(this.observedSince + takeoverWaitMilliseconds, earliestAsTold)
  }

  /**
   * Takes the shard over, provided that the observed rows are unchanged.
   * @param options `ownerHasTerminated` skips the wait: the caller knows that the owner's process has terminated.
   * `ownerRenewedAt` is the time of its last renewal as it tells it. `earlierRenewalsEndAt` is the monotonic time until
   * which earlier owners may renew the leases of workers.
   * @returns Whether this process now holds the lease.
   */
  async acquire (
    options: { ownerHasTerminated?: boolean, ownerRenewedAt?: number, earlierRenewalsEndAt?: number | null } = {}
  ): Promise<boolean> {
    const earliestTakeover = options.ownerHasTerminated === true
      ? this.observedSince
      : this.getEarliestTakeoverTime(options.ownerRenewedAt)
    const sentAt = this.options.clock.monotonicMilliseconds()
    const sentAtWallTime = this.options.clock.wallMilliseconds()
    if (earliestTakeover === null || sentAt < earliestTakeover || !this.advance('acquire')) return false
    const { shardId, owner, address, region } = this.options
    const observedEpoch = this.getObservedOwner()?.epoch
    const epoch = observedEpoch === undefined ? 1 : observedEpoch + (this.options.epochStep ?? 1)
    const writeId = createIdentifier()
    const assignmentsStoredSince = getAssignmentsStoredSince(this.observedShard)
    const row: ShardRow = {
      owner,
      address,
      region,
      epoch,
      writeId,
      earlier: this.getEarlierOwners(),
      assignmentsStoredSince: assignmentsStoredSince ?? 0,
      earlierRenewalsMilliseconds: Math.max(0, Math.ceil((options.earlierRenewalsEndAt ?? sentAt) - sentAt))
    }
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
    }, { table: SHARD_TABLE, key: shardId, writeId }, { deadlineMilliseconds: this.rules.acquireDeadlineMilliseconds })
    const rowVersion = outcome.kind === 'committed' ? outcome.versions[0] ?? await this.readOwnVersion(writeId) : null
    if (rowVersion === null) {
      this.advance('rejected')
      // Without a conflict the rows may be unchanged; the next read shows it.
      if (outcome.kind === 'committed' || outcome.kind === 'conflict') this.observedSince = null
      return false
    }
    this.advance('acquired')
    this.earlierOwners = row.earlier
    this.assignmentsStoredSince = assignmentsStoredSince
    this.fence = { epoch, rowVersion }
    this.renewedAt = sentAt
    this.renewedAtWallTime = sentAtWallTime
    this.beat = 0
    return true
  }

  /**
   * Renews the lease once.
   * @param summary Free capacity and queue length to publish with the heartbeat.
   * @returns `renewed`, `deposed` when another process owns the shard, or `unsettled` when not confirmed.
   */
  async renew (summary: ShardSummary | null): Promise<'renewed' | 'deposed' | 'unsettled'> {
    return await this.writeHeartbeat(summary, false)
  }

  /**
   * Releases the shard so that a successor can take over at once. The caller must have stopped all writes and sends.
   * @returns Whether the store has recorded the release; if not, the successor waits as after a crash.
   */
  async release (): Promise<boolean> {
    if (!this.advance('release')) return false
    const outcome = await this.writeHeartbeat(null, true)
    this.depose('released')
    return outcome === 'renewed'
  }

  /** Ends the lease, after its release or when another process has taken the shard over. */
  depose (event: 'deposed' | 'released' = 'deposed'): void {
    if (this.fence !== null) this.relinquishedEpochs.add(this.fence.epoch)
    this.fence = null
    this.renewedAt = -Infinity
    this.renewedAtWallTime = -Infinity
    this.observedSince = null
    this.advance(event)
  }

  private getEarlierOwners (): EarlierOwner[] {
    const observed = this.getObservedOwner()
    if (observed === null) return []
    const wasReleased = this.getObservedHeartbeat()?.released ?? false
    const unreleased = wasReleased
      ? observed.earlier
      : [...observed.earlier, { epoch: observed.epoch, address: observed.address }]
    return this.options.selectStoredOwners?.(unreleased) ?? unreleased
  }

  private async writeHeartbeat (
    summary: ShardSummary | null,
    released: boolean
  ): Promise<'renewed' | 'deposed' | 'unsettled'> {
    const fence = this.fence
    if (fence === null) return 'deposed'
    const { repeater } = this.options
    const sends: HeartbeatSend[] = []
    const createNext = (): HeartbeatSend => {
      const send = this.createHeartbeatSend(fence, summary, released)
      sends.push(send)
      return send
    }
    const first = createNext()
    const send = async (sendIndex: number): Promise<TransactionOutcome> => {
      const heartbeat = sendIndex === 0 ? first : createNext()
      const outcome = await this.options.tableService.transact(heartbeat.transaction)
      // While the write was in flight, this process may have been deposed and may have become owner again.
      if (this.fence === fence && outcome.kind === 'committed') this.recordRenewal(heartbeat)
      return outcome
    }
    const { outcome } = repeater === undefined
      ? { outcome: await send(0) }
      : await repeater.transact({
        write: 'renewal',
        transaction: first.transaction,
        send,
        mayRepeat: () => this.fence === fence && this.state === (released ? 'releasing' : 'held'),
        limitMilliseconds: released ? RELEASE_REPEAT_LIMIT_MILLISECONDS : undefined
      })
    if (this.fence !== fence) return 'deposed'
    if (outcome.kind === 'committed') return 'renewed'
    if (outcome.kind === 'unavailable') return 'unsettled'
    if (outcome.kind === 'unknown') return await this.confirmByRead(fence, sends)
    if (!released) this.depose()
    return 'deposed'
  }

  private createHeartbeatSend (fence: Fence, summary: ShardSummary | null, released: boolean): HeartbeatSend {
    const { shardId, owner, clock } = this.options
    const sentAt = clock.monotonicMilliseconds()
    const sentAtWallTime = clock.wallMilliseconds()
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
    return { beat: value.beat, sentAt, sentAtWallTime, transaction }
  }

  /** Records a heartbeat that has taken effect; a successor that observes it does so after it was sent. */
  private recordRenewal ({ sentAt, sentAtWallTime }: HeartbeatSend): void {
    if (sentAt < this.renewedAt) return
    this.renewedAt = sentAt
    this.renewedAtWallTime = sentAtWallTime
  }

  /** Reads which of the sends without a response has taken effect; each has a beat of its own. */
  private async confirmByRead (fence: Fence, sends: HeartbeatSend[]): Promise<'renewed' | 'deposed' | 'unsettled'> {
    const read = await this.options.tableService.read({ table: SHARD_HEARTBEAT_TABLE, key: this.shardId })
    if (this.fence !== fence) return 'deposed'
    if (read.kind !== 'ok' || read.value === null) return 'unsettled'
    const { owner, epoch, beat } = read.value.value as unknown as HeartbeatRow
    if (owner !== this.options.owner || epoch !== fence.epoch) return 'unsettled'
    const confirmed = sends.find(send => send.beat === beat)
    if (confirmed === undefined) return 'unsettled'
    this.recordRenewal(confirmed)
    return 'renewed'
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

function getAssignmentsStoredSince (row: Row | null): number | null {
  // Without an earlier owner, no task has ever been started.
  if (row === null) return 0
  const { assignmentsStoredSince } = row.value as unknown as ShardRow
  if (assignmentsStoredSince === undefined) return null
  return assignmentsStoredSince === 0 ? row.version : assignmentsStoredSince
}

function getUnchangedCondition (row: Row | null): Condition {
  return row === null ? { kind: 'absent' } : { kind: 'version', version: row.version }
}
