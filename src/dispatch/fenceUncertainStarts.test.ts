import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from './DispatchEngine.js'
import { EPOCH_STEP, getFencingToken, raiseFencingToken, replaceOwnFence } from './fenceUncertainStarts.js'
import { LATE_CALL_LIMIT_MILLISECONDS } from './WorkerRecord.js'
import type { ListedCompletion, ListedRun, WorkerReport } from './WorkerProtocol.js'

const BORN = 1

function createReport (running: ListedRun[] = [], ended: ListedCompletion[] = []): WorkerReport {
  return { workerMilliseconds: 1000, bornAtMilliseconds: BORN, running, ended }
}

/** Creates an engine with a worker that has not responded to a start sent at 1000 ms. */
function createUncertainStart () {
  const engine = DispatchEngine.create({ epoch: 65 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, createReport(), 990, 1000)
  engine.jobs.add({ submission: createSubmission([{ taskCount: 1 }]), progress: [], recovered: false }, 1000)
  engine.plan(1000, 1000, true)
  const [order] = engine.takeOrders()
  assert.ok(order?.kind === 'start')
  order.run.sentAt = 1000
  engine.applyStartOutcome(worker, order.run, { kind: 'unknown', reason: 'timeout' }, 1300)
  return { engine, worker, run: order.run }
}

test('the fencing token is raised once for a start without a response, after some seconds', () => {
  const { engine, worker, run } = createUncertainStart()
  assert.deepEqual(raiseFencingToken(worker, 3999), [])
  assert.equal(getFencingToken(worker, engine.epoch), 65)
  assert.deepEqual(raiseFencingToken(worker, 4000), [run])
  assert.equal(getFencingToken(worker, engine.epoch), 66)
  assert.deepEqual(raiseFencingToken(worker, 8000), [])
  assert.equal(getFencingToken(worker, engine.epoch), 66)
})

test('a start is over only with a report to a call with the higher token', () => {
  const { engine, worker } = createUncertainStart()
  raiseFencingToken(worker, 4000)
  engine.applyReport(worker, createReport(), 3990, 4010)
  assert.equal(worker.runs.size, 1)
  engine.applyReport(worker, createReport(), 4000, 4020)
  assert.equal(worker.runs.size, 0)
})

test('a start that was executed before the higher token arrived is not over', () => {
  const { engine, worker, run } = createUncertainStart()
  raiseFencingToken(worker, 4000)
  const listed = { taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent: 10, usageFigure: 0 }
  engine.applyReport(worker, createReport([listed]), 4000, 4020)
  assert.equal(worker.runs.size, 1)
  assert.equal(run.startUncertain, false)
})

test('the end of a start that was executed before the higher token arrived counts', () => {
  const { engine, worker, run } = createUncertainStart()
  raiseFencingToken(worker, 4000)
  const ended = { number: 1, taskName: run.task.name, attempt: run.attempt, end: 'done' as const, checkpoint: '' }
  engine.applyReport(worker, createReport([], [ended]), 4000, 4020)
  assert.equal(worker.runs.size, 0)
  assert.equal(run.task.done, true)
})

test('a start that may carry the higher token is not settled by it', () => {
  const { engine, worker, run } = createUncertainStart()
  raiseFencingToken(worker, 4000)
  run.sentAt = 4000
  engine.applyReport(worker, createReport(), 4000, 4020)
  assert.equal(worker.runs.size, 1)
  assert.deepEqual(raiseFencingToken(worker, 7000), [run])
})

test('a worker whose process was replaced gets no work before it has reported to a call with a higher token', () => {
  const { engine, worker } = createUncertainStart()
  const report = { ...createReport(), bornAtMilliseconds: BORN + 1 }
  engine.applyReport(worker, report, 2000, 2010)
  assert.notEqual(worker.syncState, 'synchronized')
  raiseFencingToken(worker, 2020)
  assert.equal(getFencingToken(worker, engine.epoch), 66)
  engine.applyReport(worker, report, 2015, 2025)
  assert.notEqual(worker.syncState, 'synchronized')
  engine.applyReport(worker, report, 2020, 2030)
  assert.equal(worker.syncState, 'synchronized')
  assert.equal(worker.runs.size, 0)
})

test('the lease of a new process may last the longest time from its first report with a higher token', () => {
  const engine = DispatchEngine.create({ epoch: 65, leaseMilliseconds: 6000 })
  const worker = engine.setWorker(createWorkerEntry())
  engine.applyReport(worker, createReport(), 990, 1000)
  assert.equal(worker.leaseDeadline, 7000)
  const report = { ...createReport(), workerMilliseconds: 500, bornAtMilliseconds: BORN + 1 }
  engine.applyReport(worker, report, 2000, 2010)
  assert.equal(worker.leaseDeadline, 500 + 6000 + LATE_CALL_LIMIT_MILLISECONDS)
  raiseFencingToken(worker, 2020)
  engine.applyReport(worker, { ...report, workerMilliseconds: 540 }, 2020, 2030)
  assert.equal(worker.leaseDeadline, 6540)
})

test('the first call after a failed one carries a higher token, and so does that to a worker that is listed again', () => {
  const engine = DispatchEngine.create({ epoch: 65 })
  const first = engine.setWorker(createWorkerEntry())
  engine.applyReport(first, createReport(), 990, 1000)
  raiseFencingToken(first, 1000)
  assert.equal(getFencingToken(first, engine.epoch), 65)
  engine.markUnreachable(first, 1100)
  raiseFencingToken(first, 1500)
  raiseFencingToken(first, 1700)
  assert.equal(getFencingToken(first, engine.epoch), 66)
  engine.markRemoved(first.entry.workerId)
  engine.markUnreachable(first, 10_000)
  engine.plan(20_000, 20_000, true)
  assert.equal(engine.workers.size, 0)
  const again = engine.setWorker(createWorkerEntry())
  raiseFencingToken(again, 21_000)
  assert.equal(getFencingToken(again, engine.epoch), 67)
})

test('a response to an earlier send of a start shows no other process', () => {
  const engine = DispatchEngine.create({ epoch: 65, leaseMilliseconds: 6000 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, createReport(), 990, 1000)
  engine.jobs.add({ submission: createSubmission([{ taskCount: 1 }]), progress: [], recovered: false }, 1000)
  engine.plan(1000, 1000, true)
  const [order] = engine.takeOrders()
  assert.ok(order?.kind === 'start')
  // The first send was executed at 1010 ms on the clock of the worker, and its response overtook that of the last one.
  order.run.sentAt = 1900
  engine.applyStartOutcome(worker, order.run, { kind: 'accepted', workerMilliseconds: 1010 }, 1950)
  assert.equal(worker.syncState, 'synchronized')
})

test('a new owner needs one report of a worker that has started again since it was registered', () => {
  const engine = DispatchEngine.create({ epoch: 65, leaseMilliseconds: 6000 })
  const worker = engine.setWorker(createWorkerEntry({ bornAtMilliseconds: BORN }))
  engine.setWorker(createWorkerEntry({ bornAtMilliseconds: BORN + 1 }))
  engine.applyReport(worker, { ...createReport(), bornAtMilliseconds: BORN + 1 }, 990, 1000)
  assert.equal(worker.syncState, 'synchronized')
})

test('a start that is still being sent is not settled by a higher token', () => {
  const { engine, worker, run } = createUncertainStart()
  raiseFencingToken(worker, 4000)
  Object.assign(run, { state: 'starting', startUncertain: false })
  engine.applyReport(worker, createReport(), 4000, 4020)
  assert.equal(worker.runs.size, 1)
})

test('the fencing token of an owner stays below that of its successor', () => {
  const { engine, worker, run } = createUncertainStart()
  let now = 4000
  while (raiseFencingToken(worker, now).length > 0) {
    run.sentAt = now
    now += 3000
  }
  assert.equal(getFencingToken(worker, engine.epoch), engine.epoch + EPOCH_STEP - 1)
})

test('only a refusal of an order with the current token shows a newer owner', () => {
  const fenced = { kind: 'fenced' } as const
  assert.equal(replaceOwnFence(fenced, 65, 66).kind, 'not-sent')
  assert.equal(replaceOwnFence(fenced, 66, 66).kind, 'fenced')
})
