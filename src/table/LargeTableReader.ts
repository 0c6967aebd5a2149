import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import type { ListedObjectStore } from './ListedObjectStore.js'
import { mergeChanges } from './mergeChanges.js'
import { TableCopies } from './TableCopies.js'
import { zlibCompression, type Compression } from './tableCopyFormat.js'
import type { FeedOutcome, TableFeed, TableSnapshot } from './TableFeed.js'
import type { ReadOutcome } from './TableService.js'

/** Why an instance reads a large table itself: it publishes the copy, or it has found none in time. */
export type WholeReadCause = 'publisher' | 'no-copy'

/** Counts what a reader does. */
export interface LargeTableObserver {
  copyPublished (): void
  copyUsed (): void
  wholeRead (cause: WholeReadCause): void
}

/** Options of a reader. */
export interface LargeTableReaderOptions {
  table: string
  feed: TableFeed
  objects: ListedObjectStore
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  observer: LargeTableObserver
  /** The limit of the changes that are read after a copy. */
  maximumBytes: number
  /** How much longer this instance looks for a copy, because it has few resources to read the table for others. */
  resourceDelayMilliseconds: number
  /** Compression of the copies; zlib by default. */
  compression?: Compression
  /** Returns whether this instance publishes the copy. */
  isPublisher (): boolean
  /** Returns a number from 0 to 1 for the random parts of delays. */
  random (): number
}

/** The search of one read for a usable copy. */
interface Search {
  /** The version that the copy must exceed; null when the caller has no version. */
  readonly requestedAfter: number | null
  readonly startedAt: number
  readonly randomDelay: number
  readonly excluded: Set<number>
  /** The version that the next copy must exceed. */
  after: number | null
  /** The shortest time in which the store has answered a list. */
  roundTripMilliseconds: number
  failure: string | null
}

/** The publisher cannot have stored the copy of a new version before. */
const FIRST_PAUSE_MILLISECONDS = 150
const LIST_INTERVAL_MILLISECONDS = 100
/** Upper limit of the random part of a pause, which spreads the lists and reads of the instances. */
const PAUSE_SPREAD_MILLISECONDS = 50
/** An instance looks for a copy at least for this long before it reads the table itself. */
const SHORTEST_SEARCH_MILLISECONDS = 300
/** The search lasts this many round trips longer, so that instances near the store read first and publish. */
const STORE_DISTANCE_WEIGHT = 14
const LONGEST_DISTANCE_DELAY_MILLISECONDS = 800
/** Upper limit of the random part of a search, which spreads instances of the same distance. */
const SEARCH_SPREAD_MILLISECONDS = 100
/** How much longer than the search the transfer of a copy may take. */
const COPY_TRANSFER_MILLISECONDS = 2000
/** How long the last list of a search may take. */
const LAST_LIST_MILLISECONDS = 100

/**
 * Reads a table that is too large for each instance to read it over a shared link.
 *
 * One instance reads it and publishes a compressed copy in the object store, which the others read. An instance that
 * finds no copy in time reads the table itself and publishes it, so that no instance depends on another one.
 */
export class LargeTableReader {
  private readonly copies: TableCopies

  private constructor (private readonly options: LargeTableReaderOptions) {
    const { table, objects, logger, errors, observer, compression = zlibCompression } = options
    this.copies = TableCopies.create({
      table, objects, logger, errors, compression, onPublished: () => observer.copyPublished()
    })
  }

  /**
   * Creates a reader.
   * @param options The table, its feed and the object store.
   * @returns The reader.
   */
  static create (options: LargeTableReaderOptions): LargeTableReader {
    return new LargeTableReader(options)
  }

  /**
   * Reads the table from a copy, or as a whole.
   * @param afterVersion The version after which the table has changed; null when the caller has no version.
   * @returns A snapshot of a greater version, which may already be followed by changes; for null, a snapshot with all
   * changes stored before the call. Unavailable with the reason when the table could not be read.
   */
  async read (afterVersion: number | null): Promise<ReadOutcome<TableSnapshot>> {
    const { clock, random } = this.options
    const search: Search = {
      requestedAfter: afterVersion,
      startedAt: clock.monotonicMilliseconds(),
      randomDelay: random() * SEARCH_SPREAD_MILLISECONDS,
      excluded: new Set(),
      after: afterVersion,
      roundTripMilliseconds: Infinity,
      failure: null
    }
    if (afterVersion !== null && !this.options.isPublisher()) {
      await this.pause(FIRST_PAUSE_MILLISECONDS + random() * PAUSE_SPREAD_MILLISECONDS)
    }
    for (;;) {
      if (this.options.isPublisher()) return await this.readWhole(search, 'publisher')
      const snapshot = await this.findSnapshot(search)
      if (snapshot !== null) return { kind: 'ok', value: snapshot }
      const remaining = this.getRemaining(search)
      if (remaining <= 0) return await this.readWhole(search, 'no-copy')
      const interval = LIST_INTERVAL_MILLISECONDS + random() * PAUSE_SPREAD_MILLISECONDS
      await this.pause(Math.min(remaining, interval))
    }
  }

