import assert from 'node:assert/strict'
import { test } from 'node:test'
import { deflateSync } from 'node:zlib'
import {
  OPERATOR_TABLE, OperatorTableSite, type OperatorTableSiteOptions
} from '../../stand-ins/platform/OperatorTableSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { getTableCopyKey, getTableCopyPrefix, getTableCopyVersion } from '../table/tableCopyFormat.js'

/** The time from its acknowledgement in which a configuration is in force on every machine, on the small site. */
const APPLY_LIMIT_MILLISECONDS = 2500
/** The same on the grown site. */
const GROWN_APPLY_LIMIT_MILLISECONDS = 4000
/** The instances of the grown site in each region. */
const NEAR_COUNT = 18
const FAR_COUNT = 21
/** Longer than the search of any instance and the reads after it. */
const SETTLE_MILLISECONDS = 3000

async function createSite (seed = 1, options: Partial<OperatorTableSiteOptions> = {}) {
  const clock = VirtualClock.create(1000)
  const site = OperatorTableSite.create({
    clock, random: createRandom(seed), nearCount: NEAR_COUNT, farCount: FAR_COUNT, ...options
  })
  assert.ok(await site.advanceUntilCurrent(1000) < 1000)
  const countWholeReads = (isFar?: boolean) => site.instances
    .filter(instance => isFar === undefined || instance.isFar === isFar)
    .reduce((sum, { counts }) => sum + counts.wholeReads, 0)
  const assertNoOlderVersion = () => {
    for (const { versions, newestAtStart } of site.instances) {
      assert.ok((versions[0] ?? Infinity) >= newestAtStart, `started with ${versions[0]}, not ${newestAtStart}`)
      assert.deepEqual(versions, [...versions].sort((left, right) => left - right))
    }
  }
  const assertCurrent = (message = '') => {
    const outdated = site.getOutdated().map(({ versions, logLines }) => ({ versions, logLines: logLines.slice(-6) }))
    assert.deepEqual(outdated, [], message + JSON.stringify(outdated.slice(0, 3)))
  }
  return { clock, site, countWholeReads, assertCurrent, assertNoOlderVersion }
}

