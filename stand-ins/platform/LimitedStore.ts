import type { JsonValue } from '../../src/shared/JsonValue.js'
import type { Row, RowKey, TableService, Transaction, TransactionOutcome } from '../../src/table/TableService.js'

/** The largest value of a row in base64, as in the settings of the platform. */
const ROW_CHARACTERS = 65_536
/** The largest body of a transaction, and the most entries. */
const TRANSACTION_CHARACTERS = 1_000_000
const ENTRY_LIMIT = 100

/** A store that rejects rows and transactions beyond the limits of the platform's store, and those with chosen keys. */
export class LimitedStore {
  readonly rows = new Map<string, Row>()
  private version = 0

  private constructor (private readonly isRejected: (key: string) => boolean) {}

  /**
   * Creates an empty store.
   * @param isRejected Returns whether transactions with a key are rejected whatever their size; none by default.
   * @returns The store.
   */
  static create (isRejected: (key: string) => boolean = () => false): LimitedStore {
    return new LimitedStore(isRejected)
  }

  /** The client of the store; it is immediate and has no faults. */
  readonly client = {
    read: async (row: RowKey) => ({ kind: 'ok', value: this.getRow(row) }),
    readMany: async (rows: RowKey[]) => ({ kind: 'ok', value: rows.map(row => this.getRow(row)) }),
    transact: async (transaction: Transaction) => this.apply(transaction)
  } as unknown as TableService

  /** Writes a row, whatever its size, and returns its version. */
  put ({ table, key, value }: RowKey & { value: JsonValue }): number {
    this.version++
    this.rows.set(`${table}/${key}`, { table, key, version: this.version, value })
    return this.version
  }

  /** Returns a row, or null when it does not exist. */
  getRow ({ table, key }: RowKey): Row | null {
    return this.rows.get(`${table}/${key}`) ?? null
  }

  /** Returns the rows of a table. */
  getRows (table: string): Row[] {
    return [...this.rows.values()].filter(row => row.table === table)
  }

  private apply ({ operations }: Transaction): TransactionOutcome {
    const values = operations.map(operation => operation.kind === 'put'
      ? Buffer.from(JSON.stringify(operation.value)).toString('base64')
      : '')
    const isTooLarge = values.some(value => value.length > ROW_CHARACTERS) || operations.length > ENTRY_LIMIT ||
      values.join('').length > TRANSACTION_CHARACTERS
    if (isTooLarge || operations.some(({ key }) => this.isRejected(key))) {
      return { kind: 'unavailable', reason: 'store answered 400', isPermanent: true }
    }
    for (const { condition, ...row } of operations) {
      const current = this.getRow(row)
      const isMet = condition.kind === 'any' ||
        (condition.kind === 'absent' ? current === null : current?.version === condition.version)
      if (!isMet) return { kind: 'conflict', row, current }
    }
    this.version++
    for (const operation of operations) {
      const { table, key } = operation
      const name = `${table}/${key}`
      if (operation.kind === 'delete') this.rows.delete(name)
      if (operation.kind !== 'put') continue
      this.rows.set(name, { table, key, version: this.version, value: structuredClone(operation.value) })
    }
    return { kind: 'committed', versions: operations.map(({ kind }) => kind === 'put' ? this.version : 0) }
  }
}
