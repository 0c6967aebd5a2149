import type { JsonValue } from '../shared/JsonValue.js'

export type { JsonValue }

/** Identifies a row by its table and key. */
export interface RowKey {
  table: string
  key: string
}

/** A row as read; each write of the row increases its version. */
export interface Row extends RowKey {
  version: number
  value: JsonValue
}

/** The state that a row must have for a transaction to be committed. */
export type Condition =
  | { kind: 'any' }
  | { kind: 'absent' }
  | { kind: 'version', version: number }

/** One write or check of a transaction; `check` only tests its condition. */
export type Operation =
  | RowKey & { kind: 'put', value: JsonValue, condition: Condition }
  | RowKey & { kind: 'delete', condition: Condition }
  | RowKey & { kind: 'check', condition: Condition }

/** Operations that are applied atomically. */
export interface Transaction {
  operations: Operation[]
}

/** The outcome of a transaction. */
export type TransactionOutcome =
  /** The transaction took effect; `versions` has an entry for each operation, 0 for a deleted or checked row. */
  | { kind: 'committed', versions: number[] }
  /** A condition did not hold, so nothing was applied; `current` is the stored state of that row. */
  | { kind: 'conflict', row: RowKey, current: Row | null }
  /** The transaction certainly had no effect, for example because the service rejected it. */
  | {
    kind: 'unavailable'
    reason: string
    /** Whether the service will never accept this transaction, for example because of its size. */
    isPermanent?: boolean
  }
  /** The transaction may have taken effect, or may still take effect a little later. */
  | { kind: 'unknown', reason: string }

/** The outcome of a read, which fails when the service is unavailable. */
export type ReadOutcome<Value> =
  | { kind: 'ok', value: Value }
  | { kind: 'unavailable', reason: string }

/** Selects the rows that a scan returns. */
export interface ScanOptions {
  /** Returns only rows with a key greater than this. */
  after?: string
  /** Returns only rows whose key has this prefix. */
  prefix?: string
  /** The maximum number of rows. */
  limit?: number
}

/** The platform's transactional table service. */
export interface TableService {
  /** Runs a transaction. */
  transact (transaction: Transaction): Promise<TransactionOutcome>
  /** Reads one row; the value is null when the row does not exist. */
  read (row: RowKey): Promise<ReadOutcome<Row | null>>
  /** Reads several rows from one consistent snapshot and returns them in the requested order. */
  readMany (rows: RowKey[]): Promise<ReadOutcome<Array<Row | null>>>
  /** Reads rows of one table in key order. */
  scan (table: string, options?: ScanOptions): Promise<ReadOutcome<Row[]>>
}

/** The platform's object store; each object is read and written whole. */
export interface ObjectStore {
  putObject (key: string, bytes: Uint8Array): Promise<ReadOutcome<null>>
  getObject (key: string): Promise<ReadOutcome<Uint8Array | null>>
  deleteObject (key: string): Promise<ReadOutcome<null>>
}
