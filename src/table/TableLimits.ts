/** What the table service accepts; it rejects larger rows and transactions, however often they are sent. */
export interface TableLimits {
  /** The maximum bytes of the value of a row in JSON. */
  rowBytes: number
  /** The maximum number of operations of a transaction. */
  operationCount: number
  /** The maximum bytes of the keys and values of a transaction in JSON. */
  transactionBytes: number
}

/** Limits that all known table services support. */
export const DEFAULT_TABLE_LIMITS: TableLimits = {
  rowBytes: 48_000, operationCount: 100, transactionBytes: 600_000
}
