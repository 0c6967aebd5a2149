import type { Clock } from '../shared/Clock.js'
import type { TableFeed, TableSnapshot } from '../table/TableFeed.js'
import { getCurrentParts } from '../table/splitRecord.js'
import type { Row } from '../table/TableService.js'
import { HOLDING_TABLE, JOB_TABLE, LEARNED_TABLE, PROGRESS_TABLE, UNREACHED_TABLE } from './jobRows.js'

/** Options of a load. */
export interface LoadShardRowsOptions {
  shardId: string
  feed: TableFeed
  clock: Clock
}

/** The rows of a shard as an earlier owner left them. */
export interface ShardRows {
  jobs: TableSnapshot
  progress: Row[]
  holding: Row[]
  /** The rows of what earlier owners have learned of interference, the oldest first. */
  learned: Row[]
  /** The rows of the record of unreached workers, the first of which is always present in a record. */
  unreached: Row[]
  /** Monotonic time before the rows of unreached workers were read. */
  unreachedReadAt: number
}

/**
 * Reads the rows of a shard after a takeover.
 * @param options The shard and the store.
 * @returns The rows, or null when a read failed.
 */
export async function loadShardRows (options: LoadShardRowsOptions): Promise<ShardRows | null> {
  const { feed, clock, shardId } = options
  const jobs = await feed.readTable(JOB_TABLE)
  const progress = await feed.readTable(PROGRESS_TABLE)
  const holding = await feed.readTable(HOLDING_TABLE)
  const learned = await feed.readTable(LEARNED_TABLE)
  const unreachedReadAt = clock.monotonicMilliseconds()
  const unreached = await feed.readTable(UNREACHED_TABLE)
  const isComplete = jobs.kind === 'ok' && progress.kind === 'ok' && holding.kind === 'ok' &&
    learned.kind === 'ok' && unreached.kind === 'ok'
  if (!isComplete) return null
  return {
    jobs: jobs.value,
    progress: progress.value.rows,
    holding: holding.value.rows,
    learned: [...learned.value.rows].sort((left, right) => left.version - right.version),
    unreached: getCurrentParts(unreached.value.rows, shardId),
    unreachedReadAt
  }
}
