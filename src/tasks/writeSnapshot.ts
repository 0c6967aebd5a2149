import type { JsonValue } from '../shared/JsonValue.js'
import type { Fence } from '../leases/ShardLease.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import type { Condition, ObjectStore, TableService } from '../table/TableService.js'
import { getJournalTable, getSequenceKey, SNAPSHOT_TABLE, type SnapshotRow } from './JournalRecord.js'
import type { ShardSnapshot } from './ShardState.js'

/** Maximum number of journal rows deleted in one transaction. */
const ROWS_PER_DELETION = 250

/** Options of a snapshot write. */
export interface SnapshotOptions {
  shardId: string
  tableService: TableService
  objectStore: ObjectStore
  fence: Fence
  /** The sequence number of the last batch that the snapshot includes. */
  sequence: number
  snapshot: ShardSnapshot
}

/**
 * Writes a snapshot object, points the row `shard-snapshots/<shard>` at it, and deletes the journal rows it replaces.
 *
 * A failure at any point leaves the shard recoverable: the row always points at a complete object, and recovery skips
 * replaced journal rows that were not deleted, because it reads only rows after the snapshot's sequence number.
 * @param options The snapshot, the stores and the owner's fence.
 * @returns Whether the row now points at the new snapshot.
 */
export async function writeSnapshot (options: SnapshotOptions): Promise<boolean> {
  const { shardId, tableService, objectStore, fence, sequence, snapshot } = options
  const objectKey = `snapshots/${shardId}/${fence.epoch}-${sequence}`
  const stored = await objectStore.putObject(objectKey, Buffer.from(JSON.stringify(snapshot)))
  if (stored.kind !== 'ok') return false
  const previous = await tableService.read({ table: SNAPSHOT_TABLE, key: shardId })
  if (previous.kind !== 'ok') return false
  const condition: Condition = { kind: 'version', version: fence.rowVersion }
  const value: SnapshotRow = { objectKey, sequence, epoch: fence.epoch }
  const pointed = await tableService.transact({
    operations: [
      { kind: 'check', table: SHARD_TABLE, key: shardId, condition },
      {
        kind: 'put',
        table: SNAPSHOT_TABLE,
        key: shardId,
        value: value as unknown as JsonValue,
        // A delayed write must not point back at an older snapshot: its later journal rows have been deleted.
        condition: previous.value === null ? { kind: 'absent' } : { kind: 'version', version: previous.value.version }
      }
    ]
  })
  if (pointed.kind !== 'committed') return false
  const former = previous.value === null ? null : previous.value.value as unknown as SnapshotRow
  if (former !== null && former.objectKey !== objectKey) await objectStore.deleteObject(former.objectKey)
  await removeRows(options, condition)
  return true
}

async function removeRows ({ shardId, tableService, sequence }: SnapshotOptions, fence: Condition): Promise<void> {
  const table = getJournalTable(shardId)
  for (;;) {
    const rows = await tableService.scan(table, { limit: ROWS_PER_DELETION })
    if (rows.kind !== 'ok') return
    const replaced = rows.value.filter(({ key }) => key <= getSequenceKey(sequence))
    if (replaced.length === 0) return
    const outcome = await tableService.transact({
      operations: [
        { kind: 'check', table: SHARD_TABLE, key: shardId, condition: fence },
        ...replaced.map(({ key }) => ({ kind: 'delete' as const, table, key, condition: { kind: 'any' as const } }))
      ]
    })
    if (outcome.kind !== 'committed') return
  }
}
