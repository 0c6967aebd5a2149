import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import { ElapsedTime } from '../shared/ElapsedTime.js'
import type { Logger } from '../shared/Logger.js'
import { RetryDelay } from '../shared/RetryDelay.js'
import type { LargeTableReader } from './LargeTableReader.js'
import type { RowChange, TableFeed, TableSnapshot } from './TableFeed.js'
import type { ReadOutcome } from './TableService.js'

/** How a follower reads a table whose answers are too large for each instance to receive them. */
export interface LargeTableOptions {
  reader: Pick<LargeTableReader, 'read'>
  /** The largest answer that the follower receives itself. */
  maximumBytes: number
}

/** Options of a follower. */
export interface TableFollowerOptions {
  table: string
  feed: TableFeed
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  /** How long one feed call waits for a change. */
  waitMilliseconds: number
  /** The table version that the caller has already read; when absent, the follower reads the whole table first. */
  startVersion?: number
  /** When absent, answers of any size are received. */
  largeTable?: LargeTableOptions
  /** Returns a number from 0 to 1 for the random part of retry delays. */
  random (): number
  /** Called after the whole table was read; rows that are not in the snapshot do not exist. */
  onSnapshot (snapshot: TableSnapshot): void
  onChanges (changes: RowChange[]): void
}

/** Limits of the delay after a failed call, which limits the retry load on the service during an outage. */
const SHORTEST_RETRY_DELAY_MILLISECONDS = 150
const LONGEST_RETRY_DELAY_MILLISECONDS = 1000

/** Reads a table once, then follows its changes so that a local copy stays up to date. */
export class TableFollower {
  private stopped = false
  private version: number | null
  private lastContactAt = -Infinity
  /** The time since the latest call was sent whose rows were passed on. */
  private sinceRead: ElapsedTime | null = null
  private isAvailable = true
  private readonly retryDelay: RetryDelay
  /** The read of `catchUp` in flight, if any, and the one after it, which has not been sent yet. */
  private currentCatchUp: Promise<void> | null = null
  private followingCatchUp: Promise<void> | null = null

  private constructor (private readonly options: TableFollowerOptions) {
    this.version = options.startVersion ?? null
    this.retryDelay = RetryDelay.create({
      random: options.random,
      shortestMilliseconds: SHORTEST_RETRY_DELAY_MILLISECONDS,
      longestMilliseconds: LONGEST_RETRY_DELAY_MILLISECONDS
    })
  }

  /**
   * Creates a follower; `run` starts it.
   * @param options The table, its feed and the callbacks that receive its rows.
   * @returns The follower.
   */
  static create (options: TableFollowerOptions): TableFollower {
    return new TableFollower(options)
  }

  /** Returns the monotonic time of the last successful call, -Infinity before the first. */
  getLastContactAt (): number {
    return this.lastContactAt
  }

  /**
   * Returns the monotonic time at which the latest call was sent whose rows were passed on, -Infinity before the first;
   * rows that were stored later may be missing.
   */
  getReadAt (): number {
    return this.sinceRead?.startedAt ?? -Infinity
  }

  /** Returns the milliseconds since the time of `getReadAt`, Infinity before the first read. */
  getReadAge (): number {
    return this.sinceRead?.getMilliseconds() ?? Infinity
  }

  /** Follows the table until `stop` is called. */
  async run (): Promise<void> {
    while (!this.stopped) await this.readNext(this.options.waitMilliseconds)
  }

  /**
   * Reads the changes that the table has now, without a wait; calls at the same time share reads. The loop may pass the
   * same changes on again.
   * @returns A promise that resolves after `onChanges` or `onSnapshot` has received all rows stored before the call, or
   * when the follower is stopped. Failed reads are repeated.
   */
  catchUp (): Promise<void> {
    this.followingCatchUp ??= this.startFollowingCatchUp()
    return this.followingCatchUp
  }

  /** Ends the loop after the call in flight, whose result is ignored. */
  stop (): void {
    this.stopped = true
  }

