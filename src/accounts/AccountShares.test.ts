import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AccountShares } from './AccountShares.js'
import { AccountUsage } from './AccountUsage.js'

const CAPACITY = { processorsMilli: 100_000, memoryMegabytes: 1000, accelerators: 0 }

function createUsage (name: string, weight: number): AccountUsage {
  const usage = AccountUsage.create(name)
  usage.configure({ name, weight, keyDigests: [], cap: { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 } })
  return usage
}

test('an account leaves its share with the start that exceeds its part by weight, in processors or in memory', () => {
  const [small, large] = [createUsage('small', 1), createUsage('large', 3)]
  const shares = AccountShares.create(CAPACITY, [small, large])
  for (const usage of [small, large]) usage.add({ processorsMilli: 25_000, memoryMegabytes: 0, accelerators: 0 })
  assert.deepEqual([small, large].map(usage => shares.isWithinShare(usage)), [true, true])
  for (const usage of [small, large]) usage.add({ processorsMilli: 0, memoryMegabytes: 251, accelerators: 0 })
  assert.deepEqual([small, large].map(usage => shares.isWithinShare(usage)), [false, true])
  assert.deepEqual([small, large].map(usage => shares.getEvenShare(usage)), [0.25, 0.75])
})

test('the only account with work may use the whole site, and one that nothing was counted for is within its share', () => {
  const usage = createUsage('only', 0.5)
  usage.add({ ...CAPACITY })
  assert.ok(AccountShares.create(CAPACITY, [usage]).isWithinShare(usage))
  assert.ok(AccountShares.create({ ...CAPACITY, processorsMilli: 0, memoryMegabytes: 0 }, [])
    .isWithinShare(createUsage('idle', 1)))
})
