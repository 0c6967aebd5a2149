import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type WorkerReport } from './index.js'

const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }
const CERTAIN_END_MILLISECONDS = 6300

/** Creates the engine of a second owner whose only worker has not been reached. */
function createOwner () {
  const engine = DispatchEngine.create({ epoch: 2 })
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: true }, 0)
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.unreconciled.add('worker-0', CERTAIN_END_MILLISECONDS)
  const { unreached } = engine
  return {
    engine,
    worker,
    unreached,
    needsRecord: (now: number) => unreached.needsRecord(engine.unreconciled.getExpiries(), now),
    createRecord: (now: number) => unreached.createRecord(engine.unreconciled.getExpiries(), now)
  }
}

test('records the time until the leases of an unreachable worker have expired, at intervals until they have', () => {
  const { engine, worker, needsRecord, createRecord } = createOwner()
  assert.equal(needsRecord(100), false)
  engine.markUnreachable(worker, 100)
  assert.deepEqual({ ...createRecord(500) }, { 'worker-0': 5800 })
  assert.equal(needsRecord(1400), false)
  assert.equal(needsRecord(1500), true)
  engine.markUnreachable(worker, 6400)
  engine.plan(6800, 6800, true)
  assert.deepEqual({ ...createRecord(6800) }, { 'worker-0': 0 })
  assert.equal(needsRecord(20_000), false)
})

test('gives no work to a recorded worker that responds until a record without it is durable', () => {
  const { engine, worker, unreached, needsRecord, createRecord } = createOwner()
  engine.markUnreachable(worker, 100)
  createRecord(500)
  engine.applyReport(worker, EMPTY_REPORT, 600, 610)
  engine.plan(620, 620, true)
  assert.deepEqual(engine.takeOrders(), [])
  assert.equal(needsRecord(620), true)
  const record = createRecord(620)
  assert.deepEqual({ ...record }, {})
  unreached.confirmDurable(record)
  engine.markDirty()
  engine.plan(700, 700, true)
  assert.equal(engine.takeOrders().length, 1)
})

test('does not take a run of an earlier owner as over while that owner\'s lease may last', () => {
  const { engine, worker } = createOwner()
  const running = [{ taskName: 'job.0.0.0', attempt: 1, checkpoint: '', percent: 0, usageFigure: 0 }]
  engine.applyReport(worker, { ...EMPTY_REPORT, running }, 600, 610)
  engine.markUnreachable(worker, 5000)
  engine.plan(5400, 5400, true)
  assert.equal(worker.runs.size, 1)
  engine.markUnreachable(worker, 6700)
  engine.plan(7100, 7100, true)
  assert.equal(worker.runs.size, 0)
})
