import type { Clock } from '../shared/Clock.js'
import { ElapsedTime } from '../shared/ElapsedTime.js'
import type { Logger } from '../shared/Logger.js'
import { getCurrentParts } from '../table/splitRecord.js'
import type { TableFeed, TableSnapshot } from '../table/TableFeed.js'
import { TableReadProgress } from '../table/TableReadProgress.js'
import type { Row } from '../table/TableService.js'
import { HOLDING_TABLE, JOB_TABLE, LEARNED_TABLE, PROGRESS_TABLE, UNREACHED_TABLE } from './jobRows.js'

/** Options of a loader. */
export interface ShardRowLoaderOptions {
  shardId: string
  feed: TableFeed
  clock: Clock
  logger: Logger
}

/** The rows of a shard as an earlier owner left them. */
export interface ShardRows {
  jobs: TableSnapshot
  /** The time since the first page of the job table was requested. */
  sinceJobsRead: ElapsedTime
  progress: Row[]
  holding: Row[]
  /** The rows of what earlier owners have learned of interference, the oldest first. */
  learned: Row[]
  /** The rows of the record of unreached workers, the first of which is always present in a record. */
  unreached: Row[]
  /** Monotonic time before the rows of unreached workers were read. */
  unreachedReadAt: number
}

/** What has been read of one table. */
interface TableRead {
  /** The time since the first page was requested. */
  readonly sinceStart: ElapsedTime
  readonly progress: TableReadProgress
  snapshot: TableSnapshot | null
}

/** The tables in the order in which they are read. */
const TABLES = [JOB_TABLE, PROGRESS_TABLE, HOLDING_TABLE, LEARNED_TABLE, UNREACHED_TABLE] as const

/**
 * Reads the rows of a shard after a takeover, and keeps what has arrived when a read fails.
 *
 * Each write of an earlier owner to these tables but the job table checks the row that this owner has replaced, so what
 * was read stays complete; only rows of ended jobs are still deleted. Later rows of the job table follow from the
 * version of its snapshot.
 */
export class ShardRowLoader {
  private readonly reads = new Map<string, TableRead>()

  private constructor (private readonly options: ShardRowLoaderOptions) {}

  /**
   * Creates a loader that has read nothing; it must not be used for a later ownership of the shard.
   * @param options The shard and the store.
   * @returns The loader.
   */
  static create (options: ShardRowLoaderOptions): ShardRowLoader {
    return new ShardRowLoader(options)
  }

  /**
   * Reads the tables that have not been read yet.
   * @returns The rows, or null when a read failed.
   */
  async load (): Promise<ShardRows | null> {
    for (const table of TABLES) if (!await this.readTable(table)) return null
    const [jobs, progress, holding, learned, unreached] = TABLES.map(table => this.reads.get(table)!.snapshot!)
    const unreachedReadAt = this.reads.get(UNREACHED_TABLE)!.sinceStart.startedAt
    const sinceJobsRead = this.reads.get(JOB_TABLE)!.sinceStart
    this.reads.clear()
    return {
      jobs,
      sinceJobsRead,
      progress: progress.rows,
      holding: holding.rows,
      learned: [...learned.rows].sort((left, right) => left.version - right.version),
      unreached: getCurrentParts(unreached.rows, this.options.shardId),
      unreachedReadAt
    }
  }

  private async readTable (table: string): Promise<boolean> {
    const { feed, clock, logger } = this.options
    const read = this.reads.get(table) ??
      { sinceStart: ElapsedTime.start(clock), progress: TableReadProgress.create(), snapshot: null }
    this.reads.set(table, read)
    if (read.snapshot !== null) return true
    const outcome = await feed.readTable(table, read.progress)
    if (outcome.kind === 'ok') read.snapshot = outcome.value
    else logger.warn('table of the shard not read; retrying', { table, reason: outcome.reason })
    return outcome.kind === 'ok'
  }
}
