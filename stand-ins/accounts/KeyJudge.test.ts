import assert from 'node:assert/strict'
import { test } from 'node:test'
import { KeyJudge, type AnsweredCall } from './KeyJudge.js'

/** A judge of a site that has stored one key; further keys are stored and removed by the test. */
function createJudge () {
  const judge = KeyJudge.create({ removalMilliseconds: 5000, applyMilliseconds: 4000 })
  judge.recordVersion(['other'], 0, 0)
  const store = (keys: string[], at: number) => judge.recordVersion(keys, at, at + 100)
  const call = (changes: Partial<AnsweredCall>) => {
    const { length } = judge.violations
    judge.recordAnswer({ key: 'key', instanceId: 'a', sentAt: 0, status: 200, contactSince: 0, ...changes })
    return judge.violations.length === length
  }
  return { judge, store, call }
}

test('a call with a key that was in no version must not succeed', () => {
  const { judge, call } = createJudge()
  assert.equal(call({ key: 'unknown', status: 401, sentAt: 9000 }), true)
  assert.equal(call({ key: 'unknown', status: 503, sentAt: 9000 }), true)
  assert.equal(call({ key: 'unknown' }), false)
  assert.deepEqual(judge.violations, ['route: a accepted unknown, which no version has, at 0'])
})

test('a call that is sent too long after the acknowledged removal of its key must not succeed', () => {
  const { store, call } = createJudge()
  store(['other', 'key'], 1000)
  assert.equal(call({ sentAt: 9999 }), true)
  store(['other'], 10_000)
  assert.equal(call({ sentAt: 15_100 }), true)
  assert.equal(call({ sentAt: 15_101, status: 401 }), true)
  assert.equal(call({ sentAt: 15_101 }), false)
  store(['key'], 30_000)
  assert.equal(call({ sentAt: 30_050 }), true)
})

test('a key must be accepted when it was stored long enough ago, by an instance in contact with the store', () => {
  const { store, call } = createJudge()
  store(['other', 'key'], 1000)
  assert.equal(call({ sentAt: 4999, status: 401 }), true)
  assert.equal(call({ sentAt: 5001, status: 401 }), false)
  assert.equal(call({ sentAt: 5001, status: 401, contactSince: null }), true)
  assert.equal(call({ sentAt: 6000, status: 401, contactSince: 2001 }), true)
  assert.equal(call({ sentAt: 6001, status: 401, contactSince: 2001 }), false)
  store(['other'], 10_000)
  assert.equal(call({ sentAt: 9999, status: 401 }), true)
  assert.equal(call({ key: 'other', sentAt: 10_001, status: 401 }), false)
})
