import type { Clock } from '../../src/shared/Clock.js'
import { TIMEOUT_REASON } from '../../src/shared/HttpExchange.js'
import type { PageSize } from '../../src/table/PageSize.js'
import { readWholeTable } from '../../src/table/readWholeTable.js'
import type { FeedOutcome, TableFeed, TableSnapshot, TooLarge } from '../../src/table/TableFeed.js'
import type { TableReadProgress } from '../../src/table/TableReadProgress.js'
import type {
  ReadOutcome, Row, RowKey, ScanOptions, TableService, Transaction, TransactionOutcome
} from '../../src/table/TableService.js'
import type { LinkRoute } from './RegionLink.js'

/** Options of a client. */
export interface DistantTablesOptions {
  /** The client within the region of the store. */
  tables: TableService & TableFeed
  clock: Clock
  /** The link between this client and the store; null within a region. */
  route: LinkRoute | null
  /** How long the store takes for each call, besides the time of `tables`. */
  getResponseMilliseconds (): number
  pageSize: PageSize
  /** Called with the name of each call that got no response in time. */
  onTimeout? (call: string): void
}

/** Time-outs as in `platform/PlatformTable.ts`. */
const CALL_TIMEOUT_MILLISECONDS = 1000
const FEED_TIMEOUT_MARGIN_MILLISECONDS = 700
const PAGE_TIMEOUT_MILLISECONDS = 3000
/** The bytes of a request or a response beside its rows, and of a row beside its key and its value. */
const MESSAGE_BYTES = 300
const ROW_BYTES = 80

/** A client of the store whose calls take time and have the time-outs of the deployed client. */
export class DistantTables implements TableService, TableFeed {
  private constructor (private readonly options: DistantTablesOptions) {}

  /**
   * Creates a client.
   * @param options The client within the region of the store, the link and the time that the store takes.
   * @returns The client.
   */
  static create (options: DistantTablesOptions): DistantTables {
    return new DistantTables(options)
  }

  async transact (transaction: Transaction): Promise<TransactionOutcome> {
    const written = transaction.operations.flatMap(operation => operation.kind === 'put' ? [operation] : [])
    const outcome = await this.call('transact', {
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      requestBytes: countBytes(written) + ROW_BYTES * transaction.operations.length,
      perform: async () => await this.options.tables.transact(transaction),
      countAnswerBytes: () => 0
    })
    return outcome ?? { kind: 'unknown', reason: TIMEOUT_REASON }
  }

  async read (row: RowKey): Promise<ReadOutcome<Row | null>> {
    const outcome = await this.call('read', {
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      perform: async () => await this.options.tables.read(row),
      countAnswerBytes: read => read.kind === 'ok' && read.value !== null ? countBytes([read.value]) : 0
    })
    return outcome ?? { kind: 'unavailable', reason: TIMEOUT_REASON }
  }

  async readMany (rows: RowKey[]): Promise<ReadOutcome<Array<Row | null>>> {
    const found: Array<Row | null> = []
    for (const row of rows) {
      const read = await this.read(row)
      if (read.kind !== 'ok') return read
      found.push(read.value)
    }
    return { kind: 'ok', value: found }
  }

  async scan (table: string, options: ScanOptions = {}): Promise<ReadOutcome<Row[]>> {
    const whole = await this.readTable(table)
    if (whole.kind !== 'ok') return whole
    const rows = whole.value.rows.filter(row => row.key.startsWith(options.prefix ?? ''))
    return { kind: 'ok', value: rows.slice(0, options.limit) }
  }

  async readTable (table: string, progress?: TableReadProgress): Promise<ReadOutcome<TableSnapshot>> {
    const whole = await this.readPages(table, Infinity, progress)
    return whole.kind === 'too-large' ? { kind: 'unavailable', reason: whole.kind } : whole
  }

  async readTableWithin (table: string, maximumBytes: number): Promise<ReadOutcome<TableSnapshot> | TooLarge> {
    return await this.readPages(table, maximumBytes)
  }

