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
    progress: [],
    recovered
  }, 0)
  return engine
}

function plan (engine: DispatchEngine, now: number) {
  engine.plan(now, now, true)
  return engine.takeOrders().filter((order): order is DispatchOrder & { kind: 'start' } => order.kind === 'start')
}

/** Starts a task with an uncertain start, reports it as running, and drains its worker, which stops the run. */
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

test('keeps a reported run when a repeated start of it is not sent', () => {
  const engine = createEngine({ longRunning: true })
  const { worker, run } = reportAndStopUncertainRun(engine)
  engine.applyStartOutcome(worker, run, { kind: 'not-sent', reason: 'timeout' }, 700)
  assert.deepEqual(plan(engine, 710).map(order => order.run.attempt), [])
})

test('keeps a reported run when the worker rejects a repeated start of it', () => {
  const engine = createEngine({ longRunning: true })
  const { worker, run } = reportAndStopUncertainRun(engine)
  engine.applyStartOutcome(worker, run, { kind: 'unhealthy' }, 700)
  assert.deepEqual(plan(engine, 710).map(order => order.run.attempt), [])
})

test('keeps the run of an uncertain start through a restart of its worker, even after a report without it', () => {
  const engine = createEngine({})
  const [{ worker, run }] = plan(engine, 10)
  run.sentAt = 10
  engine.applyReport(worker, EMPTY_REPORT, 20, 30)
  engine.applyStartOutcome(worker, run, { kind: 'unknown', reason: 'timeout' }, 400)
  engine.takeOrders()
  engine.applyReport(worker, { ...EMPTY_REPORT, workerMilliseconds: 10, bornAtMilliseconds: 2 }, 500, 510)
  assert.deepEqual(plan(engine, 520).map(order => order.run.attempt), [])
})

test('does not restart tasks of an earlier owner after the expiry while their worker was not called', () => {
  const engine = createEngine({}, true)
  const unresponsive = engine.setWorker({ ...ENTRY, workerId: 'worker-2' })
  engine.unreconciled.add('worker-2', 1000)
  engine.markUnreachable(unresponsive, null)
  assert.deepEqual(plan(engine, 1100).map(order => order.run.attempt), [])
})

/** Reports a run, then leaves a call sent at 2,000 ms and one after the end of the lease without a response. */
function leaveReportAwaited (step: Partial<StepSpecification>, awaitedUntil: number) {
  const engine = createEngine(step)
  const [{ worker, run }] = plan(engine, 10)
  const running = [{ taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent: 0, usageFigure: 0 }]
  engine.applyReport(worker, { ...EMPTY_REPORT, running }, 100, 110)
  worker.leaseDeadline = EMPTY_REPORT.workerMilliseconds + 6000
  engine.markUnreachable(worker, 2000, awaitedUntil)
  engine.markUnreachable(worker, 6500)
  return { engine, worker, run }
}

test('starts no short task again while a report that may list its end is awaited', () => {
  const { engine, worker, run } = leaveReportAwaited({}, 8000)
  assert.equal(plan(engine, 7900).length, 0)
  const ended = [{ number: 1, taskName: run.task.name, attempt: run.attempt, end: 'done' as const, checkpoint: '' }]
  engine.applyReport(worker, { ...EMPTY_REPORT, workerMilliseconds: 3000, ended }, 2000, 7950)
  assert.equal(plan(engine, 20_000).length, 0)
})

test('starts a short task again when an awaited report has not arrived in time', () => {
  const { engine } = leaveReportAwaited({}, 8000)
  assert.equal(plan(engine, 8000).length, 1)
})

test('starts a long-running task again after the end of the lease while a report is awaited', () => {
  const { engine } = leaveReportAwaited({ longRunning: true }, 8000)
  assert.equal(plan(engine, 7000).length, 1)
})
