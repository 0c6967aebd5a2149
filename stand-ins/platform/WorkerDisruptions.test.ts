import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createFaultySite } from './createFaultySite.js'
import { WORKER_TABLE, type EmulatedSite } from './EmulatedSite.js'
import { getPathId } from './PathFaults.js'
import { createWorkerFaults } from './WorkerFaults.js'

const LATENESS = { lateMilliseconds: 2000, latenessSpreadMilliseconds: 10_000 }

function isAlive (site: EmulatedSite, workerId: string): boolean {
  return site.workers.get(workerId)!.isAlive
}

function isListed (site: EmulatedSite, workerId: string): boolean {
  return site.tables.get({ table: WORKER_TABLE, key: workerId }) !== null
}

function getLiving (site: EmulatedSite): string[] {
  return [...site.workers.keys()].filter(workerId => isAlive(site, workerId))
}

for (const { kind, variant, expected } of [
  { kind: 'worker-hang', variant: 0, expected: { isHanging: true } },
  { kind: 'worker-failures', variant: 0, expected: { failingShare: 1 } },
  { kind: 'worker-failures', variant: 1, expected: { failingShare: 0.4 } },
  { kind: 'worker-unhealthy', variant: 0, expected: { unhealthyShare: 1 } },
  { kind: 'worker-unhealthy', variant: 1, expected: { unhealthyShare: 0.4 } },
  { kind: 'worker-mute', variant: 0, expected: { isMute: true } },
  { kind: 'worker-slow', variant: 0, expected: { slowdown: 4 } },
  { kind: 'worker-slow', variant: 1, expected: { slowdown: 8 } },
  { kind: 'worker-cut', variant: 0, expected: { cutOff: true } },
  { kind: 'worker-cut', variant: 1, expected: { cutOff: true, failsToConnect: true } },
  { kind: 'worker-lost-answers', variant: 0, expected: { lostAnswerShare: 0.3 } },
  { kind: 'worker-lost-answers', variant: 1, expected: { lostAnswerShare: 1 } }
] as const) {
  test(`${kind}, variant ${variant}, lasts until the last of the faults that overlap has ended`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    const { faults: first } = site.workers.get('worker-5')!
    const { faults: second } = site.workers.get('worker-0')!
    start(kind, { variant, target: 5, count: 2 })
    assert.deepEqual(first, { ...createWorkerFaults(), ...expected })
    assert.deepEqual(second, first)
    assert.deepEqual(site.workers.get('worker-1')!.faults, createWorkerFaults())
    assert.deepEqual(['worker-5', 'worker-0', 'worker-1'].map(workerId => faults.isWorkerAffected(workerId)),
      [true, true, false])
    await clock.advance(1000)
    start(kind, { variant, target: 5 })
    await clock.advance(2000)
    assert.deepEqual(first, { ...createWorkerFaults(), ...expected })
    assert.deepEqual(second, createWorkerFaults())
    assert.equal(faults.calmSince, null)
    await clock.advance(1000)
    assert.deepEqual(first, createWorkerFaults())
    assert.equal(faults.calmSince, 7000)
    assert.equal(faults.isWorkerAffected('worker-5'), false)
  })
}

for (const { kind, variant, expected } of [
  { kind: 'workers-lose-responses', variant: 0, expected: { lostAnswerShare: 0.3 } },
  { kind: 'workers-lose-responses', variant: 8, expected: { lostReportShare: 0.4 } },
  { kind: 'workers-lose-responses', variant: 20, expected: { lostAnswerShare: 0.9, lostReportShare: 0.9 } },
  { kind: 'workers-execute-late', variant: 1, expected: { lateShare: 0.4, ...LATENESS } },
  { kind: 'workers-execute-late', variant: 7, expected: { lateReportShare: 0.3, ...LATENESS } },
  { kind: 'workers-execute-late', variant: 19, expected: { lateShare: 0.8, lateReportShare: 0.8, ...LATENESS } },
  { kind: 'workers-reset', variant: 5, expected: { resetShare: 0.8 } }
] as const) {
  test(`${kind}, variant ${variant}, affects calls to all workers, which still count as unaffected`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    const workers = [...site.workers]
    start(kind, { variant })
    for (const [workerId, worker] of workers) {
      assert.deepEqual(worker.faults, { ...createWorkerFaults(), ...expected })
      assert.equal(faults.isWorkerAffected(workerId), false)
    }
    assert.equal(faults.calmSince, null)
    await clock.advance(3000)
    for (const [, worker] of workers) assert.deepEqual(worker.faults, createWorkerFaults())
    const lastsFor = kind === 'workers-execute-late' ? 12_000 : 0
    await clock.advance(lastsFor)
    assert.equal(faults.calmSince, 6000 + lastsFor)
  })
}

