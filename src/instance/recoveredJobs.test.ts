import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { UNREACHED_TABLE } from './jobRows.js'

const WORKER_COUNT = 4
const JOB_COUNT = 6
/** The rule on long-running tasks: one that does not run, with room for it, runs again within this time. */
const RESTART_LIMIT_MILLISECONDS = 6000

async function createLoadedSite (seed: number) {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(seed), instanceCount: 3, workerCount: WORKER_COUNT })
  await clock.advance(2000)
  for (let index = 0; index < JOB_COUNT; index++) {
    site.submit(`watch${index}`, [{ taskCount: 4, longRunning: true }], { durationMilliseconds: Infinity })
  }
  await clock.advance(1000)
  return { clock, site }
}

async function replaceAllInstances (site: EmulatedSite, clock: VirtualClock): Promise<void> {
  for (const { process } of site.instances) process.kill()
  await clock.advance(500)
  for (const { address } of [...site.instances]) site.addInstance(address.split(':')[0])
}

test('long-running tasks of a crashed worker restart although another worker is unreachable in a takeover', async () => {
  const { clock, site } = await createLoadedSite(1)
  site.workers.get('worker-1')!.faults.cutOff = true
  site.crashWorker('worker-2')
  await replaceAllInstances(site, clock)
  await clock.advance(RESTART_LIMIT_MILLISECONDS)
  // The tasks of the unreachable worker may run until its lease ends, so the other workers run all the others.
  const running = site.judge.getRunningTasks().length
  const onUnreachable = site.judge.startWorkerIds.slice(0, JOB_COUNT * 4).filter(id => id === 'worker-1').length
  assert.ok(running >= JOB_COUNT * 4 - onUnreachable, `${running} tasks run, ${onUnreachable} were on the unreachable worker`)
  assert.deepEqual(site.judge.violations, [])
})

test('a second takeover does not restart the wait for the lease of an unreachable worker', async () => {
  const { clock, site } = await createLoadedSite(2)
  site.workers.get('worker-1')!.faults.cutOff = true
  for (let takeover = 0; takeover < 4; takeover++) {
    await replaceAllInstances(site, clock)
    await clock.advance(5000)
  }
  assert.equal(site.judge.getRunningTasks().length, JOB_COUNT * 4)
  assert.deepEqual(site.judge.violations, [])
})

test('no task runs twice when a record of unreached workers precedes an owner that does not know it', async () => {
  const { clock, site } = await createLoadedSite(3)
  const put = (table: string, value: JsonValue) => site.tables.apply({
    operations: [{ kind: 'put', table, key: 'site', value, condition: { kind: 'any' } }]
  })
  site.workers.get('worker-1')!.faults.cutOff = true
  put(UNREACHED_TABLE, { 'worker-1': 0 })
  const row = site.tables.get({ table: SHARD_TABLE, key: 'site' })!.value as Record<string, JsonValue>
  put(SHARD_TABLE, Object.fromEntries(Object.entries(row).filter(([name]) => name !== 'assignmentsStoredSince')))
  await replaceAllInstances(site, clock)
  await clock.advance(20_000)
  assert.equal(site.judge.getRunningTasks().length, JOB_COUNT * 4)
  assert.deepEqual(site.judge.violations, [])
})

test('no task runs twice when an unreachable worker responds just before its lease ends in a second takeover', async () => {
  for (const cutMilliseconds of [5000, 6000, 7000, 8000, 9000, 10_000]) {
    const { clock, site } = await createLoadedSite(cutMilliseconds)
    const { faults } = site.workers.get('worker-1')!
    faults.cutOff = true
    clock.setTimer(cutMilliseconds, () => { faults.cutOff = false })
    for (let takeover = 0; takeover < 3; takeover++) {
      await replaceAllInstances(site, clock)
      await clock.advance(4200)
    }
    await clock.advance(12_000)
    assert.equal(site.judge.getRunningTasks().length, JOB_COUNT * 4)
    assert.deepEqual(site.judge.violations, [])
  }
})
