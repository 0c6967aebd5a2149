import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { OPERATOR_TABLE, OperatorTableSite } from '../../stand-ins/platform/OperatorTableSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { getTableCopyKey } from '../table/tableCopyFormat.js'

const NEAR_COUNT = 3
const FAR_COUNT = 4
const DATA_CENTRES = ['south-a', 'north-a']
const LONGEST_PAUSE_MILLISECONDS = 900
const LONGEST_FREEZE_MILLISECONDS = 3000
/** The last freeze, a call without an answer, and then the time in which a configuration must be in force. */
const SETTLE_MILLISECONDS = LONGEST_FREEZE_MILLISECONDS + 3000 + 4000

const ACTIONS = [
  'large', 'large', 'large', 'small', 'out', 'in', 'kill', 'restart', 'freeze', 'cut-off', 'reconnect', 'compact',
  'malformed-copy', 'delete-copies', 'refuse-objects', 'silence-objects', 'serve-objects', 'other-publisher', 'no-publisher'
] as const

interface Step {
  action: typeof ACTIONS[number]
  /** Chooses the instance or the data centre. */
  target: number
  pauseMilliseconds: number
}

const schedules = fastCheck.record({
  seed: fastCheck.integer(),
  steps: fastCheck.array(fastCheck.record<Step>({
    action: fastCheck.constantFrom(...ACTIONS),
    target: fastCheck.nat(NEAR_COUNT + FAR_COUNT - 1),
    pauseMilliseconds: fastCheck.nat(LONGEST_PAUSE_MILLISECONDS)
  }), { minLength: 2, maxLength: 14 })
})

function play (site: OperatorTableSite, { action, target, pauseMilliseconds }: Step): void {
  const instance = site.instances.at(-1 - target)!
  const dataCentre = DATA_CENTRES[target % DATA_CENTRES.length]
  const { faults } = site.objects
  switch (action) {
    case 'large': case 'small': site.putConfiguration(action); break
    case 'out': case 'in': site.setDataCentreOut(dataCentre, action === 'out'); break
    case 'kill': if (site.getAlive().length > 1) instance.process.kill(); break
    case 'restart': {
      instance.process.kill()
      const started = site.addInstance(instance.isFar, target % 2 === 0)
      if (site.publisher === instance) site.publisher = started
      break
    }
    case 'freeze': instance.process.freeze(pauseMilliseconds * LONGEST_FREEZE_MILLISECONDS / LONGEST_PAUSE_MILLISECONDS); break
    case 'cut-off': case 'reconnect': instance.tables.faults.cutOff = action === 'cut-off'; break
    case 'compact': site.tables.compact(); break
    case 'malformed-copy': {
      const version = site.tables.getTable(OPERATOR_TABLE).version + target
      site.objects.contents.set(getTableCopyKey(OPERATOR_TABLE, version), Uint8Array.of(target))
      break
    }
    case 'delete-copies': site.objects.contents.clear(); break
    case 'refuse-objects': faults.refusal = 'store answered 507'; break
    case 'silence-objects': faults.isSilent = true; break
    case 'serve-objects': Object.assign(faults, { refusal: null, isSilent: false }); break
    case 'other-publisher': site.publisher = instance; break
    case 'no-publisher': site.publisher = null; break
  }
}

function assertNoOlderVersion (site: OperatorTableSite): void {
  for (const { versions, newestAtStart } of site.instances) {
    assert.ok((versions[0] ?? Infinity) >= newestAtStart, `started with ${versions[0]}, not ${newestAtStart}`)
    assert.deepEqual(versions, [...versions].sort((left, right) => left - right))
  }
}

test('every instance ends with the newest configuration and never applies an older one, under random faults', async () => {
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async ({ seed, steps }) => {
    const clock = VirtualClock.create(1000)
    const site = OperatorTableSite.create({
      clock, random: createRandom(seed), nearCount: NEAR_COUNT, farCount: FAR_COUNT
    })
    await clock.advance(100)
    for (const step of steps) {
      play(site, step)
      await clock.advance(step.pauseMilliseconds)
    }
    Object.assign(site.objects.faults, { refusal: null, isSilent: false })
    for (const { tables } of site.instances) tables.faults.cutOff = false
    await clock.advance(SETTLE_MILLISECONDS)
    assertNoOlderVersion(site)
    for (const { versions, watch, logLines } of site.getAlive()) {
      assert.equal(versions.at(-1), site.newestVersion, logLines.slice(-8).join('; '))
      assert.deepEqual([...watch.getDataCentresOut()].sort(), site.getDataCentresOut().sort())
    }
    const wholeReads = site.instances.map(({ counts }) => counts.wholeReads)
    await clock.advance(SETTLE_MILLISECONDS)
    assert.deepEqual(site.instances.map(({ counts }) => counts.wholeReads), wholeReads)
  }), { seed: getTestSeed(), numRuns: 60 })
})
