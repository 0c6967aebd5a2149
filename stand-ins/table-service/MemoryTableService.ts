import type {
  Condition, JsonValue, ObjectStore, Operation, ReadOutcome, Row, RowKey, ScanOptions, TableService, Transaction,
  TransactionOutcome
} from '../../src/table/TableService.js'

/** The faults that a test switches on; all may be changed at any time. */
export interface TableFaults {
  /** The service refuses everything without effect. */
  down: boolean
  /** Delay of each answer, in milliseconds. */
  delayMilliseconds: number
  /** Share of the transactions, 0 to 1, that take effect while their answer is lost. */
  lostAnswerShare: number
  /** Share of the transactions, 0 to 1, that are lost before they take effect, without an answer. */
  lostRequestShare: number
  /** Greatest number of writes a second; more are refused. */
  writesPerSecond: number
}

/** What the service has done, for measurements. */
export interface TableCounters {
  writes: number
  reads: number
  refused: number
  lostAnswers: number
  objectBytes: number
}

/** Options of the stand-in. */
export interface MemoryTableServiceOptions {
  /** Waits, with the clock of the test. */
  wait?: (milliseconds: number) => Promise<void>
  /** Returns a number from 0 to 1, from a seeded generator. */
  random?: () => number
  /** Returns the time in milliseconds, for the rate limit. */
  now?: () => number
}

/** The stand-in of the platform's table service and object store, in memory and with faults. */
export class MemoryTableService implements TableService, ObjectStore {
  readonly faults: TableFaults = {
    down: false, delayMilliseconds: 0, lostAnswerShare: 0, lostRequestShare: 0, writesPerSecond: Infinity
  }

  readonly counters: TableCounters = { writes: 0, reads: 0, refused: 0, lostAnswers: 0, objectBytes: 0 }

  private readonly tables = new Map<string, Map<string, Row>>()
  private readonly objects = new Map<string, Uint8Array>()
  private nextVersion = 1
  private windowStart = 0
  private writesInWindow = 0

  private constructor (private readonly options: Required<MemoryTableServiceOptions>) {}

  /**
   * Creates an empty service.
   * @param options Sources of time and chance; without them there is no delay.
   * @returns The service.
   */
  static create (options: MemoryTableServiceOptions = {}): MemoryTableService {
    return new MemoryTableService({
      wait: options.wait ?? (milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })),
      random: options.random ?? (() => 1),
      now: options.now ?? (() => performance.now())
    })
  }

  async transact (transaction: Transaction): Promise<TransactionOutcome> {
    if (this.faults.down || this.isOverWriteLimit()) {
      this.counters.refused++
      return { kind: 'unavailable', reason: this.faults.down ? 'down' : 'write limit reached' }
    }
    if (this.options.random() < this.faults.lostRequestShare) {
      return { kind: 'unknown', reason: 'request lost' }
    }
    await this.delay()
    const outcome = this.apply(transaction)
    if (this.options.random() < this.faults.lostAnswerShare) {
      this.counters.lostAnswers++
      return { kind: 'unknown', reason: 'answer lost' }
    }
    return outcome
  }

  async read (row: RowKey): Promise<ReadOutcome<Row | null>> {
    const rows = await this.readMany([row])
    return rows.kind === 'ok' ? { kind: 'ok', value: rows.value[0] } : rows
  }

  async readMany (rows: RowKey[]): Promise<ReadOutcome<Array<Row | null>>> {
    if (this.faults.down) return { kind: 'unavailable', reason: 'down' }
    await this.delay()
    this.counters.reads++
    return { kind: 'ok', value: rows.map(row => this.find(row)) }
  }

  async scan (table: string, options: ScanOptions = {}): Promise<ReadOutcome<Row[]>> {
    if (this.faults.down) return { kind: 'unavailable', reason: 'down' }
    await this.delay()
    this.counters.reads++
    const keys = [...this.tables.get(table)?.keys() ?? []]
      .filter(key => key.startsWith(options.prefix ?? '') && (options.after === undefined || key > options.after))
      .sort()
      .slice(0, options.limit ?? Infinity)
    return { kind: 'ok', value: keys.map(key => this.find({ table, key })!) }
  }

  async putObject (key: string, bytes: Uint8Array): Promise<ReadOutcome<null>> {
    if (this.faults.down) return { kind: 'unavailable', reason: 'down' }
    await this.delay()
    this.counters.writes++
    this.counters.objectBytes += bytes.length
    this.objects.set(key, Uint8Array.from(bytes))
    return { kind: 'ok', value: null }
  }

  async getObject (key: string): Promise<ReadOutcome<Uint8Array | null>> {
    if (this.faults.down) return { kind: 'unavailable', reason: 'down' }
    await this.delay()
    this.counters.reads++
    return { kind: 'ok', value: this.objects.get(key) ?? null }
  }

  async deleteObject (key: string): Promise<ReadOutcome<null>> {
    if (this.faults.down) return { kind: 'unavailable', reason: 'down' }
    await this.delay()
    this.objects.delete(key)
    return { kind: 'ok', value: null }
  }

  private apply (transaction: Transaction): TransactionOutcome {
    for (const operation of transaction.operations) {
      const current = this.find(operation)
      if (!isConditionMet(operation.condition, current)) {
        return { kind: 'conflict', row: { table: operation.table, key: operation.key }, current }
      }
    }
    this.counters.writes++
    return { kind: 'committed', versions: transaction.operations.map(operation => this.applyOperation(operation)) }
  }

  private applyOperation (operation: Operation): number {
    if (operation.kind === 'check') return 0
    const table = this.tables.get(operation.table) ?? new Map<string, Row>()
    this.tables.set(operation.table, table)
    if (operation.kind === 'delete') {
      table.delete(operation.key)
      return 0
    }
    const version = this.nextVersion++
    const value = structuredClone(operation.value) as JsonValue
    table.set(operation.key, { table: operation.table, key: operation.key, version, value })
    return version
  }

  private find (row: RowKey): Row | null {
    return this.tables.get(row.table)?.get(row.key) ?? null
  }

  private async delay (): Promise<void> {
    if (this.faults.delayMilliseconds > 0) await this.options.wait(this.faults.delayMilliseconds)
  }

  private isOverWriteLimit (): boolean {
    const now = this.options.now()
    if (now - this.windowStart >= 1000) {
      this.windowStart = now
      this.writesInWindow = 0
    }
    return ++this.writesInWindow > this.faults.writesPerSecond
  }
}

function isConditionMet (condition: Condition, current: Row | null): boolean {
  if (condition.kind === 'any') return true
  if (condition.kind === 'absent') return current === null
  return current?.version === condition.version
}
