import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { StepSpecification } from '../jobs/index.js'
import { DispatchEngine, type DispatchOrder, type WorkerEntry, type WorkerReport } from './index.js'

const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

const ENTRY: WorkerEntry = createWorkerEntry()

function createEngine (step: Partial<StepSpecification>, recovered = false) {
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const workerId of ['worker-0', 'worker-1']) {
    const worker = engine.setWorker({ ...ENTRY, workerId })
    worker.registered = true
    engine.applyReport(worker, EMPTY_REPORT, 0, 1)
  }
  engine.jobs.add({
    submission: createSubmission([step]),
    progress: null,
    recovered
  }, 0)
  return engine
}

function plan (engine: DispatchEngine, now: number) {
  engine.plan(now, now, true)
  return engine.takeOrders().filter((order): order is DispatchOrder & { kind: 'start' } => order.kind === 'start')
}

/** Starts a task whose first try got no answer, lists it as running, and drains its worker. */
function reportAndStopUncertainRun (engine: DispatchEngine) {
  const [{ worker, run }] = plan(engine, 10)
  run.sentAt = 10
  run.startUncertain = true
  const running = [
    { taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent: 0, usageFigure: 0 }
  ]
  engine.applyReport(worker, { ...EMPTY_REPORT, running }, 400, 450)
  engine.setWorker({ ...worker.entry, state: 'draining', remainingMilliseconds: 2000 })
  engine.takeOrders()
  assert.equal(run.state, 'stopping')
  return { worker, run }
}

test('a run that a list showed is not over because a repeated start of it was not sent', () => {
  const engine = createEngine({ longRunning: true })
  const { worker, run } = reportAndStopUncertainRun(engine)
  engine.applyStartOutcome(worker, run, { kind: 'not-sent', reason: 'timeout' }, 700)
  assert.deepEqual(plan(engine, 710).map(order => order.run.attempt), [])
})

test('a run that a list showed is not over because the worker turned a repeated start of it away', () => {
  const engine = createEngine({ longRunning: true })
  const { worker, run } = reportAndStopUncertainRun(engine)
  engine.applyStartOutcome(worker, run, { kind: 'unhealthy' }, 700)
  assert.deepEqual(plan(engine, 710).map(order => order.run.attempt), [])
})

test('a start without an answer may reach the next life of its worker also when a list was answered after it', () => {
  const engine = createEngine({})
  const [{ worker, run }] = plan(engine, 10)
  run.sentAt = 10
  engine.applyReport(worker, EMPTY_REPORT, 20, 30)
  engine.applyStartOutcome(worker, run, { kind: 'unknown', reason: 'timeout' }, 400)
  engine.takeOrders()
  engine.applyReport(worker, { ...EMPTY_REPORT, workerMilliseconds: 10, bornAtMilliseconds: 2 }, 500, 510)
  assert.deepEqual(plan(engine, 520).map(order => order.run.attempt), [])
})

test('tasks of an earlier owner do not start again because time passed while their worker was not asked', () => {
  const engine = createEngine({}, true)
  const silent = engine.setWorker({ ...ENTRY, workerId: 'worker-2' })
  engine.requireReconciliation('worker-2', 1000)
  engine.markUnreachable(silent, null)
  assert.deepEqual(plan(engine, 1100).map(order => order.run.attempt), [])
})
