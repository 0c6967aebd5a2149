import type { PageSize } from './PageSize.js'
import type { TableSnapshot, TooLarge } from './TableFeed.js'
import { TableReadProgress, type PartitionProgress } from './TableReadProgress.js'
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
  /** What an earlier read of the same table has read, and then what this one reads; nothing by default. */
  progress?: TableReadProgress
  /** Reads the first rows of a partition whose keys are not smaller than `from`. */
  readPage (partition: string, from: string, rowLimit: number): Promise<TablePageOutcome>
}

/** The outcome of a page that ends the read. */
type PageFailure = { kind: 'unavailable', reason: string } | TooLarge

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
  const { partitions, pageSize, progress = TableReadProgress.create() } = options
  const { rowLimit } = pageSize
  const remaining = [...partitions]
  let failure: PageFailure | null = null
  const readPartitions = async () => {
    while (failure === null) {
      const partition = remaining.shift()
      if (partition === undefined) return
      failure = await readPartition(partition, progress.get(partition), options) ?? failure
    }
  }
  await Promise.all(Array.from({ length: PARTITIONS_IN_FLIGHT }, readPartitions))
  if (failure === null && pageSize.rowLimit === rowLimit) pageSize.increase()
  return failure ?? { kind: 'ok', value: createSnapshot(partitions.map(partition => progress.get(partition))) }
}

/** Reads the rest of a partition and returns the failure that ended the read, or null. */
async function readPartition (
  partition: string, progress: PartitionProgress, options: ReadWholeTableOptions
): Promise<PageFailure | null> {
  while (!progress.isComplete) {
    const page = await readPage(partition, progress.from, options)
    if (page.kind !== 'ok') return page
    progress.version = Math.min(progress.version, page.value.version)
    progress.rows.push(...page.value.rows)
    const last = page.value.rows.at(-1)
    if (!page.value.hasMore || last === undefined) progress.isComplete = true
    // The smallest key after the last one of this page.
    else progress.from = `${last.key}\u0001`
  }
  return null
}

function createSnapshot (partitions: readonly PartitionProgress[]): TableSnapshot {
  const rows: Row[] = []
  // A spread argument list of a large partition would exceed the stack.
  for (const partition of partitions) for (const row of partition.rows) rows.push(row)
  return { rows, version: Math.min(...partitions.map(({ version }) => version)) }
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
