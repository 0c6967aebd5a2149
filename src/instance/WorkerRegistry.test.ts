import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { DispatchEngine } from '../dispatch/index.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { Operation, TableService, Transaction } from '../table/TableService.js'
import { TransactionRepeater } from '../table/TransactionRepeater.js'
import { HOLDING_TABLE } from './jobRows.js'
import { WorkerRegistry } from './WorkerRegistry.js'

const OWNER: Operation = { kind: 'put', table: SHARD_TABLE, key: 'site', value: {}, condition: { kind: 'any' } }

test('many removed workers are unregistered in batches, with one write in flight at a time', async () => {
  const writes: Transaction[] = []
  let inFlight = 0
  let maximumInFlight = 0
  const tableService = {
    transact: async (transaction: Transaction) => {
      writes.push(transaction)
      maximumInFlight = Math.max(maximumInFlight, ++inFlight)
      await Promise.resolve()
      inFlight--
      return { kind: 'committed', versions: [] }
    }
  } as unknown as TableService
  const registry = WorkerRegistry.create({
    shardId: 'site',
    fence: { epoch: 1, rowVersion: 7 } as never,
    tableService,
    clock: VirtualClock.create(),
    logger: silentLogger,
    errors: createTestErrors(VirtualClock.create()),
    onRegistered: () => {},
    onDeposed: () => {}
  })
  await registry.unregister(Array.from({ length: 200 }, (_, index) => `worker-${index}`))
  assert.deepEqual(writes.map(({ operations }) => operations.length), [91, 91, 21])
  assert.equal(maximumInFlight, 1)
})

test('a listed worker that has never reported is not registered, so that no later owner waits for it', async () => {
  const clock = VirtualClock.create()
  const tables = EmulatedTables.create({ clock })
  const registry = WorkerRegistry.create({
    shardId: 'site',
    fence: { epoch: 1, rowVersion: tables.apply({ operations: [OWNER] }).kind === 'committed' ? 1 : 0 },
    tableService: tables.createClient(createRandom(1)),
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    onRegistered: () => {},
    onDeposed: () => {}
  })
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const workerId of ['worker-0', 'worker-1']) engine.setWorker(createWorkerEntry({ workerId }))
  const report = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }
  engine.applyReport(engine.workers.get('worker-1')!, report, 0, 1)
  registry.register(engine.workers)
  await clock.advance(100)
  assert.deepEqual(tables.getTable(HOLDING_TABLE).rows.map(({ key }) => key), ['worker-1'])
})

test('a worker is registered although the first write of its registration gets no response', async () => {
  const clock = VirtualClock.create()
  const tables = EmulatedTables.create({ clock })
  let randomNumber = 0
  const client = tables.createClient(() => randomNumber)
  client.faults.lateShare = 0.5
  const registry = WorkerRegistry.create({
    shardId: 'site',
    fence: { epoch: 1, rowVersion: tables.apply({ operations: [OWNER] }).kind === 'committed' ? 1 : 0 },
    tableService: client,
    repeater: TransactionRepeater.create({
      clock, repeatsPerSecond: 40, isOverloaded: () => false, onRepeat: () => {}
    }),
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    onRegistered: () => {},
    onDeposed: () => {}
  })
  const engine = DispatchEngine.create({ epoch: 1 })
  engine.setWorker(createWorkerEntry({ workerId: 'worker-0' }))
  const worker = engine.workers.get('worker-0')!
  engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1)
  registry.register(engine.workers)
  await clock.advance(100)
  randomNumber = 0.9
  await clock.advance(300)
  assert.equal(worker.registered, true)
})
