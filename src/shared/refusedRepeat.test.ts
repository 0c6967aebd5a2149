import assert from 'node:assert/strict'
import { test } from 'node:test'
import { repeatCall } from './repeatCall.js'
import { VirtualClock } from './VirtualClock.js'

test('a call whose first repeat the budget refuses is repeated soon after the budget allows it', async () => {
  const clock = VirtualClock.create(0)
  const sentAt: number[] = []
  repeatCall({
    clock,
    send: async () => {
      sentAt.push(clock.monotonicMilliseconds())
      await new Promise<void>(resolve => { clock.setTimer(1000, resolve) })
      return false
    },
    isSettled: hasResponse => hasResponse,
    getDelayMilliseconds: () => 100,
    // The event loop is late for a moment only.
    mayRepeat: () => clock.monotonicMilliseconds() > 120,
    sendLimit: 5
  })
  await clock.advance(900)
  assert.ok(sentAt.length > 1, `sent at ${sentAt.join(', ')} ms only`)
})
