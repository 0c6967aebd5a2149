import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { Transaction, TransactionOutcome } from './TableService.js'
import { TransactionRepeater } from './TransactionRepeater.js'

const COMMITTED: TransactionOutcome = { kind: 'committed', versions: [1] }
const LOST: TransactionOutcome = { kind: 'unknown', reason: 'no answer' }
const REFUSED: TransactionOutcome = { kind: 'unavailable', reason: 'store answered 429' }
const TIMEOUT_MILLISECONDS = 1000

interface Answer {
  outcome: TransactionOutcome
  milliseconds: number
}

function createHarness (options: { repeatsPerSecond?: number, isOverloaded?: boolean } = {}) {
  const clock = VirtualClock.create()
  let repeatCount = 0
  const repeater = TransactionRepeater.create({
    clock,
    repeatsPerSecond: options.repeatsPerSecond ?? 40,
    isOverloaded: () => options.isOverloaded === true,
    onRepeat: () => { repeatCount++ }
  })
  /** Makes one write and returns its outcome and its sends. */
  const write = async (answers: (sendIndex: number) => Answer, valueBytes = 10) => {
    const transaction: Transaction = {
      operations: [{ kind: 'put', table: 't', key: 'k', value: 'x'.repeat(valueBytes), condition: { kind: 'any' } }]
    }
    let sendCount = 0
    const result = repeater.transact({
      write: 'progress',
      transaction,
      mayRepeat: () => true,
      send: async sendIndex => {
        sendCount++
        const { outcome, milliseconds } = answers(sendIndex)
        await new Promise<void>(resolve => { clock.setTimer(milliseconds, resolve) })
        return outcome
      }
    })
    await clock.advance(5000)
    return { ...await result, sendCount }
  }
  return { write, getRepeatCount: () => repeatCount }
}

test('a store that becomes 60 times slower gets few further writes until the estimate has followed', async () => {
  const { write, getRepeatCount } = createHarness()
  for (let count = 0; count < 100; count++) await write(() => ({ outcome: COMMITTED, milliseconds: 4 }))
  assert.equal(getRepeatCount(), 0)
  for (let count = 0; count < 100; count++) {
    await write(() => ({ outcome: COMMITTED, milliseconds: 200 + count % 3 * 20 }))
  }
  assert.ok(getRepeatCount() <= 10, `${getRepeatCount()} repeats of 100 writes`)
})

test('no write is sent beyond the budget, and none is repeated while the process is overloaded', async () => {
  const lost = () => ({ outcome: LOST, milliseconds: TIMEOUT_MILLISECONDS })
  const limited = await createHarness({ repeatsPerSecond: 5 }).write(lost)
  assert.ok(limited.sendCount <= 15, `${limited.sendCount} sends`)
  assert.deepEqual(limited.outcome, LOST)
  assert.equal((await createHarness({ isOverloaded: true }).write(lost)).sendCount, 1)
})

test('a refusal ends the repeats, and leaves the outcome open when an earlier send has no response', async () => {
  const answers = [{ outcome: LOST, milliseconds: TIMEOUT_MILLISECONDS }, { outcome: REFUSED, milliseconds: 4 }]
  const { write } = createHarness()
  const repeated = await write(sendIndex => answers[sendIndex])
  assert.deepEqual(
    repeated, { outcome: LOST, hasUnansweredSend: true, sendCount: 2 })
  const late = [{ outcome: COMMITTED, milliseconds: 600 }, { outcome: REFUSED, milliseconds: 4 }]
  const committed = await createHarness().write(sendIndex => late[sendIndex])
  assert.deepEqual(committed, { outcome: COMMITTED, hasUnansweredSend: false, sendCount: 2 })
  const alone = await write(() => ({ outcome: REFUSED, milliseconds: 4 }))
  assert.deepEqual(alone, { outcome: REFUSED, hasUnansweredSend: false, sendCount: 1 })
})

test('a transaction none of whose sends has reached the store is known to have had no effect', async () => {
  const unsent: TransactionOutcome = { kind: 'unavailable', reason: 'timeout' }
  const { outcome, hasUnansweredSend } = await createHarness().write(
    () => ({ outcome: unsent, milliseconds: TIMEOUT_MILLISECONDS }))
  assert.deepEqual({ outcome, hasUnansweredSend }, { outcome: unsent, hasUnansweredSend: false })
})

test('a large write on a slow link is not repeated while it is being sent', async () => {
  const { write } = createHarness()
  const { sendCount } = await write(() => ({ outcome: COMMITTED, milliseconds: 1200 }), 300_000)
  assert.equal(sendCount, 1)
})