test('one instance reads a large configuration and all others read its copy', async () => {
  const { clock, site, assertCurrent, countWholeReads } = await createSite()
  site.putConfiguration('large')
  const elapsed = await site.advanceUntilCurrent(GROWN_APPLY_LIMIT_MILLISECONDS)
  assertCurrent()
  assert.ok(elapsed < APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
  await clock.advance(SETTLE_MILLISECONDS)
  assert.equal(countWholeReads(), 1)
  assert.deepEqual(site.instances.map(({ counts }) => counts.published + counts.used), site.instances.map(() => 1))
  assert.equal(site.objects.contents.size, 1)
})

test('an instance does not read a table again that it has read from a copy', async () => {
  const { clock, site } = await createSite()
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  const bytes = site.regionLink.totalBytes
  await clock.advance(30_000)
  assert.ok(site.regionLink.totalBytes - bytes < 1_000_000, `${site.regionLink.totalBytes - bytes} bytes`)
})

const PUBLISHER_FAULTS = ['dead', 'frozen', 'cut off', 'dead beside a store that announces sizes'] as const
for (const fault of PUBLISHER_FAULTS) {
  test(`a few instances near the store read a large configuration while the publisher is ${fault}`, async () => {
    const announcesSizes = fault.includes('announces')
    const played = await createSite(1, { announcesSizes })
    const { clock, site, assertCurrent, countWholeReads, assertNoOlderVersion } = played
    const { process, tables } = site.publisher!
    if (fault.startsWith('dead')) process.kill()
    if (fault === 'frozen') process.freeze(8000)
    if (fault === 'cut off') tables.faults.cutOff = true
    site.putConfiguration('large')
    const isPresent = (instance: unknown) => instance !== site.publisher
    const startedAt = clock.monotonicMilliseconds()
    const getElapsed = () => clock.monotonicMilliseconds() - startedAt
    while (site.getOutdated().some(isPresent) && getElapsed() < 10_000) await clock.advance(5)
    const elapsed = getElapsed()
    assert.ok(elapsed < APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
    assert.equal(countWholeReads(true), 0)
    assert.ok(countWholeReads() <= 6, `${countWholeReads()} whole reads`)
    tables.faults.cutOff = false
    await clock.advance(12_000)
    assertCurrent()
    assertNoOlderVersion()
  })
}

test('a configuration is in force although its publisher dies between reading and publishing', async () => {
  const { clock, site, countWholeReads } = await createSite()
  site.putConfiguration('large')
  for (let elapsed = 0; countWholeReads() === 0; elapsed++) {
    assert.ok(elapsed < GROWN_APPLY_LIMIT_MILLISECONDS, 'the publisher has not read the configuration')
    await clock.advance(1)
  }
  await clock.advance(5)
  site.publisher!.process.kill()
  const elapsed = await site.advanceUntilCurrent(GROWN_APPLY_LIMIT_MILLISECONDS)
  assert.equal(site.objects.contents.size > 0, true)
  assert.ok(elapsed < APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
  assert.equal(countWholeReads(true), 0)
})

test('all instances end with the newest of several large configurations in quick succession', async () => {
  for (const intervalMilliseconds of [20, 150, 400, 900]) {
    const { clock, site, assertCurrent, assertNoOlderVersion } = await createSite(intervalMilliseconds)
    for (let index = 0; index < 6; index++) {
      site.putConfiguration('large')
      await clock.advance(intervalMilliseconds)
    }
    const elapsed = await site.advanceUntilCurrent(GROWN_APPLY_LIMIT_MILLISECONDS)
    assertCurrent(`interval of ${intervalMilliseconds} ms`)
    assert.ok(elapsed < GROWN_APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
    assertNoOlderVersion()
    await clock.advance(SETTLE_MILLISECONDS)
    assert.ok(site.objects.contents.size <= 2, `${site.objects.contents.size} copies`)
  }
})

test('large configurations come into force while further ones follow', async () => {
  const { clock, site } = await createSite()
  const writtenAt: number[] = []
  for (let index = 0; index < 12; index++) {
    writtenAt[site.putConfiguration('large')] = clock.monotonicMilliseconds()
    await clock.advance(1000)
    const now = clock.monotonicMilliseconds()
    const newestDue = writtenAt.findLastIndex(at => at !== undefined && now - at >= GROWN_APPLY_LIMIT_MILLISECONDS)
    for (const { versions } of site.instances) assert.ok(versions.at(-1)! >= newestDue, `${versions.at(-1)} of ${newestDue}`)
  }
})

test('a process that starts while the table is large begins with the newest configuration, from a copy', async () => {
  const { clock, site, countWholeReads, assertNoOlderVersion } = await createSite()
  site.putConfiguration('large')
  site.setDataCentreOut('north-a', true)
  await clock.advance(SETTLE_MILLISECONDS)
  site.setDataCentreOut('north-a', false)
  site.setDataCentreOut('south-b', true)
  const wholeReads = countWholeReads()
  const started = site.addInstance(true, false)
  await clock.advance(1000)
  assert.deepEqual(started.versions, [site.newestVersion])
  assert.deepEqual([...started.watch.getDataCentresOut()], ['south-b'])
  assert.equal(countWholeReads(), wholeReads)
  assertNoOlderVersion()
})

test('a process that starts between a configuration and its copy does not begin with the copy before', async () => {
  const { clock, site, assertCurrent, assertNoOlderVersion } = await createSite()
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  for (let index = 0; index < 10; index++) {
    site.putConfiguration('large')
    await clock.advance(index * 25)
    site.addInstance(index % 2 === 0, index % 3 === 0)
    await clock.advance(SETTLE_MILLISECONDS)
    assertCurrent()
  }
  assertNoOlderVersion()
})

test('the copy of an older version that is stored late is not used', async () => {
  const { clock, site, assertCurrent, assertNoOlderVersion } = await createSite()
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  const [[key, bytes]] = site.objects.contents
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  site.objects.contents.clear()
  site.objects.contents.set(key, bytes)
  site.putConfiguration('large')
  site.addInstance(false, true)
  await site.advanceUntilCurrent(GROWN_APPLY_LIMIT_MILLISECONDS)
  assertCurrent()
  assertNoOlderVersion()
})

const MALFORMED_CONTENTS: Record<string, (copy: Uint8Array) => Uint8Array> = {
  empty: () => new Uint8Array(),
  'not compressed': () => Buffer.from('{"rows":[],"version":3}'),
  truncated: copy => copy.subarray(0, copy.length / 2),
  'of another version': copy => copy
}
for (const [name, createContent] of Object.entries(MALFORMED_CONTENTS)) {
  test(`a copy whose content is ${name} is not used`, async () => {
    const { clock, site, assertCurrent, assertNoOlderVersion } = await createSite()
    site.putConfiguration('large')
    await clock.advance(SETTLE_MILLISECONDS)
    const [[, copy]] = site.objects.contents
    const { version } = site.tables.getTable(OPERATOR_TABLE)
    // A key that the publisher has still to write, and one that is greater than any version of the table.
    for (const distance of [1, 1_000_000]) {
      site.objects.contents.set(getTableCopyKey(OPERATOR_TABLE, version + distance), createContent(copy))
    }
    site.putConfiguration('large')
    const started = site.addInstance(true, false)
    const elapsed = await site.advanceUntilCurrent(GROWN_APPLY_LIMIT_MILLISECONDS)
    assertCurrent()
    assert.ok(elapsed < GROWN_APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
    assert.ok(started.logLines.includes('table copy not usable'))
    assertNoOlderVersion()
  })
}

test('the copy before a malformed one is used with the changes after it', async () => {
  const { clock, site, countWholeReads, assertNoOlderVersion } = await createSite()
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  const [key] = site.objects.contents.keys()
  const version = getTableCopyVersion(OPERATOR_TABLE, key)!
  site.objects.contents.set(getTableCopyKey(OPERATOR_TABLE, version + 1), Uint8Array.of(1, 2, 3))
  const wholeReads = countWholeReads()
  const started = site.addInstance(true, false)
  await clock.advance(1000)
  assert.deepEqual(started.versions, [site.newestVersion])
  assert.ok(started.logLines.includes('table copy not usable'))
  assert.equal(countWholeReads(), wholeReads)
  assertNoOlderVersion()
})

test('a copy that is newer than the table is not used', async () => {
  const { clock, site, assertCurrent, assertNoOlderVersion } = await createSite()
  const version = 1_000_000
  const row = { table: OPERATOR_TABLE, key: 'configuration', version, value: { version: 500, text: '' } }
  const content = { rows: [row], version }
  site.objects.contents.set(getTableCopyKey(OPERATOR_TABLE, version), deflateSync(JSON.stringify(content)))
  site.putConfiguration('large')
  const started = site.addInstance(true, false)
  await clock.advance(GROWN_APPLY_LIMIT_MILLISECONDS)
  assertCurrent()
  assert.ok(started.logLines.includes('table copy not usable'))
  assertNoOlderVersion()
})

test('a configuration is in force although the history is compacted while its copy is read', async () => {
  for (const delayMilliseconds of [0, 100, 250, 300, 350, 400, 500]) {
    const { clock, site, assertNoOlderVersion } = await createSite(delayMilliseconds)
    site.putConfiguration('large')
    await clock.advance(delayMilliseconds)
    site.tables.compact()
    const elapsed = delayMilliseconds + await site.advanceUntilCurrent(GROWN_APPLY_LIMIT_MILLISECONDS)
    assert.ok(elapsed < GROWN_APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
    assertNoOlderVersion()
    await clock.advance(SETTLE_MILLISECONDS)
    site.setDataCentreOut('south-a', true)
    await clock.advance(SETTLE_MILLISECONDS)
    for (const { watch } of site.instances) assert.deepEqual([...watch.getDataCentresOut()], ['south-a'])
  }
})

test('a copy that cannot be used any more is not transferred', async () => {
  const { clock, site, assertCurrent, countWholeReads } = await createSite(1, { announcesSizes: true })
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  const [copy] = site.objects.contents.values()
  const bytes = site.regionLink.totalBytes
  site.tables.compact()
  await clock.advance(SETTLE_MILLISECONDS)
  assertCurrent()
  assert.equal(countWholeReads(), 2)
  const copyCount = (site.regionLink.totalBytes - bytes) / copy.length
  assert.ok(copyCount < FAR_COUNT * 1.5, `${copyCount} copies for ${FAR_COUNT} instances`)
})

test('a process that starts after the history since the copy is gone reads the table itself and publishes it', async () => {
  const { clock, site, countWholeReads, assertNoOlderVersion } = await createSite()
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  site.setDataCentreOut('south-a', true)
  site.tables.compact()
  const [copyBefore] = site.objects.contents.keys()
  await clock.advance(SETTLE_MILLISECONDS)
  const wholeReads = countWholeReads()
  site.publisher = null
  for (const key of [...site.objects.contents.keys()]) if (key !== copyBefore) site.objects.contents.delete(key)
  const started = Array.from({ length: 8 }, (_, index) => site.addInstance(index % 2 === 1, index % 2 === 0))
  await clock.advance(GROWN_APPLY_LIMIT_MILLISECONDS)
  for (const { versions, watch } of started) {
    assert.deepEqual(versions, [site.newestVersion])
    assert.deepEqual([...watch.getDataCentresOut()], ['south-a'])
  }
  assert.ok(countWholeReads() - wholeReads <= 4, `${countWholeReads() - wholeReads} whole reads`)
  assertNoOlderVersion()
})

for (const fault of ['refused', 'silent'] as const) {
  test(`a configuration is in force although objects are ${fault}`, async () => {
    const { clock, site, assertNoOlderVersion } = await createSite(1, { nearCount: 4, farCount: 4 })
    if (fault === 'refused') site.objects.faults.refusal = 'store answered 507'
    else site.objects.faults.isSilent = true
    site.putConfiguration('large')
    const elapsed = await site.advanceUntilCurrent(GROWN_APPLY_LIMIT_MILLISECONDS)
    assert.ok(elapsed < GROWN_APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
    await clock.advance(SETTLE_MILLISECONDS)
    assert.deepEqual(site.instances.map(({ counts }) => counts.wholeReads), site.instances.map(() => 1))
    assert.ok(site.publisher!.logLines.includes('table copy not published'))
    assertNoOlderVersion()
  })
}

test('a table that has become small again is read without copies', async () => {
  const { clock, site, countWholeReads } = await createSite()
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  const wholeReads = countWholeReads()
  site.putConfiguration('small')
  assert.ok(await site.advanceUntilCurrent(200) < 200)
  const started = site.addInstance(true, false)
  await clock.advance(200)
  assert.deepEqual(started.versions, [site.newestVersion])
  assert.equal(countWholeReads(), wholeReads)
})

test('a configuration is in force after the store was away while its copies were read', async () => {
  for (const delayMilliseconds of [0, 100, 300, 500, 800]) {
    const { clock, site, assertNoOlderVersion } = await createSite(delayMilliseconds)
    site.putConfiguration('large')
    await clock.advance(delayMilliseconds)
    for (const { tables } of site.instances) tables.faults.cutOff = true
    await clock.advance(4000)
    for (const { tables } of site.instances) tables.faults.cutOff = false
    // A call without an answer ends 1 s after it was sent, and an object call 3 s after.
    const elapsed = await site.advanceUntilCurrent(2 * GROWN_APPLY_LIMIT_MILLISECONDS)
    assert.ok(elapsed < 3000 + GROWN_APPLY_LIMIT_MILLISECONDS, `${elapsed} ms`)
    assertNoOlderVersion()
  }
})

test('a too large answer counts as contact with the store only once the rows have arrived', async () => {
  const { clock, site } = await createSite()
  const waiting = site.instances.at(-1)!
  const contactBefore = waiting.watch.getLastContactAt()
  await clock.advance(700)
  assert.equal(waiting.watch.getLastContactAt(), contactBefore)
  site.putConfiguration('large')
  while (waiting.versions.at(-1) !== site.newestVersion) {
    assert.equal(waiting.watch.getLastContactAt(), contactBefore)
    await clock.advance(5)
  }
  assert.ok(waiting.watch.getLastContactAt() > contactBefore)
  assert.equal(waiting.counts.used, 1)
})

test('a configuration with a lower version than the one in force is not applied', async () => {
  const { clock, site, assertNoOlderVersion } = await createSite()
  site.newestVersion = 9
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  site.newestVersion = 4
  site.putConfiguration('large')
  await clock.advance(SETTLE_MILLISECONDS)
  for (const { versions } of site.instances) assert.deepEqual(versions, [1, 10])
  assertNoOlderVersion()
})

test('copies of other tables and formats are not touched', async () => {
  const { clock, site, assertCurrent } = await createSite()
  const others = [
    getTableCopyKey('other', 1), 'table-copies/0/operators/1', `${getTableCopyPrefix(OPERATOR_TABLE)}x`
  ]
  for (const key of others) site.objects.contents.set(key, new Uint8Array())
  for (let index = 0; index < 4; index++) {
    site.putConfiguration('large')
    await clock.advance(SETTLE_MILLISECONDS)
  }
  assertCurrent()
  for (const key of others) assert.ok(site.objects.contents.has(key), key)
  assert.equal(site.objects.contents.size, others.length + 2)
})
