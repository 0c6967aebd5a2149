import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { PageSize } from '../../src/table/PageSize.js'
import { DistantTables } from './DistantTables.js'
import { EmulatedTables } from './EmulatedTables.js'
import { RegionLink } from './RegionLink.js'

/** One byte takes a microsecond. */
const BITS_PER_SECOND = 8_000_000
const LARGE_VALUE = 'x'.repeat(600_000)

function createTables (options: { responseMilliseconds?: number } = {}) {
  const clock = VirtualClock.create()
  const store = EmulatedTables.create({ clock })
  const link = RegionLink.create({ clock, bitsPerSecond: BITS_PER_SECOND, delayMilliseconds: 10 })
  const timeouts: string[] = []
  const createClient = () => DistantTables.create({
    tables: store.createClient(() => 0.5),
    clock,
    route: link.getRoute(true, false),
    getResponseMilliseconds: () => options.responseMilliseconds ?? 0,
    pageSize: PageSize.create(8),
    onTimeout: call => timeouts.push(call)
  })
  return { clock, store, link, timeouts, createClient, client: createClient() }
}

/** Advances the clock until long after a call has ended, and returns its outcome and the time that it took. */
async function measure<Outcome> (
  clock: VirtualClock, call: Promise<Outcome>
): Promise<{ outcome: Outcome, milliseconds: number }> {
  const [measured] = await measureAll(clock, [call])
  return measured
}

async function measureAll<Outcome> (
  clock: VirtualClock, calls: Array<Promise<Outcome>>
): Promise<Array<{ outcome: Outcome, milliseconds: number }>> {
  const startedAt = clock.monotonicMilliseconds()
  const ended = calls.map(async call => {
    const outcome = await call
    return { outcome, milliseconds: clock.monotonicMilliseconds() - startedAt }
  })
  await clock.advance(20_000)
  return await Promise.all(ended)
}

test('the response of a call takes as long as its rows take on the link', async () => {
  const { clock, client, store, link } = createTables()
  store.apply({ operations: [{ kind: 'put', table: 't', key: 'k', value: LARGE_VALUE, condition: { kind: 'any' } }] })
  const { outcome, milliseconds } = await measure(clock, client.waitForChanges('t', 0, 1500))
  assert.equal(outcome.kind, 'changes')
  assert.ok(milliseconds > 800 && milliseconds < 1100, String(milliseconds))
  assert.ok(link.get('to-far').carriedBytes > 800_000)
  assert.ok(link.get('from-far').carriedBytes < 1000)
})

test('feed calls of several clients that share the link time out, and stop carrying their responses', async () => {
  const { clock, store, createClient, link, timeouts } = createTables()
  const calls = Array.from({ length: 5 }, () => createClient().waitForChanges('t', 0, 1500))
  store.apply({ operations: [{ kind: 'put', table: 't', key: 'k', value: LARGE_VALUE, condition: { kind: 'any' } }] })
  for (const { outcome, milliseconds } of await measureAll(clock, calls)) {
    assert.equal(outcome.kind, 'unavailable')
    assert.equal(Math.round(milliseconds), 2200)
  }
  assert.deepEqual(timeouts, ['feed', 'feed', 'feed', 'feed', 'feed'])
  const carried = link.get('to-far').carriedBytes
  assert.ok(carried > 1_900_000 && carried < 2_600_000, String(carried))
  await clock.advance(5000)
  assert.equal(link.get('to-far').carriedBytes, carried)
})

test('a transaction that waits for the link longer than its time limit is applied all the same', async () => {
  const { clock, client, store, link } = createTables()
  link.get('from-far').fill(1500)
  const call = client.transact({
    operations: [{ kind: 'put', table: 't', key: 'k', value: 1, condition: { kind: 'any' } }]
  })
  await clock.advance(1000)
  assert.equal((await call).kind, 'unknown')
  assert.equal(store.get({ table: 't', key: 'k' }), null)
  await clock.advance(1000)
  assert.equal(store.get({ table: 't', key: 'k' })?.value, 1)
})

test('a slow store answers a read in its response time, and not at all beyond the time limit', async () => {
  const slow = createTables({ responseMilliseconds: 500 })
  const { outcome, milliseconds } = await measure(slow.clock, slow.client.read({ table: 't', key: 'k' }))
  assert.equal(outcome.kind, 'ok')
  assert.ok(milliseconds >= 520 && milliseconds < 540, String(milliseconds))
  const tooSlow = createTables({ responseMilliseconds: 1200 })
  const late = await measure(tooSlow.clock, tooSlow.client.read({ table: 't', key: 'k' }))
  assert.deepEqual([late.outcome.kind, late.milliseconds], ['unavailable', 1000])
})

test('a whole table is read in pages, each with a time limit of its own', async () => {
  const { clock, client, store } = createTables()
  const keys = Array.from({ length: 200 }, (_, index) => `k${1000 + index}`)
  for (const key of keys) {
    store.apply({ operations: [{ kind: 'put', table: 't', key, value: 'x'.repeat(15_000), condition: { kind: 'any' } }] })
  }
  const { outcome, milliseconds } = await measure(clock, client.readTable('t'))
  assert.equal(outcome.kind, 'ok')
  assert.deepEqual(outcome.kind === 'ok' && outcome.value.rows.map(({ key }) => key), keys)
  assert.ok(milliseconds > 4000, String(milliseconds))
})