  private getRemaining (search: Search): number {
    const distanceDelay = Math.min(
      LONGEST_DISTANCE_DELAY_MILLISECONDS, search.roundTripMilliseconds * STORE_DISTANCE_WEIGHT
    )
    const duration = SHORTEST_SEARCH_MILLISECONDS + distanceDelay + this.options.resourceDelayMilliseconds +
      search.randomDelay
    return search.startedAt + duration - this.options.clock.monotonicMilliseconds()
  }

  private async readWhole (search: Search, cause: WholeReadCause): Promise<ReadOutcome<TableSnapshot>> {
    const { table, feed, logger, observer } = this.options
    logger.info('reading a large table as a whole', {
      table, cause, reason: search.failure, milliseconds: this.getElapsed(search)
    })
    observer.wholeRead(cause)
    const read = await feed.readTable(table)
    if (read.kind === 'ok') this.copies.publish(read.value)
    return read
  }

  private async findSnapshot (search: Search): Promise<TableSnapshot | null> {
    const { table, logger, observer } = this.options
    const version = await this.findVersion(search)
    if (version === null) return null
    const changes = await this.readChangesAfter(search, version)
    if (changes === null) return null
    const limit = Math.max(0, this.getRemaining(search)) + COPY_TRANSFER_MILLISECONDS
    const copy = await this.awaitUntil(this.copies.read(version), limit) ??
      { kind: 'unavailable' as const, reason: 'copy not read in time' }
    if (copy.kind !== 'ok') {
      if (copy.kind === 'malformed') this.excludeCopy(search, version, copy.kind)
      search.failure = copy.kind === 'unavailable' ? copy.reason : copy.kind
      return null
    }
    const { snapshot, bytes } = copy.value
    logger.info('table copy used', { table, version, bytes, milliseconds: this.getElapsed(search) })
    observer.copyUsed()
    return changes.kind === 'changes' ? mergeChanges(snapshot, changes.changes, changes.version) : snapshot
  }

  /**
   * Reads the changes after a copy before the copy itself, which need not be transferred if it cannot be used. Without
   * its changes, a copy is used only if the caller has an older version.
   */
  private async readChangesAfter (search: Search, version: number): Promise<FeedOutcome | null> {
    const { table, feed, maximumBytes } = this.options
    const outcome = await feed.waitForChanges(table, version, 0, maximumBytes)
    if (outcome.kind === 'changes') {
      if (outcome.version >= version) return outcome
      this.excludeCopy(search, version, 'newer than the table')
      return null
    }
    if (search.requestedAfter !== null) return outcome
    search.failure = outcome.kind === 'unavailable' ? outcome.reason : outcome.kind
    if (outcome.kind !== 'unavailable') {
      search.after = version
      this.excludeCopy(search, version, outcome.kind)
    }
    return null
  }

  private excludeCopy (search: Search, version: number, reason: string): void {
    search.excluded.add(version)
    this.options.logger.info('table copy not usable', { table: this.options.table, version, reason })
  }

  private async findVersion (search: Search): Promise<number | null> {
    const { clock } = this.options
    const listedAt = clock.monotonicMilliseconds()
    const limit = Math.max(LAST_LIST_MILLISECONDS, this.getRemaining(search))
    const listed = await this.awaitUntil(this.copies.listVersions(search.after), limit)
    const roundTrip = clock.monotonicMilliseconds() - listedAt
    search.roundTripMilliseconds = Math.min(search.roundTripMilliseconds, roundTrip)
    if (listed?.kind !== 'ok') {
      search.failure = listed?.reason ?? 'copies not listed in time'
      return null
    }
    search.failure = null
    return listed.value.filter(version => !search.excluded.has(version)).at(-1) ?? null
  }

  private getElapsed (search: Search): number {
    return Math.round(this.options.clock.monotonicMilliseconds() - search.startedAt)
  }

  /** Waits for a result, or returns null after the given time. */
  private awaitUntil<Value> (pending: Promise<Value>, milliseconds: number): Promise<Value | null> {
    return new Promise((resolve, reject) => {
      const cancel = this.options.clock.setTimer(milliseconds, () => resolve(null))
      pending.then(resolve, reject).finally(cancel)
    })
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
