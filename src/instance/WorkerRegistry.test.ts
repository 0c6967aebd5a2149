import assert from 'node:assert/strict'
import { test } from 'node:test'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { TableService, Transaction } from '../table/TableService.js'
import { WorkerRegistry } from './WorkerRegistry.js'

test('many workers that are gone at once cost the owner one write after another, not one each', async () => {
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
    onRegistered: () => {},
    onDeposed: () => {}
  })
  await registry.unregister(Array.from({ length: 200 }, (_, index) => `worker-${index}`))
  assert.deepEqual(writes.map(({ operations }) => operations.length), [91, 91, 21])
  assert.equal(maximumInFlight, 1)
})
