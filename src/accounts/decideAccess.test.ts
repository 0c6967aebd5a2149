import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AccountKeys, digestKey } from './AccountKeys.js'
import type { ClientAccount } from './ClientAccount.js'
import { decideAccess, type AccessConditions } from './decideAccess.js'

const NO_CAP = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }

function createAccount (name: string, keys: string[]): ClientAccount {
  return { name, keyDigests: keys.map(digestKey), weight: 1, cap: NO_CAP }
}

const account = createAccount('coop', ['first'])
const conditions: AccessConditions = {
  areKeysRequired: true, isPublic: false, account, configurationAge: 1000, configurationAgeLimit: 4750
}

test('an unknown key does not open a queue, and a queue without accounts needs none', () => {
  assert.deepEqual(decideAccess(conditions), { kind: 'allowed', account })
  assert.deepEqual(decideAccess({ ...conditions, account: null }), { kind: 'unknown-key' })
  assert.deepEqual(decideAccess({ ...conditions, account: null, areKeysRequired: false }), { kind: 'allowed', account: null })
})

test('a key that may have been removed too long ago does not open a queue, nor does a new one get a false answer', () => {
  assert.deepEqual(decideAccess({ ...conditions, configurationAge: 4750 }), { kind: 'outdated' })
  assert.deepEqual(decideAccess({ ...conditions, configurationAge: Infinity, account: null }), { kind: 'outdated' })
  assert.deepEqual(
    decideAccess({ ...conditions, configurationAge: 1e9, configurationAgeLimit: Infinity }), { kind: 'allowed', account })
})

test('a public queue is open without a key and during an outage of the store, and names the account of a known key', () => {
  const open = { ...conditions, isPublic: true, configurationAge: Infinity }
  assert.deepEqual(decideAccess(open), { kind: 'allowed', account })
  assert.deepEqual(decideAccess({ ...open, account: null }), { kind: 'allowed', account: null })
})

test('a key that two accounts hold belongs to the first, so that the order of a configuration decides', () => {
  const keys = AccountKeys.create([account, createAccount('utility', ['first', 'second'])])
  assert.equal(keys.find('first')?.name, 'coop')
  assert.equal(keys.find('second')?.name, 'utility')
  assert.equal(keys.find('third'), null)
  assert.equal(keys.find(digestKey('first')), null)
})
