import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PlannedSite } from '../../stand-ins/platform/PlannedSite.js'
import type { ClientAccount } from '../accounts/index.js'

const NO_CAP = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }
const ACCOUNTS = ['hot', 'calm', 'quiet'].map((name): ClientAccount =>
  ({ name, keyDigests: [], weight: 1, cap: NO_CAP }))
const JOB = { taskCount: 4, processorsMilli: 1000, memoryMegabytes: 100, estimateMilliseconds: 500 }
const SENDING_MILLISECONDS = 8000
/** The last jobs have their objective after the end of the sending. */
const PLAY_MILLISECONDS = 10_500
const STEP_MILLISECONDS = 100

/**
 * Plays a site in which `hot` sends six times the rate of the others and alone more than the site can run.
 * @returns The jobs of each account that ended within their objective, and those that were sent.
 */
function playHotAccount (accounts: ClientAccount[] | null): Map<string, { sent: number, inTime: number }> {
  const capacity = { processorsMilli: 8000, memoryMegabytes: 16_000, accelerators: 0 }
  const site = PlannedSite.create({ seed: 1, workerCount: 4, capacity })
  site.engine.setAccounts(accounts)
  const counts = new Map(ACCOUNTS.map(({ name }) => [name, { sent: 0, inTime: 0 }]))
  const open = new Map<string, { accountName: string, deadline: number }>()
  let jobCount = 0
  for (let elapsed = 0; elapsed < PLAY_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
    for (const { name: accountName } of ACCOUNTS) {
      if (elapsed >= SENDING_MILLISECONDS) break
      const rate = accountName === 'hot' ? 3 : (elapsed / STEP_MILLISECONDS) % 2
      for (let index = 0; index < rate; index++) {
        site.submit(accountName, [JOB], { accountName })
        open.set(`${accountName}-${jobCount++}`, { accountName, deadline: site.now + 2 * 1.6 * 500 + 400 })
        counts.get(accountName)!.sent++
      }
    }
    site.advance(STEP_MILLISECONDS)
    for (const [jobId, { accountName, deadline }] of open) {
      if (site.engine.jobs.getState(jobId) !== 'completed') continue
      open.delete(jobId)
      if (site.now <= deadline) counts.get(accountName)!.inTime++
    }
  }
  return counts
}

test('an account that sends six times as much as others delays itself and not them, on a full site', () => {
  const getShare = (accounts: ClientAccount[] | null, name: string): number => {
    const { sent, inTime } = playHotAccount(accounts).get(name)!
    return inTime / sent
  }
  for (const name of ['calm', 'quiet']) {
    const share = getShare(ACCOUNTS, name)
    assert.ok(share > 0.9, `${share} of the jobs of ${name} in time`)
    // The play shows nothing unless the same load delays them on a site without accounts.
    const shareWithout = getShare(null, name)
    assert.ok(shareWithout < 0.7, `${shareWithout} of the jobs of ${name} in time without accounts`)
  }
  assert.ok(playHotAccount(ACCOUNTS).get('hot')!.inTime > 50)
})

/** Returns the account of each start, in order, on a site with room for eight tasks. */
function getStartOrder (prepare: (site: PlannedSite) => void): string[] {
  const started: string[] = []
  const site = PlannedSite.create({
    seed: 1,
    workerCount: 1,
    capacity: { processorsMilli: 8000, memoryMegabytes: 16_000, accelerators: 0 },
    getStartOutcome: ({ task }) => {
      started.push(task.step.occurrence.job.submission.accountName ?? '-')
      return { kind: 'accepted', workerMilliseconds: site.now }
    }
  })
  site.engine.setAccounts(ACCOUNTS)
  prepare(site)
  site.advance(20)
  return started
}

test('late jobs within the share of their account come before jobs in time above one, which get what is left', () => {
  const order = getStartOrder(site => {
    for (let index = 0; index < 8; index++) site.submit('hot', [{ ...JOB, taskCount: 1 }], { accountName: 'hot' })
    site.submit('calm', [{ ...JOB, taskCount: 2 }], { accountName: 'calm', acceptedAtMilliseconds: -2500 })
  })
  // With two active accounts, half of the site is the share of each.
  assert.equal(order.slice(0, 7).filter(name => name === 'calm').length, 2)
  assert.equal(order.length, 8)
})

test('within a priority, jobs that have begun keep their place, and a higher priority comes first', () => {
  const order = getStartOrder(site => {
    site.submit('hot', [{ ...JOB, taskCount: 7 }], { accountName: 'hot' })
    site.submit('calm', [{ ...JOB, taskCount: 7 }], { accountName: 'calm', priority: 1 })
  })
  assert.deepEqual(order, ['hot', 'hot', 'hot', 'hot', 'hot', 'hot', 'hot', 'calm'])
})

test('jobs without an account count as one account', () => {
  const order = getStartOrder(site => {
    for (let index = 0; index < 10; index++) site.submit('none', [{ ...JOB, taskCount: 1 }])
    for (let index = 0; index < 3; index++) site.submit('calm', [{ ...JOB, taskCount: 1 }], { accountName: 'calm' })
  })
  assert.equal(order.filter(name => name === 'calm').length, 3)
})
