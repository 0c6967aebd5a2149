import type { Clock } from '../../src/shared/Clock.js'
import { SHARD_HEARTBEAT_TABLE } from '../../src/leases/index.js'
import type { FeedOutcome, RowChange, TableFeed, TableSnapshot, TooLarge } from '../../src/table/TableFeed.js'
import type {
  Condition, Operation, ReadOutcome, Row, RowKey, ScanOptions, TableService, Transaction, TransactionOutcome
} from '../../src/table/TableService.js'

/** Faults of the tables for one client; all may be changed at any time. */
export interface TableClientFaults {
  /** Calls get no response and have no effect. */
  cutOff: boolean
  /** Share of the transactions, 0 to 1, that take effect while their response is lost. */
  lostAnswerShare: number
  /**
   * Share of the transactions, 0 to 1, that get no response and are applied `lateMilliseconds` later, if their
   * conditions hold then.
   */
  lateShare: number
  lateMilliseconds: number
  /** Late transactions are applied up to this much later than after `lateMilliseconds`, each by itself. */
  latenessSpreadMilliseconds: number
  /** Calls are refused at once and have no effect. */
  isRefusing: boolean
  /** The factor by which calls take longer; 1 is the usual speed. */
  slowdown: number
  /** The renewals of the ownership get no response and have no effect. */
  losesRenewals: boolean
}

/**
 * Creates the faults of a client that has none.
 * @returns The faults.
 */
export function createTableClientFaults (): TableClientFaults {
  return {
    cutOff: false,
    lostAnswerShare: 0,
    lateShare: 0,
    lateMilliseconds: 3000,
    latenessSpreadMilliseconds: 0,
    isRefusing: false,
    slowdown: 1,
    losesRenewals: false
  }
}

interface Change extends RowChange {
  table: string
  version: number
}

const RESPONSE_MILLISECONDS = 4
const TIMEOUT_MILLISECONDS = 1000

/** Tables in memory, with row versions from one common counter and a history of changes. */
export class EmulatedTables {
  private readonly rows = new Map<string, Row>()
  private history: Change[] = []
  private compactedTo = 0
  private version = 0
  private waiters: Array<() => void> = []
  /** While feeds are paused, the version of the last change that they return. */
  private pausedVersion: number | null = null

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates empty tables.
   * @param options The clock for delays and time-outs.
   * @returns The tables.
   */
  static create (options: { clock: Clock }): EmulatedTables {
    return new EmulatedTables(options.clock)
  }

  /** Creates the client of one process, with its own faults. */
  createClient (random: () => number): EmulatedTableClient {
    return EmulatedTableClient.create({ tables: this, clock: this.clock, random })
  }

  /** Applies a transaction atomically: all of its operations, or none if a condition does not hold. */
  apply (transaction: Transaction): TransactionOutcome {
    for (const operation of transaction.operations) {
      const current = this.rows.get(getRowName(operation)) ?? null
      if (!isMet(operation.condition, current)) return { kind: 'conflict', row: operation, current }
    }
    this.version++
    for (const operation of transaction.operations) this.applyOperation(operation)
    this.notify()
    return {
      kind: 'committed',
      versions: transaction.operations.map(operation => operation.kind === 'put' ? this.version : 0)
    }
  }

  /** Returns a row, or null if it does not exist. */
  get (key: RowKey): Row | null {
    return this.rows.get(getRowName(key)) ?? null
  }

  /** Returns all rows of a table, sorted by key. */
  getTable (table: string): TableSnapshot {
    const rows = [...this.rows.values()].filter(row => row.table === table)
    rows.sort((left, right) => left.key < right.key ? -1 : 1)
    return { rows, version: this.version }
  }

  /** Returns the changes of a table after a version, or `compacted` if the history no longer reaches back that far. */
  getChanges (table: string, after: number): FeedOutcome {
    if (after < this.compactedTo) return { kind: 'compacted' }
    const end = this.pausedVersion === null ? this.history.length : this.findFirstChangeAfter(this.pausedVersion)
    const changes = this.history.slice(this.findFirstChangeAfter(after), end).filter(change => change.table === table)
    const version = this.pausedVersion === null ? this.version : Math.max(after, this.pausedVersion)
    return { kind: 'changes', changes, version }
  }

  /** From now on, feeds return no further changes until `resumeFeeds`. */
  pauseFeeds (): void {
    this.pausedVersion ??= this.version
  }

  /** Feeds return all changes again. */
  resumeFeeds (): void {
    this.pausedVersion = null
    this.notify()
  }

  /** Whether feeds return no changes until `resumeFeeds`. */
  get areFeedsPaused (): boolean {
    return this.pausedVersion !== null
  }

  /** Drops the history of changes, so that clients must read whole tables again. */
  compact (): void {
    this.history = []
    this.compactedTo = this.version
    this.notify()
  }

  /** Resolves at the next change of any table or compaction, or after the given time. */
  waitForChange (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.clock.setTimer(milliseconds, resolve)
      this.waiters.push(() => {
        cancel()
        resolve()
      })
    })
  }

  /** Returns the position of the first change after a version in the history, which is sorted by version. */
  private findFirstChangeAfter (version: number): number {
    let low = 0
    let high = this.history.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.history[middle].version <= version) low = middle + 1
      else high = middle
    }
    return low
  }

  private applyOperation (operation: Operation): void {
    const { table, key } = operation
    const name = getRowName(operation)
    if (operation.kind === 'put') {
      const row: Row = { table, key, version: this.version, value: structuredClone(operation.value) }
      this.rows.set(name, row)
      this.history.push({ table, key, row, version: this.version })
    } else if (operation.kind === 'delete' && this.rows.delete(name)) {
      this.history.push({ table, key, row: null, version: this.version })
    }
  }

  private notify (): void {
    const { waiters } = this
    this.waiters = []
    for (const waiter of waiters) waiter()
  }
}

