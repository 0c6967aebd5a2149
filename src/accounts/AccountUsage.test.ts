import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AccountUsage } from './AccountUsage.js'
import type { AccountResources } from './ClientAccount.js'

const CAP = 10_000

function createUsage (): AccountUsage {
  const usage = AccountUsage.create('coop')
  usage.configure({ name: 'coop', keyDigests: [], weight: 1, cap: getResources(CAP) })
  return usage
}

function getResources (processorsMilli: number): AccountResources {
  return { processorsMilli, memoryMegabytes: 0, accelerators: 0 }
}

test('a large task does not start above the cap while the start of a small one may be executed after it', () => {
  const usage = createUsage()
  usage.add(getResources(6000), { confirmedAt: 0 })
  const small = { confirmedAt: null as number | null }
  usage.add(getResources(1000), small)
  assert.equal(usage.fits(getResources(4000)), true)
  assert.equal(usage.fits(getResources(4100)), false)
  small.confirmedAt = 1
  assert.equal(usage.fits(getResources(4100)), true)
  usage.remove(getResources(1000), small)
  assert.equal(usage.fits(getResources(20_000)), true)
})

test('nothing starts above the cap while starts of an earlier owner may be executed', () => {
  const usage = createUsage()
  usage.setUnseen(getResources(5000))
  assert.equal(usage.fits(getResources(5000)), true)
  assert.equal(usage.fits(getResources(5001)), false)
})

test('an account at its cap starts nothing, and the members of a gang count together', () => {
  const usage = createUsage()
  assert.equal(usage.fits(getResources(4000), 3), true)
  assert.equal(usage.fits(getResources(4000), 4), false)
  usage.add(getResources(10_000), { confirmedAt: 0 })
  assert.equal(usage.fits(getResources(1)), false)
  assert.equal(usage.fits(getResources(0)), true)
})