for (const { kind, expected } of [
  { kind: 'workers-mute', expected: { isMute: true } }, { kind: 'workers-slow', expected: { slowdown: 4 } }
] as const) {
  test(`${kind} affects a share of all workers`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    start(kind, { variant: 2, target: 4 })
    const changed = [...site.workers].filter(([workerId]) => faults.isWorkerAffected(workerId))
    assert.deepEqual(changed.map(([workerId]) => workerId), ['worker-0', 'worker-4', 'worker-5'])
    for (const [, worker] of changed) assert.deepEqual(worker.faults, { ...createWorkerFaults(), ...expected })
    assert.deepEqual(site.workers.get('worker-1')!.faults, createWorkerFaults())
    await clock.advance(3000)
    for (const worker of site.workers.values()) assert.deepEqual(worker.faults, createWorkerFaults())
    assert.equal(faults.calmSince, 6000)
  })
}

test('orders are late, which disturbs a site until the last of them has arrived', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const worker = site.workers.get('worker-0')!
  start('worker-late-orders')
  const { lateShare, lateMilliseconds } = worker.faults
  assert.equal(lateShare, 0.5)
  assert.ok(lateMilliseconds >= 2000 && lateMilliseconds <= 12_000)
  await clock.advance(1000)
  faults.endAll()
  assert.equal(worker.faults.lateShare, 0)
  assert.equal(faults.calmSince, null)
  await clock.advance(12_000)
  assert.equal(faults.calmSince, 4000 + lateMilliseconds)
})

test('a worker that crashes twice comes back once, under its ID and as a new incarnation', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const worker = site.workers.get('worker-0')!
  const { bornAtMilliseconds } = worker
  start('worker-crash')
  await clock.advance(2000)
  start('worker-crash')
  await clock.advance(2990)
  assert.equal(worker.isAlive, false)
  assert.equal(faults.isWorkerAffected('worker-0'), true)
  await clock.advance(20)
  assert.equal(worker.isAlive, true)
  assert.notEqual(worker.bornAtMilliseconds, bornAtMilliseconds)
  assert.equal(isListed(site, 'worker-0'), true)
  assert.equal(faults.calmSince, 8000)
})

test('a worker that is lost for good is replaced by one with another ID in its data centre', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('worker-crash', { target: 1, durationMilliseconds: 1000 })
  start('worker-loss', { target: 1 })
  await clock.advance(2990)
  assert.deepEqual(getLiving(site), ['worker-0', 'worker-2', 'worker-3', 'worker-4', 'worker-5'])
  await clock.advance(3000)
  assert.deepEqual(getLiving(site), ['worker-0', 'worker-2', 'worker-3', 'worker-4', 'worker-5', 'worker-101'])
  assert.equal(isListed(site, 'worker-1'), false)
  assert.equal(faults.isWorkerAffected('worker-1'), true)
  assert.equal(faults.calmSince, 6000)
})

test('at least half of the workers stay when they are lost without being replaced', async () => {
  const { clock, site, start } = await createFaultySite()
  for (let index = 0; index < 6; index++) start('worker-loss', { variant: 1, count: 2 })
  await clock.advance(5000)
  assert.ok(getLiving(site).length >= 3)
})

test('all workers of a data centre crash at once, and some of a rack', async () => {
  const { clock, site, start } = await createFaultySite()
  start('data-centre-crash', { target: 1 })
  assert.deepEqual(getLiving(site), ['worker-0', 'worker-2', 'worker-4'])
  await clock.advance(3000)
  assert.equal(getLiving(site).length, 6)
  start('rack-crash', { target: 0, count: 2, variant: 1 })
  assert.deepEqual(getLiving(site), ['worker-0', 'worker-1', 'worker-3', 'worker-5'])
  await clock.advance(3000)
  assert.equal(getLiving(site).length, 6)
})

