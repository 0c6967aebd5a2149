import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Clock } from './Clock.js'
import { ElapsedTime } from './ElapsedTime.js'

test('the elapsed time is that of the clock that has advanced further', () => {
  const times = { monotonic: 1000, wall: 50_000 }
  const clock: Clock = {
    monotonicMilliseconds: () => times.monotonic, wallMilliseconds: () => times.wall, setTimer: () => () => {}
  }
  const elapsed = ElapsedTime.start(clock)
  assert.equal(elapsed.startedAt, 1000)
  times.wall += 8000
  assert.equal(elapsed.getMilliseconds(), 8000)
  times.monotonic += 9000
  assert.equal(elapsed.getMilliseconds(), 9000)
  times.wall -= 60_000
  assert.equal(elapsed.getMilliseconds(), 9000)
})
