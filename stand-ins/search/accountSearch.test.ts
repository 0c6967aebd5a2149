import assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import { AccountUsage } from '../../src/accounts/index.js'
import { UnseenRuns } from '../../src/dispatch/UnseenRuns.js'
import { getTestSeed } from '../../src/shared/testSeed.js'
import { isKnownRed } from '../../tools/demo/isKnownRed.js'
import { addAccounts, createSearchSchedule, SearchPlay } from './index.js'

/** Plays in a run of the tests, which take about a minute; `npm run search -- --accounts` plays more. */
const PLAY_COUNT = 40

/** A faulty variant must be found within this many plays. */
const VARIANT_PLAY_LIMIT = 60

/** Seeds of plays that broke a rule before. */
const REGRESSIONS = [50500170, 50500181, 50500227, 60600232]

async function findViolations (seed: number): Promise<string[]> {
  const { violations } = await SearchPlay.run(addAccounts(createSearchSchedule(seed)))
  return violations.map(violation => `seed ${seed}: ${violation}`)
}

for (const seed of REGRESSIONS) {
  const seedTitle = `no rule is broken in play ${seed} with accounts`
  test(seedTitle, { todo: isKnownRed(seedTitle) }, async () => {
    assert.deepEqual(await findViolations(seed), [])
  })
}

const title = 'no account starts tasks above its cap, and none waits below half of it, under any disruptions and faults'
test(title, { todo: isKnownRed(title) }, async () => {
  const violations: string[] = []
  for (let seed = getTestSeed(); seed < getTestSeed() + PLAY_COUNT; seed++) {
    violations.push(...await findViolations(seed))
  }
  assert.deepEqual(violations, [])
})

test('the search plays hot accounts, lowered caps and versions that follow each other quickly', () => {
  const schedules = Array.from({ length: PLAY_COUNT }, (_, index) => addAccounts(createSearchSchedule(1 + index)))
  const counts = schedules.map(({ seed, jobs }) => jobs.length - createSearchSchedule(seed).jobs.length)
  assert.ok(counts.some(count => count > 10), 'no account sends many jobs')
  const versions = schedules.flatMap(({ accountVersions }) => accountVersions)
  assert.ok(schedules.some(({ accountVersions }) => accountVersions.length > 20), 'no play has many versions')
  const isLowered = schedules.some(({ accounts, accountVersions }) => accountVersions.some(version =>
    version.accounts.some(({ cap }, index) => cap.processorsMilli < accounts![index].cap.processorsMilli / 5)))
  assert.ok(versions.length > 0 && isLowered, 'no cap is lowered')
})

/** Variants of the owner, each without a part of the caps, and the rule that the search must find broken. */
const VARIANTS: Array<{ name: string, breakOwner (): void, rule: string }> = [
  {
    name: 'caps do not limit starts',
    breakOwner: () => { mock.method(AccountUsage.prototype, 'fits', () => true) },
    rule: 'quota'
  },
  {
    name: 'runs that an earlier owner has started do not count until they are seen',
    breakOwner: () => { mock.method(UnseenRuns.prototype, 'update', () => {}) },
    rule: 'quota'
  },
  {
    name: 'runs count for their account after their end',
    breakOwner: () => { mock.method(AccountUsage.prototype, 'remove', () => {}) },
    rule: 'lost'
  }
]

for (const { name, breakOwner, rule } of VARIANTS) {
  test(`the search finds the variant in which ${name}`, async () => {
    for (let seed = getTestSeed(); seed < getTestSeed() + VARIANT_PLAY_LIMIT; seed++) {
      breakOwner()
      const found = await findViolations(seed).finally(() => mock.restoreAll())
      if (!found.some(violation => violation.includes(`: ${rule}:`))) continue
      assert.deepEqual((await findViolations(seed)).filter(violation => violation.includes(`: ${rule}:`)), [])
      return
    }
    assert.fail(`not found in ${VARIANT_PLAY_LIMIT} plays`)
  })
}
