import type { PageSize } from './PageSize.js'
import type { TableSnapshot, TooLarge } from './TableFeed.js'
import type { ReadOutcome, Row } from './TableService.js'

/** One page of a partition of a table. */
export interface TablePage extends TableSnapshot {
  hasMore: boolean
}

/** The outcome of reading a page; `timed-out` when the service may have sent one that did not arrive in time. */
export type TablePageOutcome = ReadOutcome<TablePage> | TooLarge | { kind: 'timed-out', reason: string }

/** Options of reading a whole table. */
export interface ReadWholeTableOptions {
  partitions: readonly string[]
  pageSize: PageSize
  /** Reads the first rows of a partition whose keys are not smaller than `from`. */
  readPage (partition: string, from: string, rowLimit: number): Promise<TablePageOutcome>
}

/** Pages in flight, one for each of as many partitions; more would share the link and time out together. */
const PARTITIONS_IN_FLIGHT = 4
/** How often a page that times out is requested, so that it does not discard the pages before it. */
const PAGE_ATTEMPTS = 4

/**
 * Reads all rows of a table page by page.
 * @param options The partitions and how a page is read.
 * @returns The rows, with the version of the earliest page, so that the feed repeats the changes made during the read;
 * `too-large` when a page is.
 */
export async function readWholeTable (
  options: ReadWholeTableOptions
): Promise<ReadOutcome<TableSnapshot> | TooLarge> {
  const rows: Row[] = []
  const remaining = [...options.partitions]
  let version = Infinity
  let failure: ReadOutcome<TableSnapshot> | TooLarge | null = null
  const readPartitions = async () => {
    while (failure === null) {
      const partition = remaining.shift()
      if (partition === undefined) return
      const read = await readPartition(partition, options)
      if (read.kind !== 'ok') {
        failure = read
        return
      }
      // A spread argument list of a large partition would exceed the stack.
      for (const row of read.value.rows) rows.push(row)
      version = Math.min(version, read.value.version)
    }
  }
  await Promise.all(Array.from({ length: PARTITIONS_IN_FLIGHT }, readPartitions))
  return failure ?? { kind: 'ok', value: { rows, version } }
}

async function readPartition (
  partition: string, options: ReadWholeTableOptions
): Promise<ReadOutcome<TableSnapshot> | TooLarge> {
  const rows: Row[] = []
  let version: number | null = null
  let from = ''
  for (;;) {
    const page = await readPage(partition, from, options)
    if (page.kind !== 'ok') return page
    version ??= page.value.version
    rows.push(...page.value.rows)
    const last = page.value.rows.at(-1)
    if (!page.value.hasMore || last === undefined) return { kind: 'ok', value: { rows, version } }
    // The smallest key after the last one of this page.
    from = `${last.key}\u0001`
  }
}

async function readPage (
  partition: string, from: string, { readPage, pageSize }: ReadWholeTableOptions
): Promise<ReadOutcome<TablePage> | TooLarge> {
  for (let attempt = 1; ; attempt++) {
    const page = await readPage(partition, from, pageSize.rowLimit)
    if (page.kind !== 'timed-out') return page
    if (attempt === PAGE_ATTEMPTS) return { kind: 'unavailable', reason: page.reason }
    pageSize.decrease()
  }
}
