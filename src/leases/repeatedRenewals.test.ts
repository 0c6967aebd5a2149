import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { TransactionRepeater } from '../table/TransactionRepeater.js'
import { SHARD_HEARTBEAT_TABLE, SHARD_TABLE, ShardLease, type HeartbeatRow } from './ShardLease.js'

const SHARD = 'site'
/** The time after which a renewal without a response is given up. */
const SETTLE_MILLISECONDS = 3500

async function createOwner () {
  const clock = VirtualClock.create()
  const tables = EmulatedTables.create({ clock })
  let randomNumber = 0.9
  const client = tables.createClient(() => randomNumber)
  const repeater = TransactionRepeater.create({
    clock, repeatsPerSecond: 40, isOverloaded: () => false, onRepeat: () => {}
  })
  const lease = ShardLease.create({
    shardId: SHARD, owner: 'a', address: 'a:1', region: 'r', tableService: client, clock, repeater
  })
  lease.observe(null, null, 0)
  const acquired = lease.acquire()
  await clock.advance(100)
  assert.equal(await acquired, true)
  const getHeartbeat = () => tables.get({ table: SHARD_HEARTBEAT_TABLE, key: SHARD })?.value as unknown as HeartbeatRow
  const setRandom = (value: number) => { randomNumber = value }
  return { clock, tables, client, lease, getHeartbeat, setRandom }
}

test('a renewal without a response is confirmed by its repeat, as of the time of that send', async () => {
  const { clock, client, lease, setRandom } = await createOwner()
  client.faults.lateShare = 0.5
  setRandom(0)
  const sentAt = clock.monotonicMilliseconds()
  const renewal = lease.renew(null)
  await clock.advance(50)
  setRandom(0.9)
  await clock.advance(200)
  assert.equal(await renewal, 'renewed')
  const renewedAt = lease.getRenewedAt()
  assert.ok(renewedAt > sentAt && renewedAt < sentAt + 200, `renewed ${renewedAt - sentAt} ms after the first send`)
})

test('renewals that took effect without any response are confirmed by a read', async () => {
  const { clock, client, lease } = await createOwner()
  client.faults.lostAnswerShare = 1
  let lastEffectAt = 0
  client.onRenewal = () => { lastEffectAt = clock.monotonicMilliseconds() }
  const renewal = lease.renew(null)
  await clock.advance(SETTLE_MILLISECONDS)
  assert.equal(await renewal, 'renewed')
  const age = lastEffectAt - lease.getRenewedAt()
  assert.ok(age >= 0 && age < 20, `renewed ${age} ms before the last write took effect`)
})

test('a renewal that has not taken effect is not confirmed by the row of an earlier one', async () => {
  const { clock, client, lease } = await createOwner()
  const renewedAt = lease.getRenewedAt()
  client.faults.lateShare = 1
  client.faults.lateMilliseconds = 6000
  const renewal = lease.renew(null)
  await clock.advance(SETTLE_MILLISECONDS)
  assert.equal(await renewal, 'unsettled')
  assert.equal(lease.getRenewedAt(), renewedAt)
})

test('a repeat that conflicts with another owner deposes at once', async () => {
  const { clock, tables, client, lease, setRandom } = await createOwner()
  client.faults.lateShare = 0.5
  setRandom(0)
  const renewal = lease.renew(null)
  await clock.advance(50)
  tables.apply({
    operations: [{ kind: 'put', table: SHARD_TABLE, key: SHARD, value: { epoch: 9 }, condition: { kind: 'any' } }]
  })
  setRandom(0.9)
  await clock.advance(200)
  assert.equal(await renewal, 'deposed')
  assert.equal(lease.getFence(), null)
})

test('a released shard is not overwritten by further repeats of a renewal', async () => {
  const { clock, client, lease, getHeartbeat, setRandom } = await createOwner()
  client.faults.lostAnswerShare = 0.5
  setRandom(0)
  const renewal = lease.renew(null)
  await clock.advance(50)
  setRandom(0.9)
  const release = lease.release()
  await clock.advance(50)
  assert.equal(await release, true)
  setRandom(0)
  await clock.advance(SETTLE_MILLISECONDS)
  assert.equal(await renewal, 'deposed')
  assert.equal(getHeartbeat().released, true)
})
