import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemoryTableService } from '../stand-ins/table-service/MemoryTableService.js'
import {
  ConcurrencyLimit, ConfigurationWriter, MembershipView, RetryBudget, SettledWriter, ShardLease, silentLogger,
  TAKEOVER_WAIT_MILLISECONDS, VersionedConfiguration, VirtualClock, type ListedInstance
} from './index.js'

test('example: SettledWriter appends a record once and reports whether it was committed', async () => {
  const clock = VirtualClock.create()
  const tableService = MemoryTableService.create()
  const writer = SettledWriter.create({ tableService, clock })
  const marker = { table: 'orders', key: '41', writeId: 'a-random-identifier' }
  const outcome = await writer.transactAndSettle({
    operations: [{
      kind: 'put', table: 'orders', key: '41', value: { writeId: marker.writeId, item: 'chart' }, condition: { kind: 'absent' }
    }]
  }, marker, { deadlineMilliseconds: 5000 })
  assert.equal(outcome.kind, 'committed')
})

test('example: ShardLease moves a shard to another owner, and the fence rejects writes of the paused owner', async () => {
  const clock = VirtualClock.create()
  const tableService = MemoryTableService.create()
  const createLease = (owner: string): ShardLease => ShardLease.create({
    shardId: 'south-a-1', owner, address: `${owner}:8200`, region: 'south', tableService, clock
  })
  const observe = async (lease: ShardLease): Promise<void> => {
    const read = await tableService.readMany([
      { table: 'shards', key: lease.shardId }, { table: 'shard-heartbeats', key: lease.shardId }
    ])
    if (read.kind === 'ok') lease.observe(read.value[0], read.value[1], clock.monotonicMilliseconds())
  }
  const [first, second] = [createLease('scheduler-1'), createLease('scheduler-2')]
  await observe(first)
  assert.equal(await first.acquire(), true)
  await observe(second)
  await clock.advance(TAKEOVER_WAIT_MILLISECONDS)
  await observe(second)
  assert.equal(await second.acquire(), true)
  // The first owner was paused and is unaware of the takeover: its write requires the row version of its own epoch.
  const late = await tableService.transact({
    operations: [
      { kind: 'check', table: 'shards', key: 'south-a-1', condition: { kind: 'version', version: first.getFence()!.rowVersion } },
      { kind: 'put', table: 'journal', key: '1', value: 'late', condition: { kind: 'absent' } }
    ]
  })
  assert.equal(late.kind, 'conflict')
  assert.equal(await first.renew(null), 'deposed')
})

test('example: VersionedConfiguration installs the changes of ConfigurationWriter', async () => {
  const clock = VirtualClock.create()
  const tableService = MemoryTableService.create()
  const configuration = VersionedConfiguration.create({ tableService, clock, logger: silentLogger, peers: () => [] })
  configuration.start()
  const writer = ConfigurationWriter.create({ tableService, clock })
  const base = await writer.readBase()
  if (base.kind === 'failed') throw new Error(base.failure.kind)
  const change = { kind: 'data-centre-take-out', dataCentre: 'south-a', lost: false } as const
  const outcome = await writer.write(base.value, change, { operator: 'hanh', reason: 'cooling repair' })
  assert.equal(outcome.kind, 'ok')
  await clock.advance(1000)
  assert.equal(configuration.getConfiguration().version, 1)
  configuration.stop()
})

test('example: MembershipView gives its own observation precedence over the instance list', () => {
  const view = MembershipView.create()
  const upstream: ListedInstance = {
    instanceId: 'permit-desk-1',
    role: 'upstream',
    address: '10.0.0.7:8000',
    dataCentre: 'south-a',
    region: 'south',
    rack: 'r1',
    state: 'live'
  }
  view.applyList([upstream], 0)
  view.observe('permit-desk-1', 'close-notice', 10)
  view.applyList([upstream], 1000)
  assert.deepEqual(view.getMembers('upstream', 1000).map(({ usable, reason }) => ({ usable, reason })), [
    { usable: false, reason: 'close-notice' }
  ])
})

test('example: RetryBudget allows one retry per ten first attempts once its reserve is spent', () => {
  const budget = RetryBudget.create({ ratio: 0.1, reserve: 1 })
  assert.equal(budget.tryWithdraw(), true)
  assert.equal(budget.tryWithdraw(), false)
  for (let attempt = 0; attempt < 11; attempt++) budget.deposit()
  assert.equal(budget.tryWithdraw(), true)
})

test('example: ConcurrencyLimit rejects an acquisition above the limit until a slot is released', () => {
  const slots = ConcurrencyLimit.create({ limit: 1 })
  assert.equal(slots.tryAcquire(), true)
  assert.equal(slots.tryAcquire(), false)
  slots.release()
  assert.equal(slots.tryAcquire(), true)
})
