import assert from 'node:assert/strict'
import { test } from 'node:test'
import { getTestSeed } from '../../src/shared/testSeed.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { LossyPath, type PathDirection } from './LossyPath.js'

const PACKET_COUNT = 4000
/** Four standard deviations of a share of 0.3 among that many packets, rounded up. */
const SHARE_TOLERANCE = 0.03

function createPath (random: () => number = createRandom(getTestSeed())) {
  const clock = VirtualClock.create()
  return { clock, path: LossyPath.create({ clock, random }) }
}

/** Sends one segment on each of many connections, and returns the share that has arrived by each time. */
async function sendSegments (loss: number, direction: PathDirection, times: number[]): Promise<number[]> {
  const { clock, path } = createPath()
  path.loss = { toWorker: 0, fromWorker: 0, [direction]: loss }
  let arrivedCount = 0
  for (let index = 0; index < PACKET_COUNT; index++) path.createStream().send(direction, () => { arrivedCount++ })
  const shares: number[] = []
  for (const time of times) {
    await clock.advance(time - clock.monotonicMilliseconds())
    shares.push(arrivedCount / PACKET_COUNT)
  }
  return shares
}

function assertShares (shares: number[], expected: number[]): void {
  for (const [index, share] of shares.entries()) {
    assert.ok(Math.abs(share - expected[index]) < SHARE_TOLERANCE, `${shares.join()} instead of ${expected.join()}`)
  }
}

test('a path without loss delivers at once, and a longer path after half of its round trip', async () => {
  const { clock, path } = createPath(() => { throw new Error('a random number was used') })
  const events: string[] = []
  path.open(() => events.push('open'))
  path.createStream().send('toWorker', () => events.push('arrived'))
  assert.deepEqual(events.splice(0), ['open', 'arrived'])
  path.extraRoundTripMilliseconds = 22
  path.open(() => events.push('open'))
  path.createStream().send('fromWorker', () => events.push('arrived'))
  await clock.advance(11)
  assert.deepEqual(events, ['arrived'])
  await clock.advance(11)
  assert.deepEqual(events, ['arrived', 'open'])
})

test('a lost segment is sent again after 200 ms, and after twice that time for each further loss', async () => {
  for (const direction of ['toWorker', 'fromWorker'] as const) {
    const shares = await sendSegments(0.3, direction, [0, 199, 200, 599, 600, 1400])
    assertShares(shares, [0.7, 0.7, 0.91, 0.91, 0.973, 0.992])
  }
})

test('a loss in one direction does not affect the other one', () => {
  const { path } = createPath()
  path.loss = { toWorker: 1, fromWorker: 0 }
  let arrivedCount = 0
  path.createStream().send('fromWorker', () => { arrivedCount++ })
  assert.equal(arrivedCount, 1)
})

test('a connection whose first packet or its response is lost opens a second later', async () => {
  for (const loss of [{ toWorker: 0.3, fromWorker: 0 }, { toWorker: 0, fromWorker: 0.3 }]) {
    const { clock, path } = createPath()
    path.loss = loss
    let openCount = 0
    for (let index = 0; index < PACKET_COUNT; index++) path.open(() => { openCount++ })
    const shares = [openCount / PACKET_COUNT]
    for (const wait of [999, 1, 1999, 1]) {
      await clock.advance(wait)
      shares.push(openCount / PACKET_COUNT)
    }
    assertShares(shares, [0.7, 0.7, 0.91, 0.91, 0.973])
  }
})

test('a connection that was given up never opens', async () => {
  const { clock, path } = createPath()
  path.loss = { toWorker: 1, fromWorker: 0 }
  let isOpen = false
  const giveUp = path.open(() => { isOpen = true })
  giveUp()
  path.loss = { toWorker: 0, fromWorker: 0 }
  await clock.advance(10_000)
  assert.equal(isOpen, false)
})

test('segments wait for a lost one before them on the same connection, and not for those of others', async () => {
  const { clock, path } = createPath()
  const stream = path.createStream()
  const arrived: string[] = []
  path.loss = { toWorker: 1, fromWorker: 0 }
  stream.send('toWorker', () => arrived.push('first'))
  path.loss = { toWorker: 0, fromWorker: 0 }
  stream.send('toWorker', () => arrived.push('second'))
  path.createStream().send('toWorker', () => arrived.push('other'))
  assert.deepEqual(arrived, ['other'])
  await clock.advance(200)
  assert.deepEqual(arrived, ['other', 'first', 'second'])
})
