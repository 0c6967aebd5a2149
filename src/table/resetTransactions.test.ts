import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../shared/VirtualClock.js'
import { TransactionRepeater } from './TransactionRepeater.js'

const RESET_MILLISECONDS = 2
/** One send in each of the shortest intervals at which an overdue response is repeated would be 33. */
const SEND_LIMIT_PER_SECOND = 33

test('a transaction whose connection is reset at once is not sent again without a pause', async () => {
  const clock = VirtualClock.create(1000)
  const repeater = TransactionRepeater.create({
    clock, repeatsPerSecond: 40, isOverloaded: () => false, onRepeat: () => {}
  })
  const sentAt: number[] = []
  repeater.transact({
    write: 'renewal',
    transaction: { operations: [] },
    send: async () => {
      sentAt.push(clock.monotonicMilliseconds())
      await new Promise<void>(resolve => { clock.setTimer(RESET_MILLISECONDS, resolve) })
      return { kind: 'unknown', reason: 'connection reset' }
    },
    mayRepeat: () => true
  })
  await clock.advance(1000)
  const first = sentAt.filter(at => at < 1150).length
  assert.ok(first <= 2, `${first} sends in the first 150 ms, before a response could be overdue`)
  assert.ok(sentAt.length <= SEND_LIMIT_PER_SECOND, `${sentAt.length} sends in a second`)
})
