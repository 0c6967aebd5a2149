import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EmulatedLink } from './EmulatedLink.js'
import { RegionLink } from './RegionLink.js'

/** One byte takes a microsecond. */
const BITS_PER_SECOND = 8_000_000
const DELAY_MILLISECONDS = 10

function createLink () {
  const clock = VirtualClock.create()
  const arrivals: Array<[name: string, at: number]> = []
  const link = EmulatedLink.create({ clock, bitsPerSecond: BITS_PER_SECOND, delayMilliseconds: DELAY_MILLISECONDS })
  const send = (name: string, byteCount: number) => {
    link.send(byteCount, () => { arrivals.push([name, clock.monotonicMilliseconds()]) })
  }
  return { clock, link, arrivals, send }
}

test('messages leave in the order in which they were sent, at the rate of the link', async () => {
  const { clock, arrivals, send, link } = createLink()
  send('large', 100_000)
  send('small', 1000)
  await clock.advance(50)
  send('late', 1000)
  await clock.advance(200)
  send('alone', 1000)
  await clock.advance(200)
  assert.deepEqual(arrivals, [['large', 110], ['small', 111], ['late', 112], ['alone', 261]])
  assert.equal(link.carriedBytes, 103_000)
})

test('a transfer has one window in the link, so that a small message waits only for the windows before it', async () => {
  const { clock, arrivals, send, link } = createLink()
  for (const name of ['first', 'second']) {
    link.transfer(655_360, () => true).then(() => { arrivals.push([name, Math.round(clock.monotonicMilliseconds())]) })
  }
  await clock.advance(500)
  send('small', 0)
  await clock.advance(2000)
  assert.equal(arrivals[0][0], 'small')
  assert.ok(arrivals[0][1] <= 500 + 2 * 66 + DELAY_MILLISECONDS, String(arrivals[0][1]))
  assert.deepEqual(arrivals.slice(1).map(([name]) => name), ['first', 'second'])
  assert.ok(arrivals[2][1] >= 1311 && arrivals[2][1] < 1400, String(arrivals[2][1]))
})

test('a transfer whose receiver is gone carries nothing that is not yet in the link', async () => {
  const { clock, link } = createLink()
  let isWanted = true
  const transfer = link.transfer(655_360, () => isWanted)
  await clock.advance(100)
  isWanted = false
  await clock.advance(2000)
  assert.equal(await transfer, false)
  assert.equal(link.carriedBytes, 2 * 65_536)
})

test('other traffic delays what is sent later, and does not add to a longer queue', async () => {
  const { clock, arrivals, send, link } = createLink()
  link.fill(300)
  link.fill(200)
  assert.equal(Math.round(link.queuedMilliseconds), 300)
  send('small', 0)
  await clock.advance(400)
  assert.deepEqual(arrivals, [['small', 310]])
})

test('calls between regions have a route over the link, whose directions do not share a queue', async () => {
  const clock = VirtualClock.create()
  const link = RegionLink.create({ clock, bitsPerSecond: BITS_PER_SECOND, delayMilliseconds: DELAY_MILLISECONDS })
  assert.equal(link.getRoute(true, true), null)
  assert.equal(link.getRoute(false, false), null)
  const outward = link.getRoute(false, true)!
  const homeward = link.getRoute(true, false)!
  assert.equal(outward.requests, homeward.answers)
  assert.equal(outward.answers, homeward.requests)
  outward.requests.fill(1000)
  assert.equal(link.get('to-far').queuedMilliseconds, 1000)
  assert.equal(link.get('from-far').queuedMilliseconds, 0)
})
