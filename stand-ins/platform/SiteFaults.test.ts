import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../../src/shared/testSeed.js'
import { createFaultySite } from './createFaultySite.js'
import { createTableClientFaults } from './EmulatedTables.js'
import { SITE_FAULT_KINDS } from './SiteFaults.js'
import { createWorkerFaults } from './WorkerFaults.js'

/** Time in which a site without faults has an owner again and completes a short job. */
const RECOVERY_MILLISECONDS = 30_000
/** Time by which the latest message of a fault that has ended arrives. */
const LATENESS_MILLISECONDS = 12_000

const scheduledFault = fastCheck.record({
  kind: fastCheck.constantFrom(...SITE_FAULT_KINDS),
  target: fastCheck.integer({ min: 0, max: 20 }),
  count: fastCheck.integer({ min: 1, max: 6 }),
  durationMilliseconds: fastCheck.integer({ min: 100, max: 8000 }),
  variant: fastCheck.integer({ min: 0, max: 11 }),
  gapMilliseconds: fastCheck.integer({ min: 0, max: 2000 })
})

test('after any faults, which are ended early or not, the whole site is as without faults', async () => {
  const schedules = fastCheck.record({
    seed: fastCheck.integer(),
    faults: fastCheck.array(scheduledFault, { minLength: 1, maxLength: 8 }),
    remainingMilliseconds: fastCheck.integer({ min: 0, max: 10_000 })
  })
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    const { clock, site, faults } = await createFaultySite(schedule.seed)
    for (const [index, { gapMilliseconds, ...fault }] of schedule.faults.entries()) {
      site.submit(`job${index}`, [{ taskCount: 2 }])
      faults.start(fault)
      await clock.advance(gapMilliseconds)
    }
    await clock.advance(schedule.remainingMilliseconds)
    faults.endAll()
    const endedAt = clock.monotonicMilliseconds()
    assert.ok(site.instances.length >= 3)
    for (const { process, tables, peerFaults } of site.instances) {
      assert.deepEqual([process.isAlive(), process.isFrozen(), process.clockStepMilliseconds], [true, false, 0])
      assert.deepEqual({ ...tables.faults, lateMilliseconds: 3000 }, createTableClientFaults())
      assert.deepEqual(peerFaults, { cutOff: false, losesCalls: false })
    }
    const workers = [...site.workers].filter(([, worker]) => worker.isAlive)
    assert.ok(workers.length >= 3)
    for (const [workerId, worker] of workers) {
      assert.deepEqual({ ...worker.faults, lateMilliseconds: 4000 }, createWorkerFaults())
      assert.equal(faults.isWorkerAffected(workerId), false)
      assert.notEqual(site.tables.get({ table: 'listed-workers', key: workerId }), null)
      for (const { address } of site.instances) assert.equal(site.pathFaults.get(address.split(':')[0], workerId), null)
    }
    assert.equal(site.machineServiceFaults.isAway, false)
    assert.deepEqual(site.tables.getTable('operators').rows.map(({ key }) => key), ['configuration'])
    await clock.advance(RECOVERY_MILLISECONDS)
    const { calmSince } = faults
    assert.ok(calmSince !== null && calmSince >= 0 && calmSince <= endedAt + LATENESS_MILLISECONDS)
    assert.notEqual(site.getOwner(), undefined)
    const outcome = site.submit('last', [{ taskCount: 4 }])
    await clock.advance(5000)
    assert.deepEqual(site.judge.violations, [])
    assert.equal((await outcome).kind, 'accepted')
    assert.ok(site.judge.lastRunWorkerIds.has('last.0.0.3'), [...site.judge.lastRunWorkerIds.keys()].join(' '))
    assert.equal(new Set(site.instances.map(({ address }) => address)).size, site.instances.length)
  }), { numRuns: 30, seed: getTestSeed(), endOnFailure: true, includeErrorInReport: true })
})

test('a site without faults is calm from its start, and from the end of its last fault', async () => {
  const { clock, faults, start } = await createFaultySite()
  assert.equal(faults.calmSince, 0)
  start('worker-cut', { durationMilliseconds: 1000 })
  start('instance-kill', { durationMilliseconds: 1500 })
  await clock.advance(1200)
  assert.equal(faults.calmSince, null)
  await clock.advance(5000)
  assert.equal(faults.calmSince, 4500)
})
