import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const TASK_COUNT = 1800
/** Longer than all starts together take. */
const TASK_MILLISECONDS = 1500
const LISTED_END_LIMIT = 500
const STEP_MILLISECONDS = 50
const PLAY_MILLISECONDS = 40_000

// TWICE: after a takeover, tasks beyond the first 500 ends of a worker were started again.
test('no task runs twice when more tasks end on each worker between two owners than one report lists', async () => {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(1), instanceCount: 3, workerCount: 2 })
  await clock.advance(3000)
  const step = { taskCount: TASK_COUNT, processorsMilli: 1, memoryMegabytes: 1 }
  site.submit('job', [step], { durationMilliseconds: TASK_MILLISECONDS })
  const { judge } = site
  while (judge.startCount < TASK_COUNT) await clock.advance(STEP_MILLISECONDS)
  for (const worker of site.workers.values()) assert.ok(worker.getRuns().length > LISTED_END_LIMIT)
  for (const { process } of site.instances) process.kill()
  await clock.advance(TASK_MILLISECONDS)
  for (const { address } of [...site.instances]) site.addInstance(address.split(':')[0])
  await clock.advance(PLAY_MILLISECONDS)
  for (const worker of site.workers.values()) worker.shutDown()
  assert.deepEqual([judge.violations, judge.startCount], [[], TASK_COUNT])
})
