import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { EmulatedSite } from './EmulatedSite.js'

test('a store that exceeds the time limits of calls has no owner, and one as soon as it answers in time', async () => {
  const clock = VirtualClock.create()
  let delayMilliseconds = 1200
  const site = EmulatedSite.create({
    clock,
    random: createRandom(1),
    instanceCount: 2,
    workerCount: 2,
    getStoreDelayMilliseconds: () => delayMilliseconds
  })
  await clock.advance(6000)
  assert.equal(site.getOwner(), undefined)
  assert.ok(site.timeouts.get('read')! > 0, JSON.stringify([...site.timeouts]))
  delayMilliseconds = 250
  await clock.advance(6000)
  assert.notEqual(site.getOwner(), undefined)
  const outcome = site.submit('job', [{ taskCount: 2 }])
  await clock.advance(6000)
  assert.equal((await outcome).kind, 'accepted')
  assert.equal(site.judge.startCount, 2)
  for (const worker of site.workers.values()) worker.shutDown()
})
