import type { Clock } from '../shared/Clock.js'
import type { TableFeed, TableSnapshot } from '../table/TableFeed.js'
import type { Row, TableService } from '../table/TableService.js'
import { HOLDING_TABLE, JOB_TABLE, LEARNED_TABLE, PROGRESS_TABLE, UNREACHED_TABLE } from './jobRows.js'

/** Options of a load. */
export interface LoadShardRowsOptions {
  shardId: string
  tableService: TableService
  feed: TableFeed
  clock: Clock
}

/** The rows of a shard as an earlier owner left them. */
export interface ShardRows {
  jobs: TableSnapshot
  progress: Row[]
  holding: Row[]
  learned: Row | null
  unreached: Row | null
  /** Monotonic time before the row of unreached workers was read. */
  unreachedReadAt: number
}

/**
 * Reads the rows of a shard after a takeover.
 * @param options The shard and the store.
 * @returns The rows, or null when a read failed.
 */
export async function loadShardRows (options: LoadShardRowsOptions): Promise<ShardRows | null> {
  const { feed, tableService, clock, shardId: key } = options
  const jobs = await feed.readTable(JOB_TABLE)
  const progress = await feed.readTable(PROGRESS_TABLE)
  const holding = await feed.readTable(HOLDING_TABLE)
  const learned = await tableService.read({ table: LEARNED_TABLE, key })
  const unreachedReadAt = clock.monotonicMilliseconds()
  const unreached = await tableService.read({ table: UNREACHED_TABLE, key })
  const isComplete = jobs.kind === 'ok' && progress.kind === 'ok' && holding.kind === 'ok' &&
    learned.kind === 'ok' && unreached.kind === 'ok'
  if (!isComplete) return null
  return {
    jobs: jobs.value,
    progress: progress.value.rows,
    holding: holding.value.rows,
    learned: learned.value,
    unreached: unreached.value,
    unreachedReadAt
  }
}
