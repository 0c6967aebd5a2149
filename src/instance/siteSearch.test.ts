import assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import {
  addRestartFaults, addSiteWideFaults, createSearchSchedule, SEARCH_JOB_KINDS, SearchPlay
} from '../../stand-ins/search/index.js'
import { SITE_FAULT_KINDS, SITE_WIDE_FAULT_KINDS } from '../../stand-ins/platform/SiteFaults.js'
import { UnreconciledWorkers } from '../dispatch/UnreconciledWorkers.js'
import { DispatchEngine } from '../dispatch/index.js'
import { JobTable } from '../dispatch/JobTable.js'
import { StepTasks } from '../jobs/StepTasks.js'
import { isKnownRed } from '../../tools/demo/isKnownRed.js'
import { getTestSeed } from '../shared/testSeed.js'
import { JobRowReader } from './JobRowReader.js'

/** Plays in a run of the tests; `npm run search` plays thousands. */
const PLAY_COUNT = 300
/** A faulty variant must be found within this many plays. */
const VARIANT_PLAY_LIMIT = 60

/** Seeds of plays that broke a rule before, each with the cause. */
const REGRESSIONS: ReadonlyArray<{ seed: number, cause: string }> = [
  { seed: 100577, cause: 'a job that fails wherever it runs paused workers, and tasks waited for the end of the pauses' },
  { seed: 100231, cause: 'best-effort tasks that interfere everywhere waited while workers did not respond' },
  { seed: 100787, cause: 'best-effort tasks that interfere everywhere waited for the load of serving tasks to change' },
  { seed: 101051, cause: 'long-running tasks waited for paused workers, because most of the service was in use' },
  { seed: 102046, cause: 'a start and its stops got no response, while reports renewed the lease of the worker' },
  { seed: 503305, cause: 'best-effort tasks waited for processors that those of other jobs asked for, without any fault' },
  { seed: 503442, cause: 'long-running tasks tried workers that refuse starts in each plan, and kept room from others' },
  { seed: 300062, cause: 'an earlier owner started a task again that the new owner had seen running elsewhere (TWICE)' },
  { seed: 504702, cause: 'starts, their stops and the reports that settle them got no response from a worker (LOST)' },
  { seed: 15487643, cause: 'a start and its stop got no response, and only a raised fencing token settled it (LOST)' },
  { seed: 86028591, cause: 'starts without a response waited for the next report of workers that are rarely reached (LOST)' },
  { seed: 100459, cause: 'starts of a job without a response were settled one after another, 4 s each (LOST)' },
  { seed: 400349, cause: 'starts of long-running tasks without a response were settled one after another (LOST)' },
  { seed: 500710, cause: 'starts of a step without a response were settled one after another (LOST)' },
  { seed: 101864, cause: 'starts were carried out later than their stops, and their task waited after each (LOST)' },
  { seed: 32453671, cause: 'renewals extended leases to the latest end of the leases of an earlier owner (TWICE)' },
  { seed: 32453831, cause: 'renewals extended leases to the latest end of the leases of an earlier owner (TWICE)' },
  { seed: 7368793816, cause: 'a long-running task without a record waited while the restarts of its step did' },
  { seed: 403460, cause: 'a job whose completion was lost with its worker was judged, without a worker that can run it' },
  { seed: 611004340, cause: 'a job whose completion was lost with its worker was judged, without an accelerator' },
  { seed: 7368788303, cause: 'a best-effort job whose completions were lost was judged, in a service mostly in use' },
  { seed: 7368793463, cause: 'a best-effort job whose completions were lost was judged, in a service mostly in use' },
  { seed: 403459, cause: 'a renewal granted a lease that ended when those of earlier owners might (TWICE)' },
  { seed: 403593, cause: 'a renewal granted a lease that ended when those of earlier owners might (TWICE)' },
  { seed: 7368800772, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' },
  { seed: 7368801394, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' },
  { seed: 7368801814, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' },
  { seed: 7368801995, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' },
  { seed: 7368802601, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' },
  { seed: 7368803805, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' }
]

/** Plays with faults of all workers or of the store in a run of the tests; `npm run search` plays more. */
const SITE_WIDE_PLAY_COUNT = 100
/** Seeds of such plays that broke a rule before. */
const SITE_WIDE_REGRESSIONS = [2, 8, 13, 15, 22, 27, 28, 47, 50, 60, 61, 62, 66, 69, 70, 72, 77, 93, 1411]

/** Seeds of plays with restarts of workers and late calls that broke a rule before. */
const RESTART_REGRESSIONS: ReadonlyArray<{ seed: number, cause: string }> = [
  { seed: 9, cause: 'a renewal for an earlier process extended the lease of a later one (TWICE)' },
  { seed: 13, cause: 'a renewal for an earlier process extended the lease of a later one (TWICE)' },
  { seed: 4, cause: 'a renewal for an earlier process extended the lease of a later one (TWICE)' },
  { seed: 12, cause: 'a renewal for an earlier process extended the lease of a later one (TWICE)' },
  { seed: 116, cause: 'a renewal for an earlier process extended the lease of a later one (TWICE)' },
  { seed: 139, cause: 'a renewal for an earlier process extended the lease of a later one (TWICE)' },
  { seed: 122, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' },
  { seed: 21, cause: 'a later process of a worker executed a start for an earlier one (TWICE)' },
  { seed: 1142, cause: 'a later process executed a start for an earlier one beside a run of its step (ROUTE)' }
]
/** Plays with restarts of workers and late calls in a run of the tests; `npm run search -- --restarts` plays more. */
const RESTART_PLAY_COUNT = 100

async function findViolations (seed: number): Promise<string[]> {
  const { violations } = await SearchPlay.run(createSearchSchedule(seed))
  return violations.map(violation => `seed ${seed}: ${violation}`)
}

/** Returns the violations of so many plays from the seed of the tests on. */
async function findAllViolations (count: number, find: (seed: number) => Promise<string[]>): Promise<string[]> {
  const violations: string[] = []
  for (let index = 0; index < count; index++) violations.push(...await find(getTestSeed() + index))
  return violations
}

for (const { seed, cause } of REGRESSIONS) {
  const seedTitle = `no rule is broken in play ${seed}: ${cause}`
  test(seedTitle, { todo: isKnownRed(seedTitle) }, async () => {
    assert.deepEqual(await findViolations(seed), [])
  })
}

const title = 'no accepted job is lost and no rule is broken under any kinds of jobs and faults'
test(title, { todo: isKnownRed(title) }, async () => {
  assert.deepEqual(await findAllViolations(PLAY_COUNT, findViolations), [])
})

async function findSiteWideViolations (seed: number): Promise<string[]> {
  const { violations } = await SearchPlay.run(addSiteWideFaults(createSearchSchedule(seed)))
  return violations.map(violation => `seed ${seed}: ${violation}`)
}

for (const seed of SITE_WIDE_REGRESSIONS) {
  const seedTitle = `no accepted job is lost in play ${seed} with faults of all workers or of the store`
  test(seedTitle, { todo: isKnownRed(seedTitle) }, async () => {
    assert.deepEqual(await findSiteWideViolations(seed), [])
  })
}

const siteWideTitle = 'no accepted job is lost and no rule is broken under faults of all workers or of the store'
test(siteWideTitle, { todo: isKnownRed(siteWideTitle) }, async () => {
  assert.deepEqual(await findAllViolations(SITE_WIDE_PLAY_COUNT, seed => findSiteWideViolations(seed)), [])
})

async function findRestartViolations (seed: number, lateCalls?: 'reports'): Promise<string[]> {
  const { violations } = await SearchPlay.run(addRestartFaults(createSearchSchedule(seed), lateCalls))
  return violations.map(violation => `seed ${seed}: ${violation}`)
}

for (const { seed, cause } of RESTART_REGRESSIONS) {
  const seedTitle = `no rule is broken in play ${seed} with workers that start again: ${cause}`
  test(seedTitle, { todo: isKnownRed(seedTitle) }, async () => {
    assert.deepEqual(await findRestartViolations(seed), [])
  })
}

const restartTitle = 'no rule is broken while workers start again under their IDs and calls are executed late'
test(restartTitle, { todo: isKnownRed(restartTitle) }, async () => {
  assert.deepEqual(await findAllViolations(RESTART_PLAY_COUNT, seed => findRestartViolations(seed)), [])
})

const renewalTitle = 'no rule is broken while workers start again under their IDs and renewals are executed late'
test(renewalTitle, { todo: isKnownRed(renewalTitle) }, async () => {
  assert.deepEqual(await findAllViolations(RESTART_PLAY_COUNT, seed => findRestartViolations(seed, 'reports')), [])
})

test('a search plays all kinds of jobs and of faults', () => {
  const schedules = Array.from({ length: PLAY_COUNT }, (_, index) => createSearchSchedule(getTestSeed() + index))
    .flatMap(schedule => [addSiteWideFaults(schedule), addRestartFaults(schedule)])
  const jobKinds = new Set(schedules.flatMap(({ jobs }) => jobs.map(({ kind }) => kind)))
  const faultKinds = new Set(schedules.flatMap(({ faults }) => faults.map(({ kind }) => kind)))
  assert.deepEqual([...jobKinds].sort(), [...SEARCH_JOB_KINDS].sort())
  assert.deepEqual([...faultKinds].sort(), [...SITE_FAULT_KINDS].sort())
})

test('each kind of fault of all workers or of the store lasts to the end of some play', () => {
  const schedules = Array.from({ length: SITE_WIDE_PLAY_COUNT }, (_, index) =>
    addSiteWideFaults(createSearchSchedule(getTestSeed() + index)))
  const kinds = new Set(schedules.flatMap(({ lasting }) => lasting.map(({ kind }) => kind)))
  assert.deepEqual(SITE_WIDE_FAULT_KINDS.filter(kind => !kinds.has(kind)), [])
})

/** Variants of the owner, each with one event left out, and the rule that the search must find broken. */
const VARIANTS: Array<{ name: string, breakOwner (): void, rule: string }> = [
  {
    name: 'workers of earlier owners are awaited without end',
    breakOwner: () => { mock.method(UnreconciledWorkers.prototype, 'expire', () => {}) },
    rule: 'lost'
  },
  {
    name: 'tasks do not wait for workers of earlier owners',
    breakOwner: () => { mock.method(UnreconciledWorkers.prototype, 'mayRun', () => false) },
    rule: 'twice'
  },
  {
    name: 'neither the answer to a stop, a raised fencing token nor a deadline settles a start',
    breakOwner: () => {
      mock.method(DispatchEngine.prototype, 'applyStopOutcome', () => {})
      mock.method(DispatchEngine.prototype as unknown as { settleUncertainStarts (): void }, 'settleUncertainStarts', () => {})
    },
    rule: 'lost'
  },
  {
    name: 'some jobs that are stored after the load are not read',
    breakOwner: () => {
      const { add } = JobRowReader.prototype
      mock.method(JobRowReader.prototype, 'add', function (this: JobRowReader, ...[rows, recovered]: Parameters<typeof add>) {
        add.call(this, rows.filter(({ key }) => !key.endsWith('7')), recovered)
      })
    },
    rule: 'lost'
  },
  {
    name: 'the end of the last task of a job is not noted',
    breakOwner: () => {
      mock.method(JobTable.prototype as unknown as { finishIfComplete (): void }, 'finishIfComplete', () => {})
    },
    rule: 'state'
  },
  {
    name: 'the ends of some tasks are acknowledged and not noted',
    breakOwner: () => {
      const { markDone } = StepTasks.prototype
      mock.method(StepTasks.prototype, 'markDone', function (this: StepTasks, index: number) {
        if (index !== 0) markDone.call(this, index)
      })
    },
    rule: 'state'
  }
]

async function isBroken (seed: number, rule: string): Promise<boolean> {
  return (await findViolations(seed)).some(violation => violation.includes(`: ${rule}:`))
}

for (const { name, breakOwner, rule } of VARIANTS) {
  test(`the search finds the variant in which ${name}`, async () => {
    for (let index = 0; index < VARIANT_PLAY_LIMIT; index++) {
      breakOwner()
      const isFound = await isBroken(getTestSeed() + index, rule)
      mock.restoreAll()
      if (isFound && !await isBroken(getTestSeed() + index, rule)) return
    }
    assert.fail(`not found in ${VARIANT_PLAY_LIMIT} plays`)
  })
}
