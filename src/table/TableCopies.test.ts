import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { MemoryObjects } from '../../stand-ins/platform/MemoryObjects.js'
import type { LogFields, Logger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { TableCopies } from './TableCopies.js'
import type { Compression } from './tableCopyFormat.js'
import type { TableSnapshot } from './TableFeed.js'

const TABLE = 'op'
/** Longer than the call that stores a copy. */
const CALL_MILLISECONDS = 30

const NO_COMPRESSION: Compression = {
  compress: async bytes => Buffer.from(bytes), decompress: async bytes => Buffer.from(bytes)
}

function createCopies () {
  const clock = VirtualClock.create()
  const store = MemoryObjects.create({ clock })
  const lines: Array<LogFields & { message: string }> = []
  const log: Logger['info'] = (message, fields) => lines.push({ ...fields, message })
  let publishedCount = 0
  const copies = TableCopies.create({
    table: TABLE,
    objects: store.createClient(() => false),
    logger: { info: log, warn: log, error: log },
    errors: createTestErrors(clock),
    compression: NO_COMPRESSION,
    onPublished: () => { publishedCount++ }
  })
  const listVersions = async () => {
    const listed = copies.listVersions(null)
    await clock.advance(CALL_MILLISECONDS)
    const outcome = await listed
    return outcome.kind === 'ok' ? outcome.value : outcome.reason
  }
  return { clock, store, copies, lines, listVersions, countPublished: () => publishedCount }
}

function createSnapshot (version: number, text = 'text'): TableSnapshot {
  return { rows: [{ table: TABLE, key: 'config', version, value: { text } }], version }
}

test('publishes the newest of the snapshots that come while another one is being stored', async () => {
  const { clock, copies, listVersions, countPublished } = createCopies()
  for (const version of [5, 7, 9, 8]) copies.publish(createSnapshot(version))
  await clock.advance(1000)
  assert.deepEqual(await listVersions(), [5, 9])
  assert.equal(countPublished(), 2)
})

test('keeps the two newest copies, also when an older one is stored late', async () => {
  const { clock, copies, listVersions } = createCopies()
  for (const version of [5, 7, 9, 6]) {
    copies.publish(createSnapshot(version))
    await clock.advance(1000)
  }
  assert.deepEqual(await listVersions(), [7, 9])
})

test('does not count a copy that another instance has stored', async () => {
  const { clock, copies, countPublished } = createCopies()
  copies.publish(createSnapshot(5))
  await clock.advance(1000)
  copies.publish(createSnapshot(5))
  await clock.advance(1000)
  assert.equal(countPublished(), 1)
})

test('reads what was published', async () => {
  const { clock, copies } = createCopies()
  copies.publish(createSnapshot(5))
  await clock.advance(1000)
  const [found, missing] = [copies.read(5), copies.read(6)]
  await clock.advance(CALL_MILLISECONDS)
  const outcome = await found
  assert.deepEqual(outcome.kind === 'ok' && outcome.value.snapshot, createSnapshot(5))
  assert.deepEqual(await missing, { kind: 'missing' })
})

test('logs the sizes of a copy, and why one is not published', async () => {
  const { clock, store, copies, lines } = createCopies()
  copies.publish(createSnapshot(5))
  await clock.advance(1000)
  const bytes = JSON.stringify(createSnapshot(5)).length
  assert.deepEqual(lines.splice(0), [
    { message: 'table copy published', table: TABLE, version: 5, rows: 1, bytes, compressedBytes: bytes }
  ])
  store.faults.refusal = 'store answered 403'
  copies.publish(createSnapshot(6))
  await clock.advance(1000)
  assert.equal(lines.at(-1)?.message, 'table copy not published')
  assert.equal(lines.at(-1)?.reason, 'store answered 403')
  store.faults.refusal = null
  copies.publish(createSnapshot(7, 'x'.repeat(4_000_001)))
  await clock.advance(1000)
  assert.equal(lines.at(-1)?.message, 'table copy not published')
  assert.equal(lines.at(-1)?.reason, 'too-large')
  assert.equal(store.contents.size, 1)
})
