import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { RowChange, TableFeed, TableSnapshot } from './TableFeed.js'

/** What a follower tells of a table. */
export interface TableFollowerOptions {
  table: string
  feed: TableFeed
  clock: Clock
  logger: Logger
  /** How long one call waits for a change. */
  waitMilliseconds: number
  /** The version as of which the caller has read the table already; without it the table is read first. */
  startVersion?: number
  /** The whole table was read; rows that it lacks do not exist. */
  onSnapshot (snapshot: TableSnapshot): void
  onChanges (changes: RowChange[]): void
}

/** Wait after a failed call, so that an outage does not get a load of retries. */
const RETRY_DELAY_MILLISECONDS = 250

/** Keeps a copy of a table up to date by reading it once and following its changes. */
export class TableFollower {
  private stopped = false
  private version: number | null
  private lastContactAt = -Infinity
  private isAvailable = true

  private constructor (private readonly options: TableFollowerOptions) {
    this.version = options.startVersion ?? null
  }

  /**
   * Creates a follower that does nothing before `run`.
   * @param options The table, and what to do with its rows.
   * @returns The follower.
   */
  static create (options: TableFollowerOptions): TableFollower {
    return new TableFollower(options)
  }

  /** Returns the monotonic time of the last answer, -Infinity before the first. */
  getLastContactAt (): number {
    return this.lastContactAt
  }

  /** Follows the table until it is stopped. */
  async run (): Promise<void> {
    while (!this.stopped) {
      const succeeded = this.version === null ? await this.readSnapshot() : await this.awaitChanges(this.version)
      if (!succeeded && !this.stopped) await this.delayRetry()
    }
  }

  /** Ends the loop after the call in flight, whose answer is ignored. */
  stop (): void {
    this.stopped = true
  }

  private async readSnapshot (): Promise<boolean> {
    const { feed, table } = this.options
    const outcome = await feed.readTable(table)
    if (this.stopped) return true
    if (outcome.kind !== 'ok') return this.recordFailure(outcome.reason)
    this.recordContact()
    this.version = outcome.value.version
    this.options.onSnapshot(outcome.value)
    return true
  }

  private async awaitChanges (version: number): Promise<boolean> {
    const { feed, table, waitMilliseconds } = this.options
    const outcome = await feed.waitForChanges(table, version, waitMilliseconds)
    if (this.stopped) return true
    if (outcome.kind === 'unavailable') return this.recordFailure(outcome.reason)
    this.recordContact()
    if (outcome.kind === 'compacted') {
      this.options.logger.info('the history of the table is gone; reading it again', { table, version })
      this.version = null
      return true
    }
    this.version = Math.max(version, outcome.version)
    if (outcome.changes.length > 0) this.options.onChanges(outcome.changes)
    return true
  }

  private recordContact (): void {
    this.lastContactAt = this.options.clock.monotonicMilliseconds()
    if (!this.isAvailable) this.options.logger.info('following the table again', { table: this.options.table })
    this.isAvailable = true
  }

  private recordFailure (reason: string): false {
    if (this.isAvailable) this.options.logger.warn('the table cannot be followed', { table: this.options.table, reason })
    this.isAvailable = false
    return false
  }

  private delayRetry (): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(RETRY_DELAY_MILLISECONDS, resolve) })
  }
}
