import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import type { TableService, Transaction } from '../table/TableService.js'
import { SNAPSHOT_TABLE } from './JournalRecord.js'
import { ShardState } from './ShardState.js'
import { writeSnapshot } from './writeSnapshot.js'

test('rejects a delayed pointer write that would replace a newer snapshot by an older one', async () => {
  const store = MemoryTableService.create()
  const put = await store.transact({
    operations: [{ kind: 'put', table: 'shards', key: 'dc', value: { epoch: 1 }, condition: { kind: 'absent' } }]
  })
  const fence = { epoch: 1, rowVersion: put.kind === 'committed' ? put.versions[0] : 0 }
  const late: Transaction[] = []
  const lossy: TableService = {
    transact: async transaction => {
      late.push(transaction)
      return { kind: 'unknown', reason: 'timeout' }
    },
    read: async row => await store.read(row),
    readMany: async rows => await store.readMany(rows),
    scan: async (table, options) => await store.scan(table, options)
  }
  const snapshot = ShardState.create().createSnapshot(null)
  const options = { shardId: 'dc', objectStore: store, fence, snapshot }
  assert.equal(await writeSnapshot({ ...options, tableService: lossy, sequence: 4 }), false)
  assert.equal(await writeSnapshot({ ...options, tableService: store, sequence: 8 }), true)
  for (const transaction of late) await store.transact(transaction)
  const row = await store.read({ table: SNAPSHOT_TABLE, key: 'dc' })
  assert.equal(row.kind === 'ok' && (row.value?.value as { sequence: number }).sequence, 8)
})
