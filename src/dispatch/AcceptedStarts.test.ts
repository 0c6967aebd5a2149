import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type OrderOutcome } from './index.js'

const START_LIMIT = 64

/** Creates an engine with one full worker and more tasks than fit, and starts those that do. */
function createFullSite () {
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry({}))
  worker.registered = true
  engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1)
  engine.jobs.add({ submission: createSubmission([{ taskCount: 8 }]), progress: [], recovered: false }, 1)
  engine.plan(2, 2, true, START_LIMIT)
  const runs = engine.takeOrders().flatMap(order => order.kind === 'start' ? [order.run] : [])
  return { engine, worker, runs }
}

/** Returns whether the next plan looks for waiting tasks. */
function looksForTasks (engine: DispatchEngine, now: number): boolean {
  const { jobs } = engine
  const getJobs = jobs.getJobs.bind(jobs)
  let isAsked = false
  jobs.getJobs = () => {
    isAsked = true
    return getJobs()
  }
  engine.plan(now, now, true, START_LIMIT)
  jobs.getJobs = getJobs
  return isAsked
}

// An owner of a quarter of a core planned after each accepted start, which delayed the starts that followed.
test('accepted starts cause no plan just after another one, as they free no capacity', () => {
  const { engine, worker, runs } = createFullSite()
  assert.equal(runs.length, 4)
  for (const run of runs) engine.applyStartOutcome(worker, run, { kind: 'accepted', workerMilliseconds: 1001 }, 3)
  assert.equal(looksForTasks(engine, 10), false)
  assert.equal(looksForTasks(engine, 60), true)
  assert.equal(looksForTasks(engine, 120), false)
})

for (const outcome of [
  { kind: 'unhealthy' }, { kind: 'rejected', reason: 'room' }, { kind: 'not-sent', reason: 'closed' },
  { kind: 'unknown', reason: 'timeout' }
] satisfies OrderOutcome[]) {
  test(`a start with the outcome "${outcome.kind}" causes a plan`, () => {
    const { engine, worker, runs } = createFullSite()
    engine.applyStartOutcome(worker, runs[0], outcome, 3)
    assert.equal(looksForTasks(engine, 3), true)
  })
}

test('a plan that had to leave tasks for want of orders is followed by another one after an accepted start', () => {
  const { engine, worker, runs } = createFullSite()
  engine.markDirty()
  const ended = runs.map((run, index) =>
    ({ number: index + 1, taskName: run.task.name, attempt: run.attempt, end: 'done' as const, checkpoint: '' }))
  engine.applyReport(worker, { workerMilliseconds: 1002, bornAtMilliseconds: 1, running: [], ended }, 3, 4)
  engine.plan(4, 4, true, 1)
  const [order] = engine.takeOrders()
  assert.equal(order?.kind, 'start')
  if (order.kind !== 'start') return
  engine.applyStartOutcome(worker, order.run, { kind: 'accepted', workerMilliseconds: 1003 }, 5)
  engine.plan(5, 5, true, START_LIMIT)
  assert.equal(engine.takeOrders().length, 3)
})
