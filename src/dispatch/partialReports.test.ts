import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type ListedCompletion, type WorkerRecord, type WorkerReport } from './index.js'

const LISTED_END_LIMIT = 500
const EARLIER_LEASES_END_AT = 6300
const LEASE_MILLISECONDS = 6000

function createReport (fields: Partial<WorkerReport> = {}): WorkerReport {
  return { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [], ...fields }
}

/** Creates the ends of the tasks of a job in turn, beginning with the given number. */
function createEnds (jobId: string, count: number, firstNumber = 1): ListedCompletion[] {
  return Array.from({ length: count }, (_, index) => {
    const number = firstNumber + index
    return { number, taskName: `${jobId}.0.0.${number - 1}`, attempt: 1, end: 'done', checkpoint: '' }
  })
}

/** Creates the second owner of a job, whose tasks may all have run on the first worker; the other one is idle. */
function createOwner (taskCount: number): { engine: DispatchEngine, worker: WorkerRecord } {
  const engine = DispatchEngine.create({ epoch: 2, leaseMilliseconds: LEASE_MILLISECONDS })
  engine.jobs.add({
    submission: createSubmission([{ taskCount, processorsMilli: 1 }]), progress: [], recovered: true
  }, 0)
  const [worker, idleWorker] = ['worker-0', 'worker-1'].map(workerId => engine.setWorker(createWorkerEntry({ workerId })))
  for (const { entry: { workerId } } of [worker, idleWorker]) engine.unreconciled.add(workerId, EARLIER_LEASES_END_AT)
  worker.registered = true
  idleWorker.registered = true
  engine.applyReport(idleWorker, createReport(), 5, 15)
  return { engine, worker }
}

function planTasks (engine: DispatchEngine, now: number): string[] {
  engine.plan(now, now, true)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order.run.task.name] : [])
}

// TWICE: a new owner started tasks again whose ends the worker had not listed yet.
test('a worker whose report lists only a part of its ends may still hold runs of earlier owners', () => {
  const { engine, worker } = createOwner(503)
  engine.applyReport(worker, createReport({ ended: createEnds('job', LISTED_END_LIMIT) }), 10, 20)
  assert.deepEqual(planTasks(engine, 30), [])
  engine.applyReport(worker, createReport({ ended: createEnds('job', 2, LISTED_END_LIMIT + 1) }), 40, 50)
  assert.deepEqual(planTasks(engine, 60), ['job.0.0.502'])
})

// TWICE: the time limit for silent workers must not count for one whose lease this owner has renewed.
test('a worker with ends to list that stops responding is waited for until the lease of this owner has expired', () => {
  const { engine, worker } = createOwner(501)
  engine.applyReport(worker, createReport({ ended: createEnds('job', LISTED_END_LIMIT) }), 10, 20)
  worker.leaseDeadline = 12_000
  engine.markUnreachable(worker, EARLIER_LEASES_END_AT + 100)
  assert.deepEqual(planTasks(engine, 9000), [])
  engine.markUnreachable(worker, 12_500)
  assert.deepEqual(planTasks(engine, 15_000), ['job.0.0.500'])
})

test('a new process of a worker that had ends to list is reconciled by its first whole list', () => {
  const { engine, worker } = createOwner(501)
  engine.applyReport(worker, createReport({ ended: createEnds('job', LISTED_END_LIMIT) }), 10, 20)
  engine.applyReport(worker, createReport({ bornAtMilliseconds: 2 }), 40, 50)
  assert.equal(engine.unreconciled.isEmpty, true)
})

// LIMIT: the capacity of a run without a job is free only when its end is listed.
test('a run without a job is not over by a report that lists only a part of the ends', () => {
  const { engine, worker } = createOwner(1)
  const running = [{ taskName: 'other.0.0.0', attempt: 1, checkpoint: '', percent: 10, usageFigure: 0 }]
  engine.applyReport(worker, createReport({ running }), 10, 20)
  engine.applyReport(worker, createReport({ ended: createEnds('other', LISTED_END_LIMIT) }), 30, 40)
  assert.equal(worker.orphanedRuns.size, 1)
  engine.applyReport(worker, createReport({ ended: createEnds('other', 1, LISTED_END_LIMIT + 1) }), 50, 60)
  assert.equal(worker.orphanedRuns.size, 0)
})
