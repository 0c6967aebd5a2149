import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EMULATED_WAIT, type EmulatedInstance, type EmulatedSite } from './EmulatedSite.js'
import { createFaultySite } from './createFaultySite.js'
import { getInstanceId } from './InstanceDisruptions.js'

function getLiving (site: EmulatedSite): string[] {
  return site.instances.filter(({ process }) => process.isAlive()).map(getInstanceId)
}

function getOthers (site: EmulatedSite): EmulatedInstance[] {
  const owner = site.getOwner()
  return site.instances.filter(instance => instance !== owner)
}

test('the owner, another instance or the last writer is killed and starts again', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const owner = site.getOwner()!
  const [other] = getOthers(site)
  start('instance-kill', { variant: 0 })
  assert.equal(owner.process.isAlive(), false)
  assert.equal(faults.calmSince, null)
  assert.equal(faults.isWorkerAffected(getInstanceId(owner)), true)
  await clock.advance(2990)
  assert.equal(getLiving(site).length, 2)
  await clock.advance(20)
  assert.equal(getLiving(site).length, 3)
  assert.equal(faults.calmSince, 6000)
  assert.equal(faults.isWorkerAffected(getInstanceId(owner)), false)
  await clock.advance(10_000)
  const nextOwner = site.getOwner()!
  start('instance-kill', { variant: 1, target: getOthers(site).indexOf(other) })
  assert.equal(nextOwner.process.isAlive(), true)
  assert.equal(getLiving(site).length, 2)
  faults.endAll()
  assert.equal(getLiving(site).length, 3)
  await clock.advance(3000)
  const writer = site.instances.reduce((last, next) => next.tables.lastWriteAt > last.tables.lastWriteAt ? next : last)
  start('instance-kill', { variant: 2 })
  assert.equal(writer.process.isAlive(), false)
})

test('an instance that is killed again while it is down starts once, at the end of the later fault', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('instance-kill-all')
  await clock.advance(2000)
  start('instance-kill-all')
  await clock.advance(2500)
  assert.deepEqual(getLiving(site), [])
  assert.equal(faults.calmSince, null)
  await clock.advance(1000)
  assert.equal(getLiving(site).length, 3)
  assert.equal(faults.calmSince, 8000)
})

test('machines without power do not answer, and refuse calls when only their processes have ended', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('instance-kill-all', { durationMilliseconds: 1000 })
  assert.equal(site.darkAddresses.size, 0)
  start('instance-power-off-all', { durationMilliseconds: 500 })
  assert.equal(site.darkAddresses.size, 3)
  await clock.advance(600)
  assert.equal(site.darkAddresses.size, 0)
  assert.deepEqual(getLiving(site), [])
  await clock.advance(500)
  assert.equal(getLiving(site).length, 3)
  assert.equal(faults.calmSince, 4000)
})

test('machines have power again one after the other', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('instance-power-off-all', { variant: 1, durationMilliseconds: 8000 })
  const counts = new Set<number>()
  for (let elapsed = 0; elapsed < 8000; elapsed += 50) {
    await clock.advance(50)
    counts.add(getLiving(site).length)
    assert.equal(site.darkAddresses.size, 3 - getLiving(site).length)
  }
  assert.deepEqual([...counts], [0, 1, 2, 3])
  assert.notEqual(faults.calmSince, null)
})

test('an instance that has accepted a job is gone for good at once, and another one comes', async () => {
  const { clock, site, start } = await createFaultySite()
  const [target] = site.instances
  start('strike-after-acceptance', { variant: 5 })
  const outcome = site.submit('job', [{ taskCount: 1 }], {}, target)
  await clock.advance(4000)
  assert.equal((await outcome).kind, 'accepted')
  assert.equal(target.process.isAlive(), false)
  assert.deepEqual(getLiving(site), ['instance-1', 'instance-2', 'instance-100'])
  await clock.advance(15_000)
  assert.ok(site.judge.startCount > 0)
})

