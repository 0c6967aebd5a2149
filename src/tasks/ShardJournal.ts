import type { Clock } from '../shared/Clock.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Fence } from '../leases/ShardLease.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import { DATA_CENTRE_TABLE } from '../configuration/Configuration.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { Condition, Operation, Row, TableService } from '../table/TableService.js'
import { getInboxTable, getJournalTable, getSequenceKey, QUOTA_TABLE, type JournalRow } from './JournalRecord.js'
import type { JournalBatch, RelatedRows } from './JournalQueue.js'

/** A write whose outcome is unknown after this time is sent again by the owner, which meanwhile handles messages. */
const SETTLE_DEADLINE_MILLISECONDS = 3000

/** The outcome of writing a batch. */
export type JournalOutcome =
  | { kind: 'committed' }
  /** The batch did not and cannot take effect; it may be sent again. */
  | { kind: 'unavailable' }
  /** The batch may or may not have taken effect; the same batch must be sent again. */
  | { kind: 'unknown' }
  /** Another process owns the shard. */
  | { kind: 'deposed' }
  /** The row of the data centre has changed since it was read; the batch did not take effect. */
  | { kind: 'data-centre-changed', current: Row | null }
  /** A quota row has changed since it was read; the batch did not take effect. */
  | { kind: 'quota-changed', team: string, current: Row | null }
  /** A row that the batch depends on has changed unexpectedly: the owner's memory is out of date. */
  | { kind: 'out-of-date', table: string, key: string }

/** Safety checks that tests disable to verify that a violation is detected. */
export interface ShardJournalRules {
  checkFence: boolean
  checkDataCentre: boolean
  readBack: boolean
}

/** Options of a journal. */
export interface ShardJournalOptions {
  shardId: string
  dataCentre: string
  tableService: TableService
  clock: Clock
  rules?: Partial<ShardJournalRules>
}

/** Writes the batches of one shard, each in one transaction that only the shard's owner can commit. */
export class ShardJournal {
  private constructor (
    private readonly options: ShardJournalOptions,
    private readonly rules: ShardJournalRules,
    private readonly writer: SettledWriter
  ) {}

  /**
   * Creates the writer of a shard's journal.
   * @param options The shard, its data centre, and the table service.
   * @returns The writer.
   */
  static create (options: ShardJournalOptions): ShardJournal {
    const rules = { checkFence: true, checkDataCentre: true, readBack: true, ...options.rules }
    const { tableService, clock } = options
    return new ShardJournal(options, rules, SettledWriter.create({ tableService, clock }))
  }

  /**
   * Writes one batch; if the outcome is unknown, reads the batch's journal row back to determine it.
   * @param batch The batch.
   * @param fence The fence of the owner's lease.
   * @param dataCentreVersion The version at which `data-centres/<name>` was in service, null if there is no row.
   * @returns The outcome.
   */
  async write (batch: JournalBatch, fence: Fence, dataCentreVersion: number | null): Promise<JournalOutcome> {
    const operations = this.createOperations(batch, fence, dataCentreVersion)
    const key = getSequenceKey(batch.sequence)
    const marker = { table: getJournalTable(this.options.shardId), key, writeId: batch.writeId }
    const limit = { deadlineMilliseconds: SETTLE_DEADLINE_MILLISECONDS }
    const outcome = this.rules.readBack
      ? await this.writer.transactAndSettle({ operations }, marker, limit)
      : await this.options.tableService.transact({ operations })
    if (outcome.kind === 'committed' || outcome.kind === 'unavailable') return { kind: outcome.kind }
    if (outcome.kind === 'unknown') return { kind: this.rules.readBack ? 'unknown' : 'committed' }
    return this.classifyConflict(outcome.row, outcome.current, batch)
  }

  /** Puts the journal row first, so that a conflict with an earlier write of the same batch is reported as such. */
  private createOperations (batch: JournalBatch, fence: Fence, dataCentreVersion: number | null): Operation[] {
    const { shardId, dataCentre } = this.options
    const records = batch.entries.flatMap(entry => entry.record === null ? [] : [entry.record])
    const value: JournalRow = { writeId: batch.writeId, epoch: fence.epoch, records }
    const operations: Operation[] = [{
      kind: 'put',
      table: getJournalTable(shardId),
      key: getSequenceKey(batch.sequence),
      value: value as unknown as JsonValue,
      condition: { kind: 'absent' }
    }]
    if (this.rules.checkFence) {
      const condition: Condition = { kind: 'version', version: fence.rowVersion }
      operations.push({ kind: 'check', table: SHARD_TABLE, key: shardId, condition })
    }
    if (batch.hasStarts && this.rules.checkDataCentre) {
      const condition = getVersionCondition(dataCentreVersion)
      operations.push({ kind: 'check', table: DATA_CENTRE_TABLE, key: dataCentre, condition })
    }
    for (const { rows } of batch.entries) if (rows !== undefined) operations.push(...this.createRowOperations(rows))
    return operations
  }

  private createRowOperations ({ inboxRow, transfer, quotaChange }: RelatedRows): Operation[] {
    const operations: Operation[] = []
    if (inboxRow !== undefined) {
      const condition: Condition = { kind: 'version', version: inboxRow.version }
      operations.push({ kind: 'delete', table: getInboxTable(this.options.shardId), key: inboxRow.key, condition })
    }
    if (transfer !== undefined) {
      const value = transfer.entry as unknown as JsonValue
      const table = getInboxTable(transfer.shardId)
      operations.push({ kind: 'put', table, key: transfer.key, value, condition: { kind: 'absent' } })
    }
    if (quotaChange !== undefined) {
      const value = quotaChange.value as unknown as JsonValue
      const condition = getVersionCondition(quotaChange.version)
      operations.push({ kind: 'put', table: QUOTA_TABLE, key: quotaChange.team, value, condition })
    }
    return operations
  }

  private classifyConflict (
    row: { table: string, key: string },
    current: Row | null,
    batch: JournalBatch
  ): JournalOutcome {
    switch (row.table) {
      case getJournalTable(this.options.shardId):
        // An earlier write of this batch took effect, but its response was lost.
        return (current?.value as unknown as JournalRow | undefined)?.writeId === batch.writeId
          ? { kind: 'committed' }
          : { kind: 'out-of-date', ...row }
      case SHARD_TABLE: return { kind: 'deposed' }
      case DATA_CENTRE_TABLE: return { kind: 'data-centre-changed', current }
      case QUOTA_TABLE: return { kind: 'quota-changed', team: row.key, current }
      default: return { kind: 'out-of-date', table: row.table, key: row.key }
    }
  }
}

function getVersionCondition (version: number | null): Condition {
  return version === null ? { kind: 'absent' } : { kind: 'version', version }
}
