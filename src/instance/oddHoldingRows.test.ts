import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { EMULATED_WAIT, EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { HttpCaller } from '../shared/HttpCaller.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { decodeHeldWorker, HOLDING_TABLE } from './jobRows.js'

/** Time for a takeover, and for the leases of the earlier owner to expire. */
const RECOVERY_MILLISECONDS = 40_000
const DEEP_LEVELS = 100_000
const DEEP_LIST = JSON.parse(`${'['.repeat(DEEP_LEVELS)}1${']'.repeat(DEEP_LEVELS)}`) as JsonValue

const DEEP_ROWS: JsonValue[] = [DEEP_LIST, { address: DEEP_LIST, capacity: DEEP_LIST }, { labels: [DEEP_LIST] }]
const ODD_ROWS: JsonValue[] = [
  null, 'text', [], {}, { workerId: 'other', address: '10.0.0.1:99999' },
  { workerId: 'worker-0', capacity: { processorsMilli: '7' }, bornAtMilliseconds: 'now', labels: [7] }
]

test('an odd row in the holding table ends no owner, and its jobs are completed after the takeover', async () => {
  for (const [index, value] of ODD_ROWS.entries()) {
    const clock = VirtualClock.create()
    const site = EmulatedSite.create({ clock, random: createRandom(index), instanceCount: 3, workerCount: 2 })
    await clock.advance(2000)
    site.submit('job', [{ taskCount: 3 }, { taskCount: 2, afterSteps: [0] }])
    await clock.advance(300)
    site.tables.apply({
      operations: [{ kind: 'put', table: HOLDING_TABLE, key: 'worker-0', value, condition: { kind: 'any' } }]
    })
    site.getOwner()?.process.kill()
    await clock.advance(RECOVERY_MILLISECONDS)
    const { instance, process } = site.chooseInstance()
    const state = process.receive(instance.gateway.getState('job', EMULATED_WAIT))
    await clock.advance(3000)
    assert.deepEqual(await state, { kind: 'known', state: 'completed' }, `row ${index}`)
    assert.deepEqual(site.judge.violations, [], `row ${index}`)
  }
})

test('a row of the holding table names the worker of its key, whatever its value is, and a call to it ends', async context => {
  const caller = HttpCaller.create({
    connections: 1, openConnection: (_options, callback) => { setImmediate(() => callback(new Error('refused'), null)) }
  })
  context.after(() => caller.close())
  await fastCheck.assert(fastCheck.asyncProperty(fastCheck.string(), fastCheck.jsonValue(), async (key, value) => {
    for (const row of [value, { address: value, capacity: value }, ...ODD_ROWS, ...DEEP_ROWS]) {
      const entry = decodeHeldWorker(key, row as JsonValue)
      assert.equal(entry.workerId, key)
      assert.doesNotThrow(() => JSON.stringify(entry))
      const { address } = entry
      const result = await caller.call({ address, method: 'POST', path: '/', timeoutMilliseconds: 1000 })
      assert.equal(result.kind, 'not-sent')
      caller.closeAddress(address)
    }
  }), { seed: getTestSeed(), numRuns: 50 })
})

test('a complete row of the holding table is read as it was stored', () => {
  const entry = {
    workerId: 'worker-0',
    serviceName: 'desk',
    address: '10.0.0.1:80',
    dataCentre: 'south-a',
    state: 'ready' as const,
    labels: ['a'],
    capacity: { processorsMilli: 4000, memoryMegabytes: 16_000, accelerators: 1 },
    bornAtMilliseconds: 7,
    remainingMilliseconds: 5
  }
  assert.deepEqual(decodeHeldWorker('worker-0', entry), entry)
  assert.deepEqual(decodeHeldWorker('worker-0', { ...entry, remainingMilliseconds: null }).remainingMilliseconds, null)
})