test('instances freeze, and wake at the end of the fault or of all faults', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const owner = site.getOwner()!
  start('instance-freeze', { variant: 0 })
  assert.equal(owner.process.isFrozen(), true)
  await clock.advance(3000)
  assert.equal(owner.process.isFrozen(), false)
  assert.equal(faults.calmSince, 6000)
  start('instance-freeze', { variant: 2 })
  assert.deepEqual(site.instances.map(({ process }) => process.isFrozen()), [true, true, true])
  await clock.advance(1000)
  faults.endAll()
  assert.deepEqual(site.instances.map(({ process }) => process.isFrozen()), [false, false, false])
  assert.equal(faults.calmSince, 7000)
})

test('the owner freezes when its next renewal has been applied', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const owner = site.getOwner()!
  start('instance-freeze', { variant: 3 })
  assert.equal(owner.process.isFrozen(), false)
  assert.notEqual(faults.calmSince, null)
  await clock.advance(2500)
  assert.equal(owner.process.isFrozen(), true)
  assert.equal(faults.calmSince, null)
})

test('the clock of a suspended instance stands still, also when all faults are ended before', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const { process } = site.getOwner()!
  start('instance-suspend', { variant: 0 })
  await clock.advance(1000)
  faults.endAll()
  assert.equal(process.isFrozen(), false)
  assert.equal(clock.monotonicMilliseconds() - process.clock.monotonicMilliseconds(), 1000)
  start('instance-suspend', { variant: 0 })
  await clock.advance(4000)
  assert.equal(clock.monotonicMilliseconds() - process.clock.monotonicMilliseconds(), 4000)
})

test('instances are stopped one after the other and start again', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const before = [...site.instances]
  start('instance-rolling-restart', { count: 3 })
  await clock.advance(2700)
  assert.equal(getLiving(site).length, 2)
  await clock.advance(5000)
  assert.equal(getLiving(site).length, 3)
  assert.ok(site.instances.every(instance => !before.includes(instance)))
  assert.equal(faults.calmSince, 3000 + 2 * 2000 + 3500)
  await clock.advance(10_000)
  assert.notEqual(site.getOwner(), undefined)
})

test('all instances are restarted when a rolling restart is ended early', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const { instance: { ownerApi } } = site.getOwner()!
  start('instance-rolling-restart', { count: 3 })
  await clock.advance(1000)
  faults.endAll()
  assert.equal(getLiving(site).length, 3)
  assert.ok(site.instances.every(({ instance }) => instance.ownerApi !== ownerApi))
  await clock.advance(20_000)
  assert.notEqual(site.getOwner(), undefined)
})

for (const variant of [0, 1]) {
  test(`an instance is replaced for good by one at another address, variant ${variant}`, async () => {
    const { clock, site, faults, start } = await createFaultySite()
    const ownerId = getInstanceId(site.getOwner()!)
    start('instance-kill', { durationMilliseconds: 4000, variant: 2 })
    start('instance-replacement', { variant, target: 1 })
    await clock.advance(5000)
    assert.equal(site.instances.some(instance => getInstanceId(instance) === 'instance-100'), true)
    assert.equal(site.instances.length, 3)
    assert.equal(getLiving(site).length, 3)
    assert.notEqual(faults.calmSince, null)
    await clock.advance(15_000)
    assert.notEqual(site.getOwner(), undefined)
    assert.ok(ownerId.startsWith('instance-'))
  })
}

test('instances are added, up to twice their initial number', async () => {
  const { clock, site, start } = await createFaultySite()
  for (let index = 0; index < 5; index++) start('instance-addition')
  assert.equal(getLiving(site).length, 6)
  await clock.advance(3000)
  assert.equal(site.instances.every(({ instance }) => instance.isReady()), true)
})

