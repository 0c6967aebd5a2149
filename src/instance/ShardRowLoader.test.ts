import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { silentLogger } from '../shared/Logger.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { PageSize } from '../table/PageSize.js'
import { readWholeTable, type TablePageOutcome } from '../table/readWholeTable.js'
import type { TableFeed } from '../table/TableFeed.js'
import type { Row } from '../table/TableService.js'
import { HOLDING_TABLE, JOB_TABLE, LEARNED_TABLE, PROGRESS_TABLE, UNREACHED_TABLE } from './jobRows.js'
import { ShardRowLoader } from './ShardRowLoader.js'

const TABLES = [JOB_TABLE, PROGRESS_TABLE, HOLDING_TABLE, LEARNED_TABLE, UNREACHED_TABLE]
const PARTITIONS = ['a', 'b', 'c', 'd', 'e', 'f']
const ROWS_PER_PARTITION = 250
const PAGES_PER_TABLE = PARTITIONS.length * 3
const LOAD_LIMIT = 1000

/** A store whose pages are read one by one; `fails` tells which calls get no page. */
function createStore (fails: (table: string, partition: string, from: string) => boolean) {
  let version = 0
  const pages: string[] = []
  const readPage = async (table: string, partition: string, from: string, limit: number): Promise<TablePageOutcome> => {
    version++
    if (fails(table, partition, from)) return { kind: 'unavailable', reason: 'store answered 503' }
    pages.push(`${table} ${partition} ${from}`)
    const keys = Array.from({ length: ROWS_PER_PARTITION }, (_, index) => `${partition}${String(index).padStart(4, '0')}`)
      .filter(key => key >= from)
    const rows = keys.slice(0, limit).map((key): Row => ({ table, key, version: 1, value: null }))
    return { kind: 'ok', value: { rows, version, hasMore: keys.length > limit } }
  }
  const feed: TableFeed = {
    readTable: async (table, progress) => {
      const whole = await readWholeTable({
        partitions: PARTITIONS,
        pageSize: PageSize.create(1000),
        progress,
        readPage: async (partition, from, limit) => await readPage(table, partition, from, limit)
      })
      return whole.kind === 'too-large' ? { kind: 'unavailable', reason: whole.kind } : whole
    },
    readTableWithin: async () => ({ kind: 'unavailable', reason: 'not used' }),
    waitForChanges: async () => ({ kind: 'unavailable', reason: 'not used' })
  }
  const clock = VirtualClock.create(1000)
  const loader = ShardRowLoader.create({ shardId: 'site', feed, clock, logger: silentLogger })
  return { loader, pages }
}

async function load (loader: ShardRowLoader) {
  for (let attempt = 1; attempt <= LOAD_LIMIT; attempt++) {
    const rows = await loader.load()
    if (rows !== null) return { rows, attempt }
  }
  throw new Error('not loaded')
}

function getTables (pages: readonly string[]): string[] {
  return [...new Set(pages.map(page => page.split(' ')[0]))]
}

test('tables that were read are not read again while a later one fails', async () => {
  let failures = 0
  const { loader, pages } = createStore(table => table === HOLDING_TABLE && failures++ < 100)
  const { rows, attempt } = await load(loader)
  assert.ok(attempt > 10, `${attempt} attempts`)
  assert.equal(pages.length, TABLES.length * PAGES_PER_TABLE)
  assert.equal(new Set(pages).size, pages.length)
  assert.deepEqual(getTables(pages), TABLES)
  assert.deepEqual(
    [rows.jobs.rows.length, rows.progress.length, rows.holding.length, rows.learned.length],
    Array(4).fill(PARTITIONS.length * ROWS_PER_PARTITION)
  )
})

test('pages that were read are not read again when any later page fails', async () => {
  const random = createRandom(getTestSeed())
  const { loader, pages } = createStore(() => random() < 0.6)
  const { rows } = await load(loader)
  assert.equal(new Set(pages).size, pages.length)
  assert.equal(pages.length, TABLES.length * PAGES_PER_TABLE)
  const keys = rows.jobs.rows.map(({ key }) => key)
  assert.deepEqual(keys, [...keys].sort())
  assert.equal(new Set(keys).size, PARTITIONS.length * ROWS_PER_PARTITION)
})

test('the version of the jobs is that of their earliest page, so that the feed repeats all later changes', async () => {
  const failed = new Set<string>()
  const { loader } = createStore((table, partition, from) => {
    const isFirst = table === JOB_TABLE && partition === 'f' && !failed.has(from)
    if (isFirst) failed.add(from)
    return isFirst
  })
  const { rows, attempt } = await load(loader)
  assert.equal(attempt, 4)
  assert.equal(rows.jobs.version, 1)
})

test('a loader that has delivered its rows reads all of them again', async () => {
  const { loader, pages } = createStore(() => false)
  await load(loader)
  await load(loader)
  assert.equal(pages.length, 2 * TABLES.length * PAGES_PER_TABLE)
})