test('a dark worker is silent for long, and unlisted until it is back', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('worker-dark', { variant: 0 })
  await clock.advance(4400)
  assert.deepEqual([isAlive(site, 'worker-0'), isListed(site, 'worker-0')], [true, true])
  await clock.advance(200)
  assert.deepEqual([isAlive(site, 'worker-0'), isListed(site, 'worker-0')], [true, false])
  assert.equal(site.workers.get('worker-0')!.faults.cutOff, true)
  await clock.advance(3500)
  assert.equal(isListed(site, 'worker-0'), true)
  assert.equal(site.workers.get('worker-0')!.faults.cutOff, false)
  assert.equal(faults.calmSince, 11_000)
})

test('a dark worker without power comes back as a new incarnation', async () => {
  const { clock, site, start } = await createFaultySite()
  start('worker-dark', { variant: 1, durationMilliseconds: 9000 })
  await clock.advance(8900)
  assert.deepEqual([isAlive(site, 'worker-0'), isListed(site, 'worker-0')], [false, false])
  await clock.advance(200)
  assert.deepEqual([isAlive(site, 'worker-0'), isListed(site, 'worker-0')], [true, true])
})

for (const { variant, leavesAfter, workerIds, living } of [
  { variant: 0, leavesAfter: 3000, workerIds: ['worker-0'], living: 6 },
  { variant: 1, leavesAfter: 2000, workerIds: ['worker-0'], living: 6 },
  { variant: 2, leavesAfter: 2500, workerIds: ['worker-0', 'worker-2', 'worker-4'], living: 6 },
  { variant: 3, leavesAfter: 2500, workerIds: ['worker-0', 'worker-2', 'worker-4'], living: 3 }
]) {
  test(`workers leave ${leavesAfter} ms after a notice, and others come or not, variant ${variant}`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    start('worker-drain', { variant })
    await clock.advance(leavesAfter - 10)
    assert.equal(getLiving(site).length, 6)
    const row = site.tables.get({ table: WORKER_TABLE, key: 'worker-0' })!
    assert.equal((row.value as { state: string }).state, 'draining')
    await clock.advance(20)
    for (const workerId of workerIds) {
      assert.deepEqual([isAlive(site, workerId), isListed(site, workerId)], [false, false])
    }
    await clock.advance(4000)
    assert.equal(getLiving(site).length, living)
    assert.notEqual(faults.calmSince, null)
    assert.equal(faults.isWorkerAffected('worker-0'), true)
  })
}

test('a worker that crashes while it leaves does not come back', async () => {
  const { clock, site, start } = await createFaultySite()
  start('worker-crash', { durationMilliseconds: 1000 })
  start('worker-drain', { variant: 0 })
  await clock.advance(1500)
  assert.equal(isAlive(site, 'worker-0'), true)
  start('worker-flap', { variant: 2, durationMilliseconds: 4000 })
  start('worker-drain', { variant: 0, target: 0 })
  await clock.advance(8000)
  const leftWorkers = [...site.workers.keys()].filter(workerId => !isAlive(site, workerId))
  for (const workerId of leftWorkers) assert.equal(isListed(site, workerId), false)
})

test('workers that leave are gone at once when all faults are ended, and others have come', async () => {
  const { site, faults, start } = await createFaultySite()
  start('worker-drain', { variant: 0 })
  faults.endAll()
  assert.deepEqual([isAlive(site, 'worker-0'), isListed(site, 'worker-0')], [false, false])
  assert.equal(getLiving(site).length, 6)
  assert.equal(faults.calmSince, 3000)
})

test('workers are added, up to twice their initial number', async () => {
  const { site, start } = await createFaultySite()
  for (let index = 0; index < 9; index++) start('worker-addition', { target: index })
  assert.equal(getLiving(site).length, 12)
  assert.ok(isListed(site, 'worker-100') && isListed(site, 'worker-101'))
})

