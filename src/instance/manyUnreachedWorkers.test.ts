import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { LimitedStore } from '../../stand-ins/platform/LimitedStore.js'
import { DispatchEngine } from '../dispatch/index.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { getCurrentParts } from '../table/splitRecord.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { decodeUnreachedRecord, PROGRESS_TABLE, UNREACHED_TABLE } from './jobRows.js'
import { ProgressWriter } from './ProgressWriter.js'

const WORKER_COUNT = 900
/** The longest identifier of a worker, as it is the key of a row. */
const IDENTIFIER_LENGTH = 200

// The record of all unreached workers was one row in the transaction of the progress, which the store rejected.
test('the record of many unreached workers delays no progress and reaches the successor', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  const engine = DispatchEngine.create({ epoch: 2 })
  const workerIds = Array.from({ length: WORKER_COUNT }, (_, index) => String(index).padStart(IDENTIFIER_LENGTH, '0'))
  for (const workerId of workerIds) {
    const worker = engine.setWorker(createWorkerEntry({ workerId }))
    engine.unreconciled.add(workerId, 60_000)
    engine.markUnreachable(worker, 1)
  }
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 0)
  const writer = ProgressWriter.create({
    shardId: 'site',
    engine,
    fence: { epoch: 2, rowVersion: store.put({ table: SHARD_TABLE, key: 'site', value: {} }) },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: store.client,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    onDurable: () => {},
    onDeposed: () => {}
  })
  writer.run()
  await clock.advance(1500)
  engine.cancelJob('job')
  await clock.advance(1500)
  writer.stop()
  await clock.advance(1000)
  assert.deepEqual(store.getRows(PROGRESS_TABLE).map(({ value }) => (value as { state: string }).state), ['cancelled'])
  const record = decodeUnreachedRecord(getCurrentParts(store.getRows(UNREACHED_TABLE), 'site').map(row => row.value))
  assert.deepEqual(Object.keys(record).sort(), workerIds.sort())
})

test('a part of a record that a later owner has replaced by a smaller one is not current', () => {
  const createRow = (key: string, version: number) => ({ table: UNREACHED_TABLE, key, version, value: {} })
  const rows = [createRow('site', 7), createRow('site.1', 7), createRow('site.2', 5), createRow('other.1', 7)]
  assert.deepEqual(getCurrentParts(rows, 'site').map(({ key }) => key), ['site', 'site.1'])
  assert.deepEqual(getCurrentParts(rows.slice(1), 'site'), [])
})
