import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { SHARD_HEARTBEAT_TABLE, SHARD_TABLE, ShardLease } from './ShardLease.js'

async function acquire (tables: EmulatedTables, clock: VirtualClock): Promise<number | null> {
  const lease = ShardLease.create({
    shardId: 'site', owner: 'a', address: 'a:1', region: 'south', clock, tableService: tables.createClient(createRandom(1))
  })
  const [shard, heartbeat] = [SHARD_TABLE, SHARD_HEARTBEAT_TABLE].map(table => tables.get({ table, key: 'site' }))
  lease.observe(shard, heartbeat, clock.monotonicMilliseconds())
  const acquired = lease.acquire({ ownerHasTerminated: true })
  await clock.advance(1000)
  assert.equal(await acquired, true)
  return lease.getAssignmentsStoredSince()
}

test('an owner trusts stored assignments only since the last owner that stored none', async () => {
  const clock = VirtualClock.create()
  const tables = EmulatedTables.create({ clock })
  const getVersion = () => tables.get({ table: SHARD_TABLE, key: 'site' })!.version
  assert.equal(await acquire(tables, clock), 0)
  const firstVersion = getVersion()
  assert.equal(await acquire(tables, clock), firstVersion)
  assert.equal(await acquire(tables, clock), firstVersion)
  const { assignmentsStoredSince: _absent, ...value } = tables.get({ table: SHARD_TABLE, key: 'site' })!.value as
    Record<string, JsonValue>
  tables.apply({ operations: [{ kind: 'put', table: SHARD_TABLE, key: 'site', value, condition: { kind: 'any' } }] })
  assert.equal(await acquire(tables, clock), null)
  const nextVersion = getVersion()
  assert.equal(await acquire(tables, clock), nextVersion)
})
