import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createFaultySite } from './createFaultySite.js'
import { createTableClientFaults } from './EmulatedTables.js'
import { WORKER_TABLE } from './EmulatedSite.js'

const ROW = { table: WORKER_TABLE, key: 'worker-0' }

for (const [variant, isRefusing] of [[0, false], [1, true]] as const) {
  test(`the store answers no instance while it is away, ${isRefusing ? 'refusing calls' : 'silent'}`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    start('store-away', { variant })
    for (const { tables } of site.instances) {
      const calledAt = clock.monotonicMilliseconds()
      const read = tables.read(ROW).then(
        outcome => ({ outcome, milliseconds: clock.monotonicMilliseconds() - calledAt }))
      const written = tables.transact({ operations: [] })
      await clock.advance(1000)
      const { outcome, milliseconds } = await read
      assert.equal(outcome.kind, 'unavailable')
      assert.equal(milliseconds, isRefusing ? 4 : 1000)
      assert.equal((await written).kind, isRefusing ? 'unavailable' : 'unknown')
    }
    const read = site.instances[0].tables.read(ROW)
    await clock.advance(100)
    assert.equal((await read).kind, 'ok')
    assert.equal(faults.calmSince, 6000)
  })
}

test('the store is away for the owner or for a chosen instance only, also after a restart', async () => {
  const { clock, site, start } = await createFaultySite()
  start('store-away-for-some', { variant: 0 })
  assert.deepEqual(site.instances.filter(({ tables }) => tables.faults.cutOff), [site.getOwner()])
  await clock.advance(3000)
  assert.deepEqual(site.instances.filter(({ tables }) => tables.faults.cutOff), [])
  start('store-away-for-some', { variant: 3, target: 1, durationMilliseconds: 5000 })
  assert.deepEqual(site.instances.map(({ tables }) => tables.faults.isRefusing), [false, true, false])
  start('instance-kill-all', { durationMilliseconds: 1000 })
  await clock.advance(2000)
  assert.deepEqual(site.instances.map(({ tables }) => tables.faults.isRefusing), [false, true, false])
  await clock.advance(3000)
  assert.deepEqual(site.instances.map(({ tables }) => tables.faults.isRefusing), [false, false, false])
})

test('calls of a slow store take 60 times as long', async () => {
  const { clock, site, start } = await createFaultySite()
  start('store-slow')
  let hasAnswered = false
  site.instances[0].tables.read(ROW).then(() => { hasAnswered = true })
  await clock.advance(239)
  assert.equal(hasAnswered, false)
  await clock.advance(2)
  assert.equal(hasAnswered, true)
  await clock.advance(3000)
  assert.equal(site.instances[0].tables.faults.slowdown, 1)
})

test('answers of writes are lost, and writes are late, until the fault has ended and the last one has arrived', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('store-lost-answers')
  start('store-late-writes', { durationMilliseconds: 2000 })
  const { lostAnswerShare, lateShare, lateMilliseconds } = site.instances[0].tables.faults
  assert.deepEqual([lostAnswerShare, lateShare], [0.3, 0.3])
  assert.ok(lateMilliseconds >= 1000 && lateMilliseconds <= 6000)
  await clock.advance(2500)
  assert.equal(site.instances[0].tables.faults.lateShare, 0)
  assert.equal(site.instances[0].tables.faults.lostAnswerShare, 0.3)
  await clock.advance(6000)
  assert.equal(site.instances[0].tables.faults.lostAnswerShare, 0)
  assert.equal(faults.calmSince, Math.max(6000, 5000 + lateMilliseconds))
})

for (const { kind, expected, latenessMilliseconds } of [
  { kind: 'store-loses-responses', expected: { lostAnswerShare: 0.8 }, latenessMilliseconds: 0 },
  {
    kind: 'store-writes-late',
    expected: { lateShare: 0.8, lateMilliseconds: 1000, latenessSpreadMilliseconds: 5000 },
    latenessMilliseconds: 6000
  }
] as const) {
  test(`${kind} affects a share of the writes of all instances`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    start(kind, { variant: 5 })
    for (const { tables: { faults: changed } } of site.instances) {
      assert.deepEqual(changed, { ...createTableClientFaults(), ...expected })
    }
    await clock.advance(3000)
    for (const { tables } of site.instances) assert.deepEqual(tables.faults, createTableClientFaults())
    await clock.advance(latenessMilliseconds)
    assert.equal(faults.calmSince, 6000 + latenessMilliseconds)
  })
}

test('late writes are applied at times of their own within the spread', async () => {
  const { clock, site } = await createFaultySite()
  const { tables } = site.instances[0]
  Object.assign(tables.faults, { lateShare: 1, lateMilliseconds: 1000, latenessSpreadMilliseconds: 5000 })
  const written = Array.from({ length: 20 }, (_, index) => tables.transact({
    operations: [{ kind: 'put', table: 'other', key: String(index), value: 1, condition: { kind: 'any' } }]
  }))
  const count = () => site.tables.getTable('other').rows.length
  await clock.advance(1000)
  assert.equal(count(), 0)
  await clock.advance(2500)
  assert.ok(count() > 0 && count() < 20)
  await clock.advance(2510)
  assert.equal(count(), 20)
  for (const outcome of await Promise.all(written)) assert.equal(outcome.kind, 'unknown')
})

