import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EMULATED_QUEUE, EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const LONG_RUNNING_JOB_COUNT = 40
const STEP_MILLISECONDS = 10

for (const lostAnswerShare of [0, 1]) {
  test(`short tasks do not wait for the store while many restarts do, ${lostAnswerShare} of its answers lost`, async () => {
    const clock = VirtualClock.create()
    const site = EmulatedSite.create({ clock, random: createRandom(5), instanceCount: 3, workerCount: 20 })
    await clock.advance(2000)
    for (let index = 0; index < LONG_RUNNING_JOB_COUNT; index++) {
      const steps = [{ taskCount: 6, longRunning: true, processorsMilli: 500 }]
      site.submit(`watch${index}`, steps, { durationMilliseconds: Infinity, processorsMilli: 500 })
    }
    await clock.advance(4000)
    // All runs end at once while the owner loses the answers to its writes for less than its lease lasts.
    const owner = site.getOwner()!
    for (const workerId of [...site.workers.keys()]) {
      site.crashWorker(workerId)
      site.restartWorker(workerId)
    }
    owner.tables.faults.lostAnswerShare = lostAnswerShare
    await clock.advance(600)
    site.submit('short', [{}], {}, site.instances.find(instance => instance !== owner))
    let waitMilliseconds = 0
    while (!site.judge.lastRunWorkerIds.has('short.0.0.0') && waitMilliseconds < 10_000) {
      await clock.advance(STEP_MILLISECONDS)
      waitMilliseconds += STEP_MILLISECONDS
    }
    for (const worker of site.workers.values()) worker.shutDown()
    assert.equal(site.getOwner(), owner)
    assert.ok(waitMilliseconds <= EMULATED_QUEUE.targetLatencyMilliseconds, `started after ${waitMilliseconds} ms`)
  })
}
