import type { Clock } from '../shared/Clock.js'
import type { ObjectStore, TableService } from '../table/TableService.js'
import { getJournalTable, getSequenceKey, SNAPSHOT_TABLE, type JournalRow, type SnapshotRow } from './JournalRecord.js'
import { ShardState, type ShardSnapshot } from './ShardState.js'

/** Batches read at a time; 200 batches of 16 starts are about 1 MB. */
const ROWS_PER_SCAN = 200
/** A store that refuses reads during a takeover is asked again after this time. */
const RETRY_MILLISECONDS = 200

/** A recovered shard. */
export interface RecoveredShard {
  state: ShardState
  lastSequence: number
  learned: unknown
  /** Reads of the store, for measurements. */
  reads: number
}

/** What recovery reads from. */
export interface RecoveryOptions {
  shardId: string
  tableService: TableService
  objectStore: ObjectStore
  clock: Clock
  /** Ends the retries, for example when the lease was lost meanwhile. */
  isCancelled: () => boolean
}

/**
 * Rebuilds the state of a shard from its last snapshot and the journal after it.
 *
 * Called after the takeover, when no earlier owner can write any more.
 * @param options What to read from.
 * @returns The state, or null when it was cancelled.
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
