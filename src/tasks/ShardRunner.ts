import type { CancelTimer, Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import { HEARTBEAT_INTERVAL_MILLISECONDS, type ShardLease } from '../leases/ShardLease.js'
import type { ObjectStore, TableService } from '../table/TableService.js'
import type { WorkerClient } from '../workers/WorkerProtocol.js'
import { getInboxTable, getCheckpointKey, QUOTA_TABLE } from './JournalRecord.js'
import { getShardSummary } from './moveTasks.js'
import type { OwnerEffect, OwnerMessage } from './ownerMessages.js'
import type { ShardJournal } from './ShardJournal.js'
import type { ShardOwner } from './ShardOwner.js'
import { writeSnapshot } from './writeSnapshot.js'

/** Wakes closer together than this are one; each costs a look at every worker. */
const MIN_WAKE_INTERVAL_MILLISECONDS = 10
/** Jobs taken from the inbox at a time; a job has up to 1,000 tasks. */
const INBOX_ROWS_PER_SCAN = 50
/** A graceful stop waits at most this long for the journal; what is left is recovered by the successor. */
const STOP_LIMIT_MILLISECONDS = 3000

/** What a runner works with. */
export interface ShardRunnerOptions {
  owner: ShardOwner
  lease: ShardLease
  journal: ShardJournal
  tableService: TableService
  objectStore: ObjectStore
  workerClient: WorkerClient
  clock: Clock
  logger: Logger
  /** Tells the owner of another shard that its inbox has changed. */
  notifyShard: (shardId: string) => void
  /** Called once when the shard is no longer run here. */
  onEnd: (reason: string) => void
}

/** Runs the owner of one shard: carries out its effects, keeps its timers, and renews its lease. */
export class ShardRunner {
  private cancelWake: CancelTimer = () => {}
  private cancelHeartbeat: CancelTimer = () => {}
  private wakeAt = Infinity
  private ended = false
  private resolveStop: (() => void) | null = null

  private constructor (private readonly options: ShardRunnerOptions) {}

  /**
   * Creates a runner; `start` sets it going.
   * @param options The owner and what it works with.
   * @returns The runner.
   */
  static create (options: ShardRunnerOptions): ShardRunner {
    return new ShardRunner(options)
  }

  get owner (): ShardOwner {
    return this.options.owner
  }

  get lease (): ShardLease {
    return this.options.lease
  }

  /** Begins to renew the lease and to wake the owner. */
  start (): void {
    this.send({ kind: 'lease-renewed', renewedAt: this.options.lease.getRenewedAt() })
    this.scheduleHeartbeat()
  }

  /**
   * Hands a message to the owner and carries out what it wants.
   * @param message The message.
   */
  send (message: OwnerMessage): void {
    if (this.ended) return
    const now = this.options.clock.monotonicMilliseconds()
    for (const effect of this.options.owner.step(message, now)) this.executeEffect(effect)
    if (!this.ended) this.scheduleWake()
  }

  /** Stops new starts, empties the journal, and gives the shard up so that a successor need not wait. */
  async stop (): Promise<void> {
    if (this.ended) return
    await new Promise<void>(resolve => {
      this.resolveStop = resolve
      this.options.clock.setTimer(STOP_LIMIT_MILLISECONDS, resolve)
      this.send({ kind: 'stop' })
    })
    if (this.ended) return
    this.finish('released')
    await this.options.lease.release()
  }

  /** Drops everything at once, as a process that has been deposed must. */
  drop (reason: string): void {
    if (this.ended) return
    this.options.lease.depose()
    this.finish(reason)
  }

  private finish (reason: string): void {
    this.ended = true
    this.cancelWake()
    this.cancelHeartbeat()
    this.resolveStop?.()
    this.options.onEnd(reason)
  }

  private executeEffect (effect: OwnerEffect): unknown {
    switch (effect.kind) {
      case 'write-journal': return this.writeJournal(effect)
      case 'exchange': return this.exchange(effect)
      case 'scan-inbox': return this.scanInbox()
      case 'read-quotas': return this.readQuotas(effect.teams)
      case 'look-up-checkpoint': return this.lookUpCheckpoint(effect)
      case 'write-snapshot': return this.writeSnapshot(effect)
      case 'notify-shard': return this.options.notifyShard(effect.shardId)
      case 'answer': return effect.run()
      case 'drop': return this.drop(effect.reason)
      case 'stopped': return this.resolveStop?.()
    }
  }

  private async writeJournal (effect: Extract<OwnerEffect, { kind: 'write-journal' }>): Promise<void> {
    const fence = this.options.lease.getFence()
    if (fence === null) return this.drop('the lease was lost')
    const outcome = await this.options.journal.write(effect.batch, fence, effect.dataCentreVersion)
    this.send({ kind: 'journal-settled', outcome })
  }

  private async exchange ({ worker, sent }: Extract<OwnerEffect, { kind: 'exchange' }>): Promise<void> {
    const { workerId, address } = worker
    const outcome = await this.options.workerClient.exchange(workerId, address, sent.exchange)
    this.send({ kind: 'exchanged', workerId, sent, outcome })
  }

  private async scanInbox (): Promise<void> {
    const table = getInboxTable(this.options.lease.shardId)
    const rows = await this.options.tableService.scan(table, { limit: INBOX_ROWS_PER_SCAN })
    this.send({ kind: 'inbox-scanned', rows: rows.kind === 'ok' ? rows.value : null })
  }

  private async readQuotas (teams: string[]): Promise<void> {
    const rows = await this.options.tableService.readMany(teams.map(key => ({ table: QUOTA_TABLE, key })))
    this.send({ kind: 'quotas-read', teams, rows: rows.kind === 'ok' ? rows.value : null })
  }

  private async lookUpCheckpoint (effect: Extract<OwnerEffect, { kind: 'look-up-checkpoint' }>): Promise<void> {
    const { taskId, attempt, fallback } = effect
    const key = getCheckpointKey(taskId, attempt)
    const found = await this.options.objectStore.getObject(key)
    const checkpoint = found.kind !== 'ok' ? 'unavailable' : found.value === null ? fallback : key
    this.send({ kind: 'checkpoint-looked-up', taskId, attempt, checkpoint })
  }

  private async writeSnapshot (effect: Extract<OwnerEffect, { kind: 'write-snapshot' }>): Promise<void> {
    const { lease, tableService, objectStore } = this.options
    const fence = lease.getFence()
    if (fence === null) return
    const { sequence, snapshot } = effect
    const written = await writeSnapshot({
      shardId: lease.shardId, tableService, objectStore, fence, sequence, snapshot
    })
    this.send({ kind: 'snapshot-written', written })
  }

  private scheduleWake (): void {
    const now = this.options.clock.monotonicMilliseconds()
    const wakeAt = Math.max(this.options.owner.getNextWake(now), now + MIN_WAKE_INTERVAL_MILLISECONDS)
    if (wakeAt >= this.wakeAt) return
    this.cancelWake()
    this.wakeAt = wakeAt
    this.cancelWake = this.options.clock.setTimer(wakeAt - now, () => {
      this.wakeAt = Infinity
      this.send({ kind: 'wake' })
    })
  }

  private scheduleHeartbeat (): void {
    this.cancelHeartbeat = this.options.clock.setTimer(HEARTBEAT_INTERVAL_MILLISECONDS, () => {
      this.scheduleHeartbeat()
      this.renew()
    })
  }

  private async renew (): Promise<void> {
    const outcome = await this.options.lease.renew(getShardSummary(this.options.owner.core))
    if (this.ended) return
    if (outcome === 'renewed') this.send({ kind: 'lease-renewed', renewedAt: this.options.lease.getRenewedAt() })
    else if (outcome === 'deposed') this.drop('deposed')
  }
}
