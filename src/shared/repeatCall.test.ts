import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RepeatBudget } from './RepeatBudget.js'
import { repeatCall } from './repeatCall.js'
import { ResponseTimeEstimate } from './ResponseTimeEstimate.js'
import { VirtualClock } from './VirtualClock.js'

const TIMEOUT_MILLISECONDS = 350

/** Makes a call whose sends get a response only from a given one on, and returns its outcome, time and sends. */
async function play (options: { answeredFrom: number, sendLimit: number, mayRepeat?: () => boolean }) {
  const clock = VirtualClock.create()
  const sentAt: number[] = []
  const call = repeatCall({
    clock,
    send: async sendIndex => {
      sentAt.push(clock.monotonicMilliseconds())
      const isAnswered = sendIndex >= options.answeredFrom
      await new Promise<void>(resolve => { clock.setTimer(isAnswered ? 2 : TIMEOUT_MILLISECONDS, resolve) })
      return isAnswered ? `answer ${sendIndex}` : 'none'
    },
    isSettled: outcome => outcome !== 'none',
    getDelayMilliseconds: () => 100,
    mayRepeat: options.mayRepeat ?? (() => true),
    sendLimit: options.sendLimit
  }).then(outcome => ({ outcome, endedAt: clock.monotonicMilliseconds() }))
  await clock.advance(5000)
  return { ...await call, sentAt }
}

test('a call is sent once while its responses arrive in time', async () => {
  assert.deepEqual(await play({ answeredFrom: 0, sendLimit: 5 }), { outcome: 'answer 0', endedAt: 2, sentAt: [0] })
})

test('a call without a response is repeated beside its earlier sends until one gets a response', async () => {
  assert.deepEqual(
    await play({ answeredFrom: 3, sendLimit: 5 }), { outcome: 'answer 3', endedAt: 302, sentAt: [0, 100, 200, 300] })
})

test('a call ends when the last of a limited number of sends has ended without a response', async () => {
  assert.deepEqual(
    await play({ answeredFrom: 9, sendLimit: 3 }), { outcome: 'none', endedAt: 550, sentAt: [0, 100, 200] })
})

test('a call is not repeated while its budget is empty', async () => {
  assert.deepEqual(
    await play({ answeredFrom: 1, sendLimit: 3, mayRepeat: () => false }),
    { outcome: 'none', endedAt: 350, sentAt: [0] })
})

test('a response to an earlier send settles the call', async () => {
  const clock = VirtualClock.create()
  const call = repeatCall({
    clock,
    send: async sendIndex => {
      await new Promise<void>(resolve => { clock.setTimer(sendIndex === 0 ? 150 : 350, resolve) })
      return sendIndex
    },
    isSettled: sendIndex => sendIndex === 0,
    getDelayMilliseconds: () => 100,
    mayRepeat: () => true,
    sendLimit: 5
  })
  await clock.advance(150)
  assert.equal(await call, 0)
})

test('the budget limits repeats to its rate after its reserve, and allows none while the process is overloaded', async () => {
  const clock = VirtualClock.create()
  let isOverloaded = false
  const budget = RepeatBudget.create({ clock, repeatsPerSecond: 10, reserve: 5, isOverloaded: () => isOverloaded })
  const count = () => Array.from({ length: 20 }, () => budget.tryWithdraw()).filter(isAllowed => isAllowed).length
  const counts = [count()]
  await clock.advance(300)
  counts.push(count())
  await clock.advance(10_000)
  isOverloaded = true
  counts.push(count())
  isOverloaded = false
  counts.push(count())
  assert.deepEqual(counts, [5, 3, 0, 5])
})

test('the budget leaves a share of its reserve to more important repeats', () => {
  const clock = VirtualClock.create()
  const budget = RepeatBudget.create({ clock, repeatsPerSecond: 10, reserve: 10, isOverloaded: () => false })
  const count = (keptShare: number) =>
    Array.from({ length: 20 }, () => budget.tryWithdraw(keptShare)).filter(isAllowed => isAllowed).length
  assert.deepEqual([count(0.5), count(0)], [5, 5])
})

test('the estimate follows the response times within its limits', () => {
  const estimate = ResponseTimeEstimate.create({
    initialMilliseconds: 150, shortestMilliseconds: 80, longestMilliseconds: 350
  })
  const estimates = [estimate.milliseconds]
  for (let count = 0; count < 30; count++) estimate.record(2)
  estimates.push(estimate.milliseconds)
  for (let count = 0; count < 30; count++) estimate.record(120)
  assert.ok(estimate.milliseconds > 120 && estimate.milliseconds < 240)
  for (let count = 0; count < 30; count++) estimate.record(1000)
  estimates.push(estimate.milliseconds)
  assert.deepEqual(estimates, [150, 80, 350])
})
