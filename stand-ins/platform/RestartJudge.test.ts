import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { EmulatedSite } from './EmulatedSite.js'
import { RestartJudge } from './RestartJudge.js'

async function createRunningSite (processorsMilli: number) {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(1), instanceCount: 2, workerCount: 2 })
  const restartJudge = RestartJudge.create({ site, clock })
  await restartJudge.advance(2000)
  site.submit('watch', [{ longRunning: true, processorsMilli }], { durationMilliseconds: Infinity, processorsMilli })
  await restartJudge.advance(1000)
  restartJudge.recordAcceptedJob('watch', 1)
  return { clock, site, restartJudge }
}

/** Keeps tasks from starting, which the judge does not take into account, and ends the run of the only task. */
function preventRestart (site: EmulatedSite): void {
  for (const dataCentre of ['south-a', 'south-b']) site.setDataCentreOut(dataCentre, true)
  const workerId = site.judge.lastRunWorkerIds.get('watch.0.0.0')!
  site.crashWorker(workerId)
  site.restartWorker(workerId)
}

test('a running task is not reported as away, and its worker and the load of the owner are known', async () => {
  const { restartJudge, site } = await createRunningSite(1000)
  await restartJudge.advance(20_000)
  assert.deepEqual(restartJudge.violations, [])
  assert.deepEqual(restartJudge.getTasksAway(), [])
  assert.equal(restartJudge.loadCount, 1)
  assert.ok(site.judge.lastRunWorkerIds.has('watch.0.0.0'))
})

test('a task that is away with room for it is reported once for each bound, also while another worker is cut', async () => {
  for (const isOtherCutOff of [false, true]) {
    const { restartJudge, site } = await createRunningSite(1000)
    preventRestart(site)
    const lastWorkerId = site.judge.lastRunWorkerIds.get('watch.0.0.0')!
    const other = [...site.workers].find(([workerId]) => workerId !== lastWorkerId)![1]
    other.faults.cutOff = isOtherCutOff
    await restartJudge.advance(6000)
    assert.deepEqual(restartJudge.violations, [])
    await restartJudge.advance(4000)
    const bounds = restartJudge.violations.map(({ bound }) => bound).sort()
    assert.deepEqual(bounds, isOtherCutOff ? ['other-worker'] : ['calm', 'other-worker'])
  }
})

test('a task of an unreachable worker is reported only after all leases that it may have', async () => {
  const { restartJudge, site } = await createRunningSite(1000)
  preventRestart(site)
  const lastWorkerId = site.judge.lastRunWorkerIds.get('watch.0.0.0')!
  site.workers.get(lastWorkerId)!.faults.cutOff = true
  await restartJudge.advance(15_300)
  assert.deepEqual(restartJudge.violations, [])
  await restartJudge.advance(200)
  assert.deepEqual(restartJudge.violations.map(({ bound }) => bound), ['lease'])
})

test('a task without room for it twice over is not reported', async () => {
  const { restartJudge, site } = await createRunningSite(12_000)
  preventRestart(site)
  const lastWorkerId = site.judge.lastRunWorkerIds.get('watch.0.0.0')!
  site.crashWorker(lastWorkerId)
  await restartJudge.advance(20_000)
  assert.deepEqual(restartJudge.violations, [])
})
