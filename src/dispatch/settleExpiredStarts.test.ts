import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from './DispatchEngine.js'
import type { ListedCompletion, ListedRun, WorkerReport } from './WorkerProtocol.js'

const START_DEADLINE = 2800
const LATER = START_DEADLINE + 101

function createReport (fields: Partial<WorkerReport>): WorkerReport {
  return { workerMilliseconds: LATER, bornAtMilliseconds: 1, running: [], ended: [], ...fields }
}

/** Creates an engine with a worker that has responded neither to a start sent at 1000 ms nor to its stop. */
function createUncertainStart () {
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, createReport({ workerMilliseconds: 1000 }), 990, 1000)
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 1000)
  engine.plan(1000, 1000, true)
  const [order] = engine.takeOrders()
  assert.ok(order?.kind === 'start')
  const { run } = order
  run.sentAt = 1000
  run.startDeadline = START_DEADLINE
  run.openSendCount = 1
  engine.applyStartOutcome(worker, run, { kind: 'unknown', reason: 'timeout' }, 1350)
  const listed: ListedRun = { taskName: run.task.name, attempt: 1, checkpoint: '', percent: 10, usageFigure: 0 }
  return { engine, worker, run, listed }
}

test('a start without a response is over when a report after its deadline does not list its run', () => {
  const { engine, worker } = createUncertainStart()
  engine.applyReport(worker, createReport({}), 2900, 2910)
  assert.equal(worker.runs.size, 0)
})

test('a start without a response is not over while its worker may still execute it', () => {
  const { engine, worker } = createUncertainStart()
  for (const workerMilliseconds of [START_DEADLINE, LATER - 1]) {
    engine.applyReport(worker, createReport({ workerMilliseconds }), 9000, 9010)
    assert.equal(worker.runs.size, 1)
  }
})

test('a start whose run a report after its deadline lists is not over', () => {
  const { engine, worker, run, listed } = createUncertainStart()
  engine.applyReport(worker, createReport({ running: [listed] }), 2900, 2910)
  assert.deepEqual([worker.runs.size, run.startUncertain], [1, false])
})

test('a start whose run has ended by the report after its deadline counts as done', () => {
  const { engine, worker, run } = createUncertainStart()
  const ended: ListedCompletion = { number: 1, taskName: run.task.name, attempt: 1, end: 'done', checkpoint: '' }
  engine.applyReport(worker, createReport({ ended: [ended] }), 2900, 2910)
  assert.deepEqual([worker.runs.size, run.task.done], [0, true])
})

test('a start is not over when the report after its deadline lists only a part of the ends', () => {
  const { engine, worker } = createUncertainStart()
  const ended = Array.from({ length: 500 }, (_, index): ListedCompletion =>
    ({ number: index + 1, taskName: `other.0.0.${index}`, attempt: 1, end: 'done', checkpoint: '' }))
  engine.applyReport(worker, createReport({ ended }), 2900, 2910)
  assert.equal(worker.runs.size, 1)
})

test('a start that is still being sent is not over after its deadline', () => {
  const { engine, worker, run } = createUncertainStart()
  Object.assign(run, { state: 'starting', startUncertain: false })
  engine.applyReport(worker, createReport({}), 2900, 2910)
  assert.equal(worker.runs.size, 1)
})

test('a start is not over by the clock of a new incarnation, which it may still reach', () => {
  const { engine, worker } = createUncertainStart()
  for (const workerMilliseconds of [LATER, LATER + 10_000]) {
    engine.applyReport(worker, createReport({ workerMilliseconds, bornAtMilliseconds: 2 }), 9000, 9010)
    assert.equal(worker.runs.size, 1)
  }
})

test('a start that an earlier owner may have sent is not over by a clock', () => {
  const { engine, worker, run } = createUncertainStart()
  run.startDeadline = Infinity
  engine.applyReport(worker, createReport({ workerMilliseconds: Number.MAX_SAFE_INTEGER }), 9000, 9010)
  assert.equal(worker.runs.size, 1)
})