test('only the renewals of the owner are lost, so that another instance takes over', async () => {
  const { clock, site, start } = await createFaultySite()
  const owner = site.getOwner()!
  start('store-lost-renewals', { durationMilliseconds: 12_000 })
  const read = owner.tables.read(ROW)
  const outcome = site.submit('job', [{ taskCount: 1 }], {}, owner)
  await clock.advance(1500)
  assert.equal((await read).kind, 'ok')
  assert.equal((await outcome).kind, 'accepted')
  await clock.advance(12_000)
  assert.notEqual(site.getOwner(), owner)
  assert.equal(owner.tables.faults.losesRenewals, false)
})

test('the history is dropped, in some forms after feeds have heard nothing for a second', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const { tables } = site
  const { version } = tables.getTable(WORKER_TABLE)
  site.addWorker('worker-6')
  assert.equal(tables.getChanges(WORKER_TABLE, version).kind, 'changes')
  start('store-compaction', { variant: 0 })
  assert.equal(tables.getChanges(WORKER_TABLE, version).kind, 'compacted')
  const later = tables.getTable(WORKER_TABLE).version
  start('store-compaction', { variant: 1 })
  site.addWorker('worker-7')
  assert.deepEqual(tables.getChanges(WORKER_TABLE, later), { kind: 'changes', changes: [], version: later })
  await clock.advance(990)
  assert.deepEqual(tables.getChanges(WORKER_TABLE, later), { kind: 'changes', changes: [], version: later })
  await clock.advance(20)
  assert.equal(tables.getChanges(WORKER_TABLE, later).kind, 'compacted')
  assert.equal(faults.calmSince, 4000)
})

test('feeds hear of no change during a pause, and of all of them after it', async () => {
  const { clock, site, start } = await createFaultySite()
  const { version } = site.tables.getTable(WORKER_TABLE)
  const getCount = () => {
    const outcome = site.tables.getChanges(WORKER_TABLE, version)
    return outcome.kind === 'changes' ? outcome.changes.length : outcome.kind
  }
  start('store-compaction', { variant: 2 })
  site.addWorker('worker-6')
  assert.equal(getCount(), 0)
  await clock.advance(2900)
  assert.equal(getCount(), 0)
  await clock.advance(200)
  assert.equal(getCount(), 1)
})

test('an isolated owner reaches nothing, another instance takes over, and all paths are back at the end', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const owner = site.getOwner()!
  const ownerId = owner.address.split(':')[0]
  start('instance-isolation', { durationMilliseconds: 12_000 })
  assert.deepEqual(owner.peerFaults, { cutOff: true, losesCalls: true })
  assert.equal(owner.tables.faults.cutOff, true)
  assert.equal(site.pathFaults.get(ownerId, 'worker-3'), 'silent')
  await clock.advance(11_900)
  assert.notEqual(site.getOwner(), undefined)
  assert.notEqual(site.getOwner(), owner)
  await clock.advance(200)
  assert.deepEqual(owner.peerFaults, { cutOff: false, losesCalls: false })
  assert.equal(owner.tables.faults.cutOff, false)
  assert.equal(site.pathFaults.get(ownerId, 'worker-3'), null)
  assert.equal(faults.calmSince, 15_000)
})

test('the machine service does not say which workers live while it is away', async () => {
  const { clock, site, start } = await createFaultySite()
  start('machine-service-away')
  start('machine-service-away', { durationMilliseconds: 1000 })
  await clock.advance(2000)
  assert.equal(site.machineServiceFaults.isAway, true)
  await clock.advance(1000)
  assert.equal(site.machineServiceFaults.isAway, false)
})

test('no task starts in a data centre while it is out of service', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('data-centre-out', { target: 0, durationMilliseconds: 5000 })
  start('data-centre-out', { target: 0, durationMilliseconds: 1000 })
  assert.deepEqual(['worker-0', 'worker-1'].map(workerId => faults.isWorkerAffected(workerId)), [true, false])
  await clock.advance(3000)
  site.submit('first', [{ taskCount: 6 }])
  await clock.advance(1500)
  assert.equal(site.judge.startWorkerIds.length, 6)
  assert.ok(site.judge.startWorkerIds.every(workerId => Number(workerId.split('-')[1]) % 2 === 1))
  await clock.advance(1500)
  assert.equal(faults.isWorkerAffected('worker-0'), false)
  site.submit('second', [{ taskCount: 12, processorsMilli: 8000 }], { processorsMilli: 8000 })
  await clock.advance(2000)
  assert.ok(site.judge.startWorkerIds.includes('worker-0'))
})

test('a new version of the configuration is in force at all instances', async () => {
  const { clock, site, start } = await createFaultySite()
  start('configuration-change', { variant: 1 })
  await clock.advance(1000)
  assert.ok(site.instances.every(({ instance }) => instance.isReady()))
  assert.deepEqual(site.tables.get({ table: 'operators', key: 'configuration' })?.value, {
    version: 2, changes: { timeoutMilliseconds: 2000 }
  })
})
