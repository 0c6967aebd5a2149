import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const TASK_COUNT = 8

for (const workerId of ['worker-9', 'constructor', '__proto__']) {
  test(`the wait for an unreachable worker ends after a takeover when its name is ${workerId}`, async () => {
    const clock = VirtualClock.create()
    const site = EmulatedSite.create({ clock, random: createRandom(1), instanceCount: 2, workerCount: 2 })
    const worker = site.addWorker(workerId)
    await clock.advance(2000)
    site.submit('watch', [{ taskCount: TASK_COUNT, longRunning: true }], { durationMilliseconds: Infinity })
    await clock.advance(1000)
    assert.ok(site.judge.startWorkerIds.includes(workerId))
    worker.faults.cutOff = true
    for (const { process } of site.instances) process.kill()
    for (const { address } of [...site.instances]) site.addInstance(address.split(':')[0])
    await clock.advance(30_000)
    const runningTasks = site.judge.getRunningTasks()
    for (const emulated of site.workers.values()) emulated.shutDown()
    assert.equal(runningTasks.length, TASK_COUNT)
  })
}
