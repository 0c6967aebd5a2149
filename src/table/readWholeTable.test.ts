import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../shared/VirtualClock.js'
import { PageSize } from './PageSize.js'
import { readWholeTable, type TablePageOutcome } from './readWholeTable.js'
import type { Row } from './TableService.js'

const PARTITIONS = Array.from({ length: 16 }, (_, index) => `jobs-${index.toString(16)}`)
const ROWS_PER_PARTITION = 40
const ROW_BYTES = 4000
/** The slowest link of an instance in the sites' files. */
const LINK_BYTES_PER_MILLISECOND = 250
const LINK_MEGABITS_PER_SECOND = 2
const PAGE_TIMEOUT_MILLISECONDS = 3000
/** The platform keeps its history for this long; a table that is read later must be read again. */
const HISTORY_MILLISECONDS = 20_000

/** Emulates a store behind a link that sends responses one after the other, also those that come too late. */
function createSlowStore (clock: VirtualClock) {
  const store = { pageCount: 0, lateCount: 0 }
  let linkFreeAt = 0
  const readPage = async (partition: string, from: string, rowLimit: number): Promise<TablePageOutcome> => {
    const keys = Array.from({ length: ROWS_PER_PARTITION }, (_, index) => `${partition}${String(index).padStart(4, '0')}`)
      .filter(key => key >= from)
    const rows = keys.slice(0, rowLimit).map((key): Row => ({ table: 'jobs', key, version: 1, value: null }))
    const sentAt = clock.monotonicMilliseconds()
    linkFreeAt = Math.max(linkFreeAt, sentAt) + rows.length * ROW_BYTES / LINK_BYTES_PER_MILLISECOND
    const isLate = linkFreeAt - sentAt > PAGE_TIMEOUT_MILLISECONDS
    const answeredAt = isLate ? sentAt + PAGE_TIMEOUT_MILLISECONDS : linkFreeAt
    await new Promise<void>(resolve => { clock.setTimer(answeredAt - sentAt, resolve) })
    store.pageCount++
    if (isLate) store.lateCount++
    return isLate
      ? { kind: 'timed-out', reason: 'timeout' }
      : { kind: 'ok', value: { rows, version: 7, hasMore: keys.length > rowLimit } }
  }
  return { store, readPage }
}

for (const [name, assumedMegabits] of [['known', LINK_MEGABITS_PER_SECOND], ['overestimated', 1000]] as const) {
  test(`reads a large table over a slow link of ${name} speed while the platform keeps its history`, async () => {
    const clock = VirtualClock.create()
    const { store, readPage } = createSlowStore(clock)
    const reading = readWholeTable({ partitions: PARTITIONS, pageSize: PageSize.create(assumedMegabits), readPage })
    await clock.advance(HISTORY_MILLISECONDS)
    const outcome = await Promise.race([reading, Promise.resolve(null)])
    assert.equal(outcome?.kind, 'ok')
    assert.equal(outcome?.kind === 'ok' && outcome.value.rows.length, PARTITIONS.length * ROWS_PER_PARTITION)
    assert.equal(outcome?.kind === 'ok' && outcome.value.version, 7)
    if (name === 'known') assert.equal(store.lateCount, 0)
  })
}

test('returns the failure of a store that refuses a page, without asking again', async () => {
  let count = 0
  const outcome = await readWholeTable({
    partitions: PARTITIONS,
    pageSize: PageSize.create(1000),
    readPage: async () => {
      count++
      return { kind: 'unavailable', reason: 'store answered 503' }
    }
  })
  assert.deepEqual(outcome, { kind: 'unavailable', reason: 'store answered 503' })
  assert.ok(count <= 4, `${count} calls`)
})

test('gives up a page that has timed out several times', async () => {
  const pageSize = PageSize.create(1000)
  const outcome = await readWholeTable({
    partitions: ['one'], pageSize, readPage: async () => ({ kind: 'timed-out', reason: 'timeout' })
  })
  assert.deepEqual(outcome, { kind: 'unavailable', reason: 'timeout' })
  assert.ok(pageSize.rowLimit < 100)
})

// The rows of a partition were the arguments of one call, which exceeded the stack after 120,000 ended jobs.
test('reads a partition with the rows of very many ended jobs', async () => {
  const pageRows = 500
  const pageCount = 500
  let page = 0
  const outcome = await readWholeTable({
    partitions: ['owner'],
    pageSize: PageSize.create(1000),
    readPage: async () => {
      const rows = Array.from({ length: pageRows }, (_, index): Row =>
        ({ table: 'progress', key: `${page}-${index}`, version: 1, value: null }))
      return { kind: 'ok', value: { rows, version: 7, hasMore: ++page < pageCount } }
    }
  })
  assert.equal(outcome.kind === 'ok' && outcome.value.rows.length, pageRows * pageCount)
})

test('pages are as large as before some time after one full link', async () => {
  const pageSize = PageSize.create(1000)
  const before = pageSize.rowLimit
  let isFull = true
  let calls = 0
  const readPage = async (_partition: string, from: string, rowLimit: number): Promise<TablePageOutcome> => {
    calls++
    if (isFull) return { kind: 'timed-out', reason: 'timeout' }
    const start = from === '' ? 0 : Number(from.slice(0, 6)) + 1
    const rows = Array.from({ length: Math.min(rowLimit, 10_000 - start) }, (_, index) =>
      ({ table: 'jobs', key: String(start + index).padStart(6, '0'), version: 1, value: null }))
    return { kind: 'ok', value: { rows, version: 1, hasMore: start + rowLimit < 10_000 } }
  }
  for (let load = 0; load < 2; load++) await readWholeTable({ partitions: [''], pageSize, readPage })
  isFull = false
  calls = 0
  for (let load = 0; load < 5; load++) {
    calls = 0
    await readWholeTable({ partitions: [''], pageSize, readPage })
  }
  assert.equal(pageSize.rowLimit, before, `${calls} calls for 10,000 rows instead of ${10_000 / before}`)
})
