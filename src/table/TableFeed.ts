import type { ReadOutcome, Row } from './TableService.js'

/** A row that was written or removed. */
export interface RowChange {
  key: string
  /** The row as written, or null when it was removed. */
  row: Row | null
}

/** All rows of a table as of one version. */
export interface TableSnapshot {
  rows: Row[]
  version: number
}

/** What became of waiting for changes. */
export type FeedOutcome =
  | { kind: 'changes', changes: RowChange[], version: number }
  /** The history since the given version is gone; the table has to be read again. */
  | { kind: 'compacted' }
  | { kind: 'unavailable', reason: string }

/** Reads whole tables and follows their changes. */
export interface TableFeed {
  /** Reads all rows of a table as of one moment. */
  readTable (table: string): Promise<ReadOutcome<TableSnapshot>>
  /** Waits until a table changes after a version, at most for the given time. */
  waitForChanges (table: string, afterVersion: number, waitMilliseconds: number): Promise<FeedOutcome>
}
