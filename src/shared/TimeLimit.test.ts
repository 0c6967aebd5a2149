import assert from 'node:assert/strict'
import { test } from 'node:test'
import { TimeLimit } from './TimeLimit.js'
import { VirtualClock } from './VirtualClock.js'

function createLimit (afterRead?: (callback: () => void) => void) {
  const clock = VirtualClock.create()
  const expiredAt: number[] = []
  const limit = TimeLimit.create({
    clock,
    runAfterPendingReads: callback => {
      if (afterRead === undefined) return clock.setTimer(0, callback)
      let isCancelled = false
      afterRead(() => { if (!isCancelled) callback() })
      return () => { isCancelled = true }
    },
    onExpire: () => { expiredAt.push(clock.monotonicMilliseconds()) }
  })
  return { clock, limit, expiredAt }
}

test('a limit passes once at its end', async () => {
  const { clock, limit, expiredAt } = createLimit()
  limit.start(100)
  await clock.advance(1000)
  assert.deepEqual(expiredAt, [100])
})

test('a cancelled limit does not pass', async () => {
  const { clock, limit, expiredAt } = createLimit()
  limit.start(100)
  await clock.advance(99)
  limit.cancel()
  await clock.advance(1000)
  assert.deepEqual(expiredAt, [])
})

test('a limit that is started anew passes at the new end, later or earlier', async () => {
  const { clock, limit, expiredAt } = createLimit()
  limit.start(100)
  await clock.advance(60)
  limit.start(100)
  await clock.advance(200)
  limit.start(100)
  limit.start(10)
  await clock.advance(200)
  assert.deepEqual(expiredAt, [160, 270])
})

test('a limit waits until the process has read what arrived, and what it read may extend or end it', async () => {
  const reads: Array<() => void> = []
  const { clock, limit, expiredAt } = createLimit(callback => { reads.push(callback) })
  limit.start(100)
  await clock.advance(100)
  assert.deepEqual(expiredAt, [])
  limit.start(100)
  reads.shift()?.()
  await clock.advance(99)
  assert.deepEqual([expiredAt, reads.length], [[], 0])
  await clock.advance(1)
  limit.cancel()
  reads.shift()?.()
  await clock.advance(1000)
  assert.deepEqual(expiredAt, [])
})