for (const variant of [0, 1]) {
  test(`workers are replaced one after the other, variant ${variant}`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    start('worker-rolling-release', { variant, count: 3 })
    let fewest = Infinity
    for (let elapsed = 0; elapsed < 6500; elapsed += 100) {
      await clock.advance(100)
      fewest = Math.min(fewest, getLiving(site).length)
    }
    assert.ok(fewest >= 5, `${fewest} at least`)
    assert.deepEqual(getLiving(site).slice(0, 3), ['worker-3', 'worker-4', 'worker-5'])
    assert.equal(getLiving(site).length, 6)
    assert.notEqual(faults.calmSince, null)
  })
}

for (const { variant, isAway } of [
  { variant: 0, isAway: (site: EmulatedSite) => site.workers.get('worker-0')!.faults.cutOff },
  { variant: 1, isAway: (site: EmulatedSite) => site.workers.get('worker-0')!.faults.failsToConnect },
  { variant: 2, isAway: (site: EmulatedSite) => !isAlive(site, 'worker-0') }
]) {
  test(`a worker that flaps goes and comes back again and again, variant ${variant}`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    start('worker-flap', { variant })
    const states: boolean[] = []
    for (let elapsed = 0; elapsed < 5000; elapsed += 300) {
      await clock.advance(300)
      states.push(isAway(site))
    }
    assert.ok(states.filter((state, index) => state && !states[index - 1]).length >= 3)
    assert.equal(states.at(-1), false)
    assert.notEqual(faults.calmSince, null)
  })
}

for (const [variant, fault] of ['silent', 'connections-fail', 'answers-lost'].entries()) {
  test(`a worker is cut off from some instances only, which find it ${fault}`, async () => {
    const { clock, site, start } = await createFaultySite()
    const getFaults = () => site.instances.map(({ address }) => site.pathFaults.get(address.split(':')[0], 'worker-2'))
    start('worker-partial-cut', { variant, target: 2 })
    start('worker-partial-cut', { variant, target: 2, durationMilliseconds: 1000 })
    await clock.advance(1500)
    assert.deepEqual(getFaults().filter(found => found !== null), [fault])
    assert.equal(site.pathFaults.get('instance-0', 'worker-3'), null)
    await clock.advance(1500)
    assert.deepEqual(getFaults(), [null, null, null])
  })
}

test('requests arrive at a worker and its responses do not on a path that works one way', async () => {
  const { clock, site, start } = await createFaultySite()
  for (let target = 0; target < 6; target++) start('worker-one-way', { target })
  assert.equal(site.pathFaults.get('instance-1', 'worker-5'), 'answers-lost')
  site.submit('job', [{ taskCount: 1 }])
  await clock.advance(3000)
  assert.ok(site.judge.startCount > 0)
  assert.equal(getPathId('instance-1', 'worker-5'), 'instance-1/worker-5')
  assert.equal(site.pathFaults.get('instance-1', 'worker-5'), null)
})

test('a worker that crashes behind a cut is back before the cut has ended', async () => {
  const { clock, site, start } = await createFaultySite()
  const worker = site.workers.get('worker-0')!
  start('worker-crash-behind-cut')
  await clock.advance(1500)
  assert.deepEqual([worker.isAlive, worker.faults.cutOff], [false, true])
  await clock.advance(1000)
  assert.deepEqual([worker.isAlive, worker.faults.cutOff], [true, true])
  await clock.advance(600)
  assert.deepEqual([worker.isAlive, worker.faults.cutOff], [true, false])
})

test('a living worker is unlisted and listed again, also when it has restarted meanwhile', async () => {
  const { clock, site, start } = await createFaultySite()
  start('worker-unlisted')
  assert.equal(isListed(site, 'worker-0'), false)
  start('worker-crash', { durationMilliseconds: 1000 })
  await clock.advance(2000)
  assert.deepEqual([isAlive(site, 'worker-0'), isListed(site, 'worker-0')], [true, false])
  await clock.advance(1000)
  const row = site.tables.get({ table: WORKER_TABLE, key: 'worker-0' })
  const { bornAtMilliseconds } = row?.value as { bornAtMilliseconds: number }
  assert.equal(bornAtMilliseconds, site.workers.get('worker-0')!.bornAtMilliseconds)
})
