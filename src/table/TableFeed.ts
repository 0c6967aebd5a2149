import type { TableReadProgress } from './TableReadProgress.js'
import type { ReadOutcome, Row } from './TableService.js'

/** The write or deletion of a row. */
export interface RowChange {
  key: string
  /** The row as written, or null when it was deleted. */
  row: Row | null
}

/** All rows of a table; changes made after `version` may be missing. */
export interface TableSnapshot {
  rows: Row[]
  version: number
}

/** The rows exceed the bytes that the caller accepts; they were not received. */
export interface TooLarge {
  kind: 'too-large'
}

/** The outcome of waiting for changes. */
export type FeedOutcome =
  | { kind: 'changes', changes: RowChange[], version: number }
  | TooLarge
  /** The service no longer has the changes since the requested version; the whole table must be read again. */
  | { kind: 'compacted' }
  | { kind: 'unavailable', reason: string }

/** Reads whole tables and waits for their changes. */
export interface TableFeed {
  /**
   * Reads all rows of a table; changes after the returned version must be read with `waitForChanges`. With the progress
   * of a failed read, a client that reads pages continues there.
   */
  readTable (table: string, progress?: TableReadProgress): Promise<ReadOutcome<TableSnapshot>>
  /** Reads a table like `readTable`, and ends as `too-large` as soon as the responses exceed the given bytes. */
  readTableWithin (table: string, maximumBytes: number): Promise<ReadOutcome<TableSnapshot> | TooLarge>
  /**
   * Waits until a table has changes after a version, or until the given time has passed; ends as `too-large` as soon as
   * the response exceeds the given bytes, if any.
   */
  waitForChanges (
    table: string, afterVersion: number, waitMilliseconds: number, maximumBytes?: number
  ): Promise<FeedOutcome>
}