test('an instance is cut off from its peers in both directions or in one, also after a restart', async () => {
  const { clock, site, start } = await createFaultySite()
  start('instance-peer-cut', { variant: 0, durationMilliseconds: 8000 })
  const owner = site.getOwner()!
  assert.deepEqual(owner.peerFaults, { cutOff: true, losesCalls: true })
  start('instance-peer-cut', { variant: 2, durationMilliseconds: 2000 })
  await clock.advance(2500)
  assert.deepEqual(owner.peerFaults, { cutOff: true, losesCalls: true })
  start('instance-kill', { variant: 0, durationMilliseconds: 1000 })
  await clock.advance(2000)
  const next = site.instances.find(({ address }) => address === owner.address)!
  assert.notEqual(next, owner)
  assert.deepEqual(next.peerFaults, { cutOff: true, losesCalls: true })
  await clock.advance(4000)
  assert.deepEqual(next.peerFaults, { cutOff: false, losesCalls: false })
})

test('an instance whose calls to its peers are lost cannot have a job stored by the owner', async () => {
  const { clock, site, start } = await createFaultySite()
  const [other] = getOthers(site)
  const target = site.instances.indexOf(other)
  start('instance-peer-cut', { variant: 5, target, durationMilliseconds: 8000 })
  start('store-away-for-some', { variant: 1, target, durationMilliseconds: 8000 })
  assert.deepEqual(other.peerFaults, { cutOff: false, losesCalls: true })
  const outcome = site.submit('job', [{ taskCount: 1 }], {}, other)
  await clock.advance(2500)
  assert.equal(site.judge.startCount, 0)
  await clock.advance(3500)
  assert.notEqual((await outcome).kind, 'accepted')
})

test('the owner is lost again each time a new one leads', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  const owners = new Set<EmulatedInstance>()
  start('owner-losses', { count: 3, variant: 1, durationMilliseconds: 2000 })
  for (let elapsed = 0; elapsed < 40_000; elapsed += 100) {
    await clock.advance(100)
    const owner = site.getOwner()
    if (owner !== undefined) owners.add(owner)
  }
  assert.equal([...owners].filter(({ process }) => !process.isAlive()).length, 2)
  assert.notEqual(site.getOwner(), undefined)
  assert.notEqual(faults.calmSince, null)
})

test('a strike waits for the next accepted job, and happens once', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('strike-after-acceptance', { variant: 2 })
  await clock.advance(1000)
  assert.equal(getLiving(site).length, 3)
  assert.notEqual(faults.calmSince, null)
  const outcome = site.submit('job', [{ taskCount: 1 }])
  while (getLiving(site).length > 0) await clock.advance(1)
  assert.deepEqual(await outcome, { kind: 'accepted' })
  assert.equal(faults.calmSince, null)
  await clock.advance(20_000)
  assert.equal(getLiving(site).length, 3)
  const { instance, process } = site.chooseInstance()
  const state = process.receive(instance.gateway.getState('job', EMULATED_WAIT))
  await clock.advance(3000)
  assert.deepEqual((await state).kind, 'known')
})

test('a strike after a submission happens within 400 ms of it, unless all faults are ended before', async () => {
  const { clock, site, faults, start } = await createFaultySite()
  start('strike-after-submission', { variant: 3 })
  start('strike-after-acceptance', { variant: 3 })
  faults.endAll()
  site.submit('first', [{ taskCount: 1 }])
  await clock.advance(1000)
  assert.equal(getLiving(site).length, 3)
  start('strike-after-submission', { variant: 3 })
  site.submit('second', [{ taskCount: 1 }])
  await clock.advance(4)
  assert.equal(getLiving(site).length, 3)
  await clock.advance(400)
  assert.deepEqual(getLiving(site), [])
  assert.equal(site.darkAddresses.size, 3)
})

test('the time of day of an instance steps ahead or back, also across a restart, and is right at the end', async () => {
  const { clock, site, start } = await createFaultySite()
  const getStep = () => site.instances[0].process.clock.wallMilliseconds() - clock.wallMilliseconds()
  start('clock-step', { variant: 2, durationMilliseconds: 5000 })
  assert.equal(getStep(), 2000)
  start('instance-kill-all', { durationMilliseconds: 1000 })
  await clock.advance(2000)
  assert.equal(getStep(), 2000)
  await clock.advance(4000)
  assert.equal(getStep(), 0)
  start('clock-step', { variant: 3 })
  assert.equal(getStep(), -2000)
})