  private async readPages (
    table: string, maximumBytes: number, progress?: TableReadProgress
  ): Promise<ReadOutcome<TableSnapshot> | TooLarge> {
    let remainingBytes = maximumBytes
    return await readWholeTable({
      progress,
      partitions: [''],
      pageSize: this.options.pageSize,
      readPage: async (_partition, from, rowLimit) => {
        const page = await this.call('page', {
          timeoutMilliseconds: PAGE_TIMEOUT_MILLISECONDS,
          perform: async () => {
            const whole = await this.options.tables.readTable(table)
            if (whole.kind !== 'ok') return whole
            const rows = whole.value.rows.filter(row => row.key >= from)
            const value = { ...whole.value, rows: rows.slice(0, rowLimit), hasMore: rows.length > rowLimit }
            return { kind: 'ok' as const, value }
          },
          countAnswerBytes: read => Math.min(remainingBytes, read.kind === 'ok' ? countBytes(read.value.rows) : 0)
        })
        remainingBytes -= page?.kind === 'ok' ? countBytes(page.value.rows) : 0
        if (remainingBytes < 0) return { kind: 'too-large' }
        return page ?? { kind: 'timed-out', reason: TIMEOUT_REASON }
      }
    })
  }

  async waitForChanges (
    table: string, afterVersion: number, waitMilliseconds: number, maximumBytes = Infinity
  ): Promise<FeedOutcome> {
    const outcome = await this.call('feed', {
      timeoutMilliseconds: waitMilliseconds + FEED_TIMEOUT_MARGIN_MILLISECONDS,
      perform: async () => await this.options.tables.waitForChanges(table, afterVersion, waitMilliseconds),
      countAnswerBytes: read => Math.min(maximumBytes, countFeedBytes(read))
    })
    if (outcome !== null && countFeedBytes(outcome) > maximumBytes) return { kind: 'too-large' }
    return outcome ?? { kind: 'unavailable', reason: TIMEOUT_REASON }
  }

  /**
   * Sends a request, which is performed when it has arrived even if the call has ended by then, and returns its
   * response, or null if it has not arrived in time.
   */
  private async call<Outcome> (name: string, call: {
    timeoutMilliseconds: number
    requestBytes?: number
    perform (): Promise<Outcome>
    countAnswerBytes (outcome: Outcome): number
  }): Promise<Outcome | null> {
    const { route, getResponseMilliseconds, onTimeout } = this.options
    let hasEnded = false
    const exchange = async (): Promise<Outcome | null> => {
      await route?.requests.transfer(MESSAGE_BYTES + (call.requestBytes ?? 0), () => !hasEnded)
      await this.wait(getResponseMilliseconds())
      const outcome = await call.perform()
      const hasArrived = await route?.answers.transfer(MESSAGE_BYTES + call.countAnswerBytes(outcome), () => !hasEnded)
      return hasArrived === false ? null : outcome
    }
    return await new Promise(resolve => {
      const cancelTimer = this.options.clock.setTimer(call.timeoutMilliseconds, () => {
        hasEnded = true
        onTimeout?.(name)
        resolve(null)
      })
      exchange().then(outcome => {
        cancelTimer()
        resolve(outcome)
      })
    })
  }

  private async wait (milliseconds: number): Promise<void> {
    if (milliseconds > 0) await new Promise<void>(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}

/** Returns the encoded size of rows. */
function countBytes (rows: Array<Pick<Row, 'key' | 'value'>>): number {
  let bytes = 0
  for (const { key, value } of rows) bytes += ROW_BYTES + key.length + JSON.stringify(value).length * 4 / 3
  return Math.ceil(bytes)
}

function countFeedBytes (outcome: FeedOutcome): number {
  if (outcome.kind !== 'changes') return 0
  return countBytes(outcome.changes.map(({ key, row }) => row ?? { key, value: null }))
}
