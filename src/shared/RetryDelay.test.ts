import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { RetryDelay } from './RetryDelay.js'
import { getTestSeed } from './testSeed.js'

const SHORTEST_MILLISECONDS = 250
const LONGEST_MILLISECONDS = 1000
/** Enough failures in a row for powers of two to exceed all numbers. */
const MANY_FAILURES = 2000

function createDelay (random: () => number): RetryDelay {
  return RetryDelay.create({
    random, shortestMilliseconds: SHORTEST_MILLISECONDS, longestMilliseconds: LONGEST_MILLISECONDS
  })
}

test('delays grow while calls fail in a row, up to the longest', () => {
  const shortest = createDelay(() => 0)
  assert.deepEqual([shortest.next(), shortest.next(), shortest.next(), shortest.next()], [250, 500, 500, 500])
  const longest = createDelay(() => 0.999)
  const delays = Array.from({ length: MANY_FAILURES }, () => longest.next())
  assert.deepEqual(delays.slice(0, 3).map(Math.round), [500, 1000, 1000])
  assert.ok(delays.every(delay => delay <= LONGEST_MILLISECONDS))
})

test('delays start again with the shortest after a reset', () => {
  const delay = createDelay(() => 0)
  for (let count = 0; count < 3; count++) delay.next()
  delay.reset()
  assert.equal(delay.next(), SHORTEST_MILLISECONDS)
})

test('processes whose calls fail at the same time repeat them at different times', () => {
  const random = createRandom(getTestSeed())
  const delays = Array.from({ length: 20 }, () => createDelay(random))
  for (let failure = 0; failure < 4; failure++) {
    const times = delays.map(delay => delay.next())
    assert.ok(times.every(time => time >= SHORTEST_MILLISECONDS && time <= LONGEST_MILLISECONDS))
    assert.ok(Math.max(...times) - Math.min(...times) > SHORTEST_MILLISECONDS / 2)
  }
})
