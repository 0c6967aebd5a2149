import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import { ByteBudget } from './ByteBudget.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'
import { RetryBudget } from './RetryBudget.js'

const parameters = { seed: getTestSeed(), numRuns: 300, includeErrorInReport: true }

/** Plays first attempts and retries and checks the share after each. */
function checkRetryShare (createBudget: () => Pick<RetryBudget, 'deposit' | 'tryWithdraw'>): void {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.boolean(), { maxLength: 300 }), steps => {
    const budget = createBudget()
    let attempts = 0
    let retries = 0
    for (const isRetry of steps) {
      if (!isRetry) {
        attempts++
        budget.deposit()
      } else if (budget.tryWithdraw()) {
        retries++
      }
      assert.ok(retries <= 3 + attempts * 0.1 + 1e-9, `${retries} retries after ${attempts} attempts`)
    }
  }), parameters)
}

test('retries stay within the reserve and the share of first attempts', () => {
  checkRetryShare(() => RetryBudget.create({ ratio: 0.1, reserve: 3 }))
})

test('the proof catches a budget that allows every retry', () => {
  assert.throws(() => checkRetryShare(() => ({ deposit: () => {}, tryWithdraw: () => true })), /retries after/)
})

function checkByteRate (createBudget: () => Pick<ByteBudget, 'trySpend'>): void {
  const spendings = fastCheck.array(
    fastCheck.record({
      bytes: fastCheck.integer({ min: 1, max: 500 }), pause: fastCheck.integer({ min: 0, max: 300 })
    }))
  fastCheck.assert(fastCheck.property(spendings, list => {
    const budget = createBudget()
    let now = 0
    let spent = 0
    for (const { bytes, pause } of list) {
      now += pause
      if (budget.trySpend(bytes, now)) spent += bytes
      assert.ok(spent <= 1000 + now + 1e-6, `${spent} bytes after ${now} ms`)
    }
  }), parameters)
}

test('bytes over a link stay within the burst and the rate', () => {
  checkByteRate(() => ByteBudget.create({ bytesPerSecond: 1000, burstSeconds: 1 }))
})

test('the proof catches a budget that starts anew after each pause', () => {
  assert.throws(() => checkByteRate(() => ({
    trySpend: (bytes, now) => ByteBudget.create({ bytesPerSecond: 1000, burstSeconds: 1 }).trySpend(bytes, now)
  })), /bytes after/)
})

test('a concurrency limit counts uses through changes of the limit, and a release too many is a broken invariant', () => {
  const limit = ConcurrencyLimit.create({ limit: 2 })
  assert.deepEqual([limit.tryAcquire(), limit.tryAcquire(), limit.tryAcquire()], [true, true, false])
  limit.setLimit(1)
  limit.release()
  assert.equal(limit.tryAcquire(), false)
  limit.release()
  assert.equal(limit.tryAcquire(), true)
  limit.release()
  assert.throws(() => limit.release())
})
