import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { PlannedSite } from '../../stand-ins/platform/PlannedSite.js'
import type { AccountResources, ClientAccount } from '../accounts/index.js'
import type { JobSubmission, RunRecord, StepSpecification } from '../jobs/index.js'
import { getTestSeed } from '../shared/testSeed.js'
import { DispatchEngine, type ListedRun, type WorkerRecord } from './index.js'

const RESOURCES = ['processorsMilli', 'memoryMegabytes', 'accelerators'] as const
const KINDS: Array<Partial<StepSpecification>> = [
  { taskCount: 20 },
  { taskCount: 20, fills: true },
  { taskCount: 4, longRunning: true },
  { taskCount: 3, gang: true },
  { taskCount: 6, accelerators: 1 },
  { taskCount: 2, processorsMilli: 7000, memoryMegabytes: 9000 }
]

function createAccount (name: string, cap: Partial<AccountResources> = {}): ClientAccount {
  return { name, keyDigests: [], weight: 1, cap: { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0, ...cap } }
}

/** Returns what the workers run of an account, whatever the state of the runs. */
function getRunning (workers: readonly WorkerRecord[], accountName: string): AccountResources {
  const runs = workers.flatMap(worker => [...worker.runs.values()])
    .filter(({ task }) => task.step.occurrence.job.submission.accountName === accountName)
  const sum = (resource: keyof AccountResources): number =>
    runs.reduce((total, { task }) => total + task.step.specification[resource], 0)
  return { processorsMilli: sum('processorsMilli'), memoryMegabytes: sum('memoryMegabytes'), accelerators: sum('accelerators') }
}

/** Plays a site with two accounts whose caps change; returns the starts that brought one above its cap. */
function playCaps (random: () => number): { excesses: string[], startCount: number } {
  const starts: RunRecord[] = []
  const excesses: string[] = []
  const site = PlannedSite.create({
    seed: Math.floor(random() * 1e9),
    workerCount: 8,
    capacity: { processorsMilli: 16_000, memoryMegabytes: 32_000, accelerators: 2 },
    getStartOutcome: run => {
      starts.push(run)
      if (random() < 0.1) return { kind: 'rejected', reason: 'test' }
      return random() < 0.1
        ? { kind: 'unknown', reason: 'test' }
        : { kind: 'accepted', workerMilliseconds: site.now }
    }
  })
  let caps: ClientAccount[] = []
  let startCount = 0
  const judge = (): void => {
    for (const { name, cap } of caps) {
      const last = starts.findLast(({ task }) => task.step.occurrence.job.submission.accountName === name)
      // A rejected start has released its room already.
      if (last === undefined || !last.task.runs.includes(last)) continue
      const running = getRunning(site.workers, name)
      for (const resource of RESOURCES) {
        const share = last.task.step.specification[resource]
        if (cap[resource] === 0 || share === 0 || running[resource] - share < cap[resource]) continue
        excesses.push(`${last.task.name} of ${name}: ${resource} ${running[resource]} above ${cap[resource]}`)
      }
    }
    startCount += starts.splice(0).length
  }
  for (let round = 0; round < 20; round++) {
    const lower = round % 5 === 4 ? 0.2 : 1
    caps = ['coop', 'utility'].map(name => createAccount(name, {
      processorsMilli: Math.ceil(random() * 40_000 * lower),
      memoryMegabytes: random() < 0.5 ? Math.ceil(random() * 40_000 * lower) : 0,
      accelerators: random() < 0.5 ? Math.ceil(random() * 4) : 0
    }))
    site.engine.setAccounts(caps)
    for (const accountName of ['coop', 'utility', undefined]) {
      const step = KINDS[Math.floor(random() * KINDS.length)]
      const processorsMilli = 500 + Math.floor(random() * 2000)
      const size = { processorsMilli, memoryMegabytes: 500, estimateMilliseconds: 300 }
      site.submit('work', [{ ...size, ...step }], accountName === undefined ? {} : { accountName })
    }
    if (round === 10) site.removeWorker(site.workers[0])
    site.advance(200, judge)
    judge()
  }
  return { excesses, startCount }
}

