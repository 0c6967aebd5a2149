import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const JOB_COUNT = 8

/** Counts the tasks that have not run, every 5 s after a restart of all instances beside a worker that hangs. */
async function play (): Promise<number[]> {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({
    clock,
    random: createRandom(1),
    instanceCount: 4,
    workerCount: 4,
    processorTime: { share: 2, expiredCalls: 'leaves-queue' }
  })
  await clock.advance(3000)
  site.submit('watch', [{ taskCount: 8, longRunning: true }], { durationMilliseconds: Infinity })
  await clock.advance(1500)
  const hanging = site.workers.get(site.judge.lastRunWorkerIds.get('watch.0.0.0')!)!
  for (let index = 0; index < JOB_COUNT; index++) {
    site.submit(`short-${index}`, [{ taskCount: 2 }, { taskCount: 2, afterSteps: [0] }])
  }
  await clock.advance(300)
  // As RunnerClient sees a process that is paused: connections open, and no call is answered.
  const never = async () => await new Promise<never>(() => {})
  Object.assign(hanging, { hold: never, start: never, stop: never, setPace: never })
  await clock.advance(200)
  for (const instance of site.instances) if (instance.process.isAlive()) site.replaceInstance(instance, 1000)
  const unfinished: number[] = []
  for (let seconds = 0; seconds < 90; seconds += 5) {
    await clock.advance(5000)
    const names = Array.from({ length: JOB_COUNT }, (_, job) => [0, 1].map(index => `short-${job}.0.1.${index}`)).flat()
    unfinished.push(names.filter(name => !site.judge.lastRunWorkerIds.has(name)).length)
  }
  for (const worker of site.workers.values()) worker.shutDown()
  return unfinished
}

test('tasks wait for a worker that accepts calls and answers none for 20 s at most after a takeover', async () => {
  const unfinished = await play()
  assert.deepEqual(unfinished.slice(3).filter(count => count > 0), [])
})
