import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const TASK_MILLISECONDS = 4000
const STEP_MILLISECONDS = 5
const WAIT_LIMIT_MILLISECONDS = 20_000

// The stop of the second run is executed late, and the worker of the first run responds last to the new owner.
test('no dependent step runs twice when an owner ends before it has stored the end that let the step start', async () => {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(1), instanceCount: 3, workerCount: 4 })
  const { lastRunWorkerIds, startWorkerIds } = site.judge
  const waitForStart = async (taskName: string, startCount: number): Promise<string> => {
    for (let waited = 0; waited < WAIT_LIMIT_MILLISECONDS; waited += STEP_MILLISECONDS) {
      if (lastRunWorkerIds.has(taskName) && startWorkerIds.length >= startCount) return lastRunWorkerIds.get(taskName)!
      await clock.advance(STEP_MILLISECONDS)
    }
    throw new Error(`${taskName} does not start`)
  }
  await clock.advance(2000)
  site.submit('chain', [{}, { afterSteps: [0] }], { durationMilliseconds: TASK_MILLISECONDS })
  const first = site.workers.get(await waitForStart('chain.0.0.0', 1))!
  first.faults.cutOff = true
  const second = site.workers.get(await waitForStart('chain.0.0.0', 2))!
  assert.notEqual(second, first)
  await clock.advance(500)
  Object.assign(second.faults, { lateShare: 1, lateMilliseconds: TASK_MILLISECONDS })
  site.getOwner()!.tables.faults.cutOff = true
  first.faults.cutOff = false
  const third = site.workers.get(await waitForStart('chain.0.1.0', 3))!
  third.faults.cutOff = true
  first.faults.cutOff = true
  for (const { process } of site.instances) process.kill()
  for (const { address } of [...site.instances]) site.addInstance(address.split(':')[0])
  second.faults.lateShare = 0
  await clock.advance(1500)
  first.faults.cutOff = false
  await clock.advance(1500)
  third.faults.cutOff = false
  await clock.advance(20_000)
  for (const worker of site.workers.values()) worker.shutDown()
  assert.deepEqual(site.judge.violations, [])
})