test('no start of any kind brings an account above its cap by a whole task, while caps fall and starts fail', () => {
  const random = createRandom(getTestSeed())
  let startCount = 0
  for (let play = 0; play < 10; play++) {
    const outcome = playCaps(random)
    assert.deepEqual(outcome.excesses, [])
    startCount += outcome.startCount
  }
  assert.ok(startCount > 1000, `${startCount} starts`)
})

/** Creates workers of four processors, the account `coop` with a cap of two, and `utility` without one. */
function createScenario (workerCount: number, epoch = 1) {
  const engine = DispatchEngine.create({ epoch })
  let now = 1000
  const workers = Array.from({ length: workerCount }, (_, index) => {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}` }))
    worker.registered = true
    return worker
  })
  engine.setAccounts([createAccount('coop', { processorsMilli: 2000 }), createAccount('utility')])
  const report = (worker: WorkerRecord, names: string[] = []): void => {
    now += 10
    const running = names.map((taskName): ListedRun =>
      ({ taskName, attempt: 1, checkpoint: '', percent: 5, usageFigure: 10 }))
    engine.applyReport(worker, { workerMilliseconds: now, bornAtMilliseconds: 1, running, ended: [] }, now - 1, now)
  }
  const add = (
    jobId: string, step: Partial<StepSpecification>, submission: Partial<JobSubmission> = {}, recovered = false
  ): void => {
    engine.jobs.add({
      submission: createSubmission([step], { jobId, accountName: 'coop', ...submission }), progress: [], recovered
    }, now)
  }
  /** Plans after some time; returns the names of the started tasks, all of which are accepted. */
  const plan = (milliseconds = 20): string[] => {
    now += milliseconds
    engine.markDirty()
    engine.plan(now, now, true)
    return engine.takeOrders().flatMap(order => {
      if (order.kind !== 'start') return []
      engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
      return [order.run.task.name]
    })
  }
  const findTask = (name: string) => engine.jobs.findTask(name, now)!
  return { engine, workers, report, add, plan, findTask, getNow: () => now }
}

test('a restart above the cap of its account reserves no worker, starts first below it, and holds up no other account', () => {
  const { engine, workers, report, add, plan, findTask, getNow } = createScenario(2)
  for (const worker of workers) report(worker)
  add('lasting', { longRunning: true })
  assert.deepEqual(plan(), ['lasting.0.0.0'])
  add('short', { taskCount: 3 })
  assert.deepEqual(plan(), ['short.0.0.0'])
  engine.setAccounts([createAccount('coop', { processorsMilli: 500 })])
  const worker = workers.find(({ runs }) => runs.has('lasting.0.0.0#1'))!
  report(worker, [...worker.runs.values()].map(({ task }) => task.name).filter(name => name !== 'lasting.0.0.0'))
  add('other', {}, { accountName: 'utility' })
  assert.deepEqual(plan(), ['other.0.0.0'])
  assert.deepEqual(workers.map(({ reservingTask }) => reservingTask), [null, null])
  assert.equal(engine.explainWaiting(findTask('lasting.0.0.0'), getNow()).reason, 'account-cap')
  assert.deepEqual(engine.findWorkerObstacles(findTask('short.0.0.1'), getNow()).counts, { 'account-cap': 2 })
  engine.setAccounts([createAccount('coop', { processorsMilli: 2000 })])
  assert.deepEqual(plan(), ['lasting.0.0.0'])
})

test('the worker that is reserved for a restart is given up when the account of the task reaches its cap', () => {
  const { engine, workers: [worker], report, add, plan } = createScenario(1)
  engine.setAccounts([createAccount('coop', { processorsMilli: 9000 })])
  report(worker)
  add('lasting', { longRunning: true, processorsMilli: 2500 })
  add('small', { processorsMilli: 500 })
  add('other', {}, { accountName: 'utility' })
  assert.equal(plan().length, 3)
  report(worker, ['small.0.0.0', 'other.0.0.0'])
  worker.entry = { ...worker.entry, capacity: { ...worker.entry.capacity, processorsMilli: 3500 } }
  assert.deepEqual(plan(), [])
  assert.equal(worker.reservingTask?.name, 'lasting.0.0.0')
  engine.setAccounts([createAccount('coop', { processorsMilli: 500 })])
  assert.deepEqual(plan(), [])
  assert.equal(worker.reservingTask, null)
})

test('a lower cap stops no run, and an account that a configuration does not have keeps its cap', () => {
  const { engine, workers: [worker], report, add, plan } = createScenario(1)
  report(worker)
  add('short', { taskCount: 3 })
  assert.equal(plan().length, 2)
  engine.setAccounts([createAccount('coop', { processorsMilli: 1000 })])
  assert.deepEqual(plan(), [])
  engine.setAccounts(null)
  assert.deepEqual(plan(), [])
  assert.equal(worker.runs.size, 2)
})

test('after a takeover, tasks that may run on a worker without a report count for the cap until it reports', () => {
  const { engine, workers: [silent, other], report, add, plan, findTask, getNow } = createScenario(2, 2)
  engine.unreconciled.add('worker-0', 20_000)
  engine.setAccounts([createAccount('coop', { processorsMilli: 2500 })])
  add('earlier', { taskCount: 2 }, {}, true)
  report(other)
  assert.deepEqual(plan(), [])
  // A further job that an earlier owner may have started counts at once.
  add('earlier-too', {}, {}, true)
  add('fresh', { taskCount: 2 })
  assert.deepEqual(plan(1), [])
  assert.equal(engine.explainWaiting(findTask('fresh.0.0.0'), getNow()).reason, 'account-cap')
  report(silent, ['earlier.0.0.0'])
  assert.equal(plan().length, 2)
})

test('after a takeover, no more counts for the cap than the workers without a report can hold', () => {
  const { engine, workers: [, other], report, add, plan } = createScenario(2, 2)
  engine.unreconciled.add('worker-0', 20_000)
  engine.setAccounts([createAccount('coop', { processorsMilli: 5000 })])
  add('earlier', { taskCount: 1000 }, {}, true)
  add('fresh', { taskCount: 2 })
  report(other)
  assert.deepEqual(plan(), ['fresh.0.0.0'])
})

test('tasks of a job that ends before all workers have reported still count for the cap', () => {
  const { engine, workers: [silent, other], report, add, plan, getNow } = createScenario(2, 2)
  engine.unreconciled.add('worker-0', 20_000)
  add('earlier', { taskCount: 2 }, {}, true)
  report(other)
  plan()
  engine.cancelJob('earlier')
  engine.jobs.confirmDurable(engine.jobs.takeChanged(9).map(segment => ({ segment, state: 'cancelled' })), getNow())
  assert.equal(engine.jobs.getJob('earlier'), undefined)
  add('fresh', {})
  assert.deepEqual(plan(200), [])
  report(silent)
  assert.deepEqual(plan(), ['fresh.0.0.0'])
})

test('runs of ended jobs count for the cap while a worker lists them', () => {
  const { engine, workers: [worker, other], report, add, plan, getNow } = createScenario(2, 2)
  engine.jobs.setFinalState('ended', 'cancelled', getNow(), 'coop')
  add('ended', { taskCount: 2 }, {}, true)
  report(worker, ['ended.0.0.0', 'ended.0.0.1', 'unknown.0.0.0'])
  report(other)
  add('fresh', {})
  assert.deepEqual(plan(), [])
  report(worker, ['ended.0.0.1'])
  assert.deepEqual(plan(), ['fresh.0.0.0'])
  assert.equal(engine.accounts.getUsage('coop').used.processorsMilli, 2000)
  report(worker)
  engine.markRemoved('worker-0')
  assert.equal(engine.accounts.getUsage('coop').used.processorsMilli, 1000)
})

test('runs of ended jobs on a worker whose lease has expired count no longer', () => {
  const { engine, workers: [worker], report, add, plan, getNow } = createScenario(1)
  engine.jobs.setFinalState('ended', 'failed', getNow(), 'coop')
  add('ended', {}, {}, true)
  report(worker, ['ended.0.0.0'])
  assert.equal(engine.accounts.getUsage('coop').used.processorsMilli, 1000)
  engine.markUnreachable(worker, getNow() + 60_000)
  plan(60_100)
  assert.equal(engine.accounts.getUsage('coop').used.processorsMilli, 0)
})
