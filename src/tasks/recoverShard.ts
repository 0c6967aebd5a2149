import type { Clock } from '../shared/Clock.js'
import type { ObjectStore, TableService } from '../table/TableService.js'
import { getJournalTable, getSequenceKey, SNAPSHOT_TABLE, type JournalRow, type SnapshotRow } from './JournalRecord.js'
import { ShardState, type ShardSnapshot } from './ShardState.js'

/** Journal rows read per scan; 200 batches of 16 starts are about 1 MB. */
const ROWS_PER_SCAN = 200
/** Delay before recovery is retried when a read from the store has failed. */
const RETRY_MILLISECONDS = 200

/** The recovered state of a shard. */
export interface RecoveredShard {
  state: ShardState
  lastSequence: number
  learned: unknown
  /** Number of reads from the store, for benchmarks. */
  reads: number
}

/** Options of a recovery. */
export interface RecoveryOptions {
  shardId: string
  tableService: TableService
  objectStore: ObjectStore
  clock: Clock
  /** Returns true when the retries should end, for example because the lease was lost. */
  isCancelled: () => boolean
}

/**
 * Rebuilds the state of a shard from its last snapshot and the journal rows after it.
 *
 * The caller must hold the shard lease, so that no earlier owner can write to the journal.
 * @param options The shard and the stores to read from.
 * @returns The state, or null when recovery was cancelled.
 */
export async function recoverShard (options: RecoveryOptions): Promise<RecoveredShard | null> {
  while (!options.isCancelled()) {
    const recovered = await attemptRecovery(options)
    if (recovered !== null) return recovered
    await new Promise<void>(resolve => { options.clock.setTimer(RETRY_MILLISECONDS, resolve) })
  }
  return null
}

async function attemptRecovery (options: RecoveryOptions): Promise<RecoveredShard | null> {
  const { shardId, tableService, objectStore, clock } = options
  const state = ShardState.create()
  let lastSequence = 0
  let learned: unknown = null
  let reads = 1
  const row = await tableService.read({ table: SNAPSHOT_TABLE, key: shardId })
  if (row.kind !== 'ok') return null
  if (row.value !== null) {
    const { objectKey, sequence } = row.value.value as unknown as SnapshotRow
    const object = await objectStore.getObject(objectKey)
    reads++
    if (object.kind !== 'ok' || object.value === null) return null
    const snapshot = JSON.parse(Buffer.from(object.value).toString()) as ShardSnapshot
    state.restoreSnapshot(snapshot, clock.monotonicMilliseconds())
    lastSequence = sequence
    learned = snapshot.learned
  }
  for (;;) {
    const after = getSequenceKey(lastSequence)
    const rows = await tableService.scan(getJournalTable(shardId), { after, limit: ROWS_PER_SCAN })
    reads++
    if (rows.kind !== 'ok') return null
    for (const { key, value } of rows.value) {
      for (const record of (value as unknown as JournalRow).records) {
        state.apply(record, clock.monotonicMilliseconds())
      }
      lastSequence = Number(key)
    }
    if (rows.value.length < ROWS_PER_SCAN) return { state, lastSequence, learned, reads }
  }
}