/** The table client of one process, with injected faults. */
export class EmulatedTableClient implements TableService, TableFeed {
  readonly faults = createTableClientFaults()
  writeCount = 0
  /** Number of calls of any kind; a call that waits for changes counts again for each change of another table. */
  callCount = 0
  /** The time of the last write that was applied, on the clock of the site. */
  lastWriteAt = -Infinity
  /** Called when a renewal of the ownership has been applied, before its response arrives. */
  onRenewal: () => void = () => {}

  private constructor (
    private readonly tables: EmulatedTables,
    private readonly clock: Clock,
    private readonly random: () => number
  ) {}

  static create (options: { tables: EmulatedTables, clock: Clock, random: () => number }): EmulatedTableClient {
    return new EmulatedTableClient(options.tables, options.clock, options.random)
  }

  async transact (transaction: Transaction): Promise<TransactionOutcome> {
    if (!await this.waitForRoundTrip()) {
      return this.faults.isRefusing
        ? { kind: 'unavailable', reason: 'refused' }
        : { kind: 'unknown', reason: 'no answer' }
    }
    this.writeCount++
    const isRenewal = transaction.operations.some(({ kind, table }) => kind === 'put' && table === SHARD_HEARTBEAT_TABLE)
    if (isRenewal && this.faults.losesRenewals) {
      await this.wait(TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'no answer' }
    }
    if (this.random() < this.faults.lateShare) {
      const { lateMilliseconds, latenessSpreadMilliseconds } = this.faults
      const spread = latenessSpreadMilliseconds > 0 ? this.random() * latenessSpreadMilliseconds : 0
      this.clock.setTimer(lateMilliseconds + spread, () => { this.tables.apply(transaction) })
      await this.wait(TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'no answer' }
    }
    const outcome = this.tables.apply(transaction)
    if (outcome.kind === 'committed') this.lastWriteAt = this.clock.monotonicMilliseconds()
    if (isRenewal) this.onRenewal()
    if (this.random() >= this.faults.lostAnswerShare) return outcome
    await this.wait(TIMEOUT_MILLISECONDS)
    return { kind: 'unknown', reason: 'answer lost' }
  }

  async read (row: RowKey): Promise<ReadOutcome<Row | null>> {
    return await this.waitForRoundTrip() ? { kind: 'ok', value: this.tables.get(row) } : unavailable()
  }

  async readMany (rows: RowKey[]): Promise<ReadOutcome<Array<Row | null>>> {
    return await this.waitForRoundTrip() ? { kind: 'ok', value: rows.map(row => this.tables.get(row)) } : unavailable()
  }

  async scan (table: string, options: ScanOptions = {}): Promise<ReadOutcome<Row[]>> {
    if (!await this.waitForRoundTrip()) return unavailable()
    const rows = this.tables.getTable(table).rows.filter(row => row.key.startsWith(options.prefix ?? ''))
    return { kind: 'ok', value: rows.slice(0, options.limit) }
  }

  async readTable (table: string): Promise<ReadOutcome<TableSnapshot>> {
    return await this.waitForRoundTrip() ? { kind: 'ok', value: this.tables.getTable(table) } : unavailable()
  }

  async readTableWithin (table: string, maximumBytes: number): Promise<ReadOutcome<TableSnapshot> | TooLarge> {
    const read = await this.readTable(table)
    return read.kind === 'ok' && getBytes(read.value) > maximumBytes ? { kind: 'too-large' } : read
  }

  async waitForChanges (
    table: string, afterVersion: number, waitMilliseconds: number, maximumBytes?: number
  ): Promise<FeedOutcome> {
    const outcome = await this.awaitChanges(table, afterVersion, waitMilliseconds)
    return maximumBytes !== undefined && getBytes(outcome) > maximumBytes ? { kind: 'too-large' } : outcome
  }

  private async awaitChanges (table: string, afterVersion: number, waitMilliseconds: number): Promise<FeedOutcome> {
    const waitDeadline = this.clock.monotonicMilliseconds() + waitMilliseconds
    for (;;) {
      if (!await this.waitForRoundTrip()) return unavailable()
      const outcome = this.tables.getChanges(table, afterVersion)
      const remaining = waitDeadline - this.clock.monotonicMilliseconds()
      if (outcome.kind !== 'changes' || outcome.changes.length > 0 || remaining <= 0) return outcome
      await this.tables.waitForChange(remaining)
    }
  }

  private async waitForRoundTrip (): Promise<boolean> {
    this.callCount++
    if (this.faults.cutOff) {
      await this.wait(TIMEOUT_MILLISECONDS)
      return false
    }
    await this.wait(RESPONSE_MILLISECONDS * this.faults.slowdown)
    return !this.faults.isRefusing
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.clock.setTimer(milliseconds, resolve) })
  }
}

function getBytes (response: object): number {
  return Buffer.byteLength(JSON.stringify(response))
}

function getRowName (row: RowKey): string {
  return `${row.table}/${row.key}`
}

function isMet (condition: Condition, current: Row | null): boolean {
  if (condition.kind === 'any') return true
  return condition.kind === 'absent' ? current === null : current?.version === condition.version
}

function unavailable (): { kind: 'unavailable', reason: string } {
  return { kind: 'unavailable', reason: 'no answer' }
}
