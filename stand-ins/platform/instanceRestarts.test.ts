import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { EmulatedSite } from './EmulatedSite.js'

function createSite () {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(1), instanceCount: 2, workerCount: 2 })
  return { clock, site }
}

test('an instance that runs is not replaced when it is started again', async () => {
  const { clock, site } = createSite()
  await clock.advance(2000)
  const [first] = site.instances
  assert.equal(site.addInstance('instance-0'), first)
  assert.equal(site.instances[0], first)
  first.process.kill()
  const next = site.addInstance('instance-0')
  assert.notEqual(next, first)
  assert.deepEqual(site.instances.map(({ process }) => process.isAlive()), [true, true])
})

test('an instance that is replaced twice starts once, at the later time', async () => {
  const { clock, site } = createSite()
  await clock.advance(2000)
  const [first] = site.instances
  site.replaceInstance(first, 3000)
  await clock.advance(1000)
  site.replaceInstance(first, 4000)
  site.replaceInstance(first, 500)
  await clock.advance(3990)
  assert.equal(site.instances[0].process.isAlive(), false)
  await clock.advance(20)
  const [next] = site.instances
  assert.equal(next.process.isAlive(), true)
  await clock.advance(5000)
  assert.equal(site.instances[0], next)
})