  private async startFollowingCatchUp (): Promise<void> {
    await this.currentCatchUp
    this.followingCatchUp = null
    this.currentCatchUp = this.readUntilCurrent()
    await this.currentCatchUp
  }

  private async readUntilCurrent (): Promise<void> {
    while (!this.stopped && !await this.readNext(0)) { /* A failed read is repeated. */ }
  }

  /** Reads changes, or the whole table without a version, and returns whether all rows stored before are passed on. */
  private async readNext (waitMilliseconds: number): Promise<boolean> {
    const { errors, table } = this.options
    let hasContact = false
    const isComplete = await errors.runAsync(`feed-of-${table}`, async () => {
      hasContact = this.version === null
        ? await this.readSnapshot()
        : await this.awaitChanges(this.version, waitMilliseconds)
    })
    // Changes that were not applied as a whole are contained in a new snapshot.
    if (!isComplete) this.version = null
    if (!hasContact && !this.stopped) await this.delayRetry()
    return hasContact && this.version !== null
  }

  private async readSnapshot (): Promise<boolean> {
    const { feed, table, largeTable } = this.options
    const sinceSent = ElapsedTime.start(this.options.clock)
    const outcome = largeTable === undefined
      ? await feed.readTable(table)
      : await feed.readTableWithin(table, largeTable.maximumBytes)
    return outcome.kind === 'too-large' ? await this.readLargeTable(null, sinceSent) : this.applySnapshot(outcome, sinceSent)
  }

  private async awaitChanges (version: number, waitMilliseconds: number): Promise<boolean> {
    const { feed, table, largeTable } = this.options
    const sinceSent = ElapsedTime.start(this.options.clock)
    const outcome = await feed.waitForChanges(table, version, waitMilliseconds, largeTable?.maximumBytes)
    if (this.stopped) return true
    if (outcome.kind === 'unavailable') return this.recordFailure(outcome.reason)
    if (outcome.kind === 'too-large') return await this.readLargeTable(version, sinceSent)
    this.recordContact()
    this.retryDelay.reset()
    if (outcome.kind === 'compacted') {
      this.options.logger.info('table history was compacted; reading the whole table again', { table, version })
      this.version = null
      return true
    }
    this.version = Math.max(version, this.version ?? version, outcome.version)
    if (outcome.changes.length > 0) this.options.onChanges(outcome.changes)
    this.recordRead(sinceSent)
    return true
  }

  /** Reads a table in another way; a too large answer is no contact before its rows have arrived. */
  private async readLargeTable (afterVersion: number | null, sinceSent: ElapsedTime): Promise<boolean> {
    const { largeTable } = this.options
    if (largeTable === undefined) return this.recordFailure('too-large')
    // A copy that follows another version may lack changes from before the call, so that its rows have no known age.
    return this.applySnapshot(await largeTable.reader.read(afterVersion), afterVersion === null ? sinceSent : null)
  }

  /** Passes a snapshot on, unless newer rows were passed on meanwhile. */
  private applySnapshot (outcome: ReadOutcome<TableSnapshot>, sinceSent: ElapsedTime | null): boolean {
    if (this.stopped) return true
    if (outcome.kind !== 'ok') return this.recordFailure(outcome.reason)
    const snapshot = outcome.value
    this.recordContact()
    this.retryDelay.reset()
    if (this.version !== null && snapshot.version < this.version) return true
    this.version = snapshot.version
    this.options.onSnapshot(snapshot)
    if (sinceSent !== null) this.recordRead(sinceSent)
    return true
  }

  private recordRead (sinceSent: ElapsedTime): void {
    if (sinceSent.startedAt >= this.getReadAt()) this.sinceRead = sinceSent
  }

  private recordContact (): void {
    this.lastContactAt = this.now()
    if (!this.isAvailable) this.options.logger.info('table feed available again', { table: this.options.table })
    this.isAvailable = true
  }

  private recordFailure (reason: string): false {
    if (this.isAvailable) this.options.logger.warn('table feed unavailable; retrying', { table: this.options.table, reason })
    this.isAvailable = false
    return false
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }

  private delayRetry (): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(this.retryDelay.next(), resolve) })
  }
}
