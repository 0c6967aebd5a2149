import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { JobSubmission, StepSpecification } from '../jobs/index.js'
import { DispatchEngine, type WorkerReport } from './index.js'

const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }
const LARGE_CAPACITY = { processorsMilli: 1_000_000, memoryMegabytes: 1_000_000, accelerators: 0 }

function createEngine (workerCount: number, capacity = LARGE_CAPACITY) {
  const engine = DispatchEngine.create({ epoch: 1 })
  for (let index = 0; index < workerCount; index++) {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}`, capacity }))
    worker.registered = true
    engine.applyReport(worker, EMPTY_REPORT, 0, 1)
  }
  return engine
}

function addJob (
  engine: DispatchEngine, jobId: string, step: Partial<StepSpecification>, submission: Partial<JobSubmission> = {}
): void {
  const job = createSubmission([step], { jobId, ...submission })
  engine.jobs.add({ submission: job, progress: [], recovered: false }, 0)
  engine.markDirty()
}

/** Plans, lets the workers accept all starts, and returns the names of the started tasks. */
function planStarts (engine: DispatchEngine, now: number, startLimit?: number): string[] {
  engine.markDirty()
  engine.plan(now, now, true, startLimit)
  return engine.takeOrders().flatMap(order => {
    if (order.kind !== 'start') return []
    engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
    return [order.run.task.name]
  })
}

/** Ends all runs on all workers, as after an outage in which the leases expired. */
function loseAllRuns (engine: DispatchEngine, now: number): void {
  for (const worker of engine.workers.values()) {
    engine.applyReport(worker, { ...EMPTY_REPORT, workerMilliseconds: now }, now, now + 1)
  }
}

function countByJob (names: string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const name of names) {
    const [jobId] = name.split('.', 1)
    counts[jobId] = (counts[jobId] ?? 0) + 1
  }
  return counts
}

test('a plan gives half of its starts to restarts and half to urgent work when more of both wait', () => {
  const engine = createEngine(4)
  addJob(engine, 'watch', { taskCount: 500, longRunning: true }, { priority: 2 })
  assert.equal(planStarts(engine, 10).length, 500)
  loseAllRuns(engine, 20)
  addJob(engine, 'urgent', { taskCount: 500 })
  assert.deepEqual(countByJob(planStarts(engine, 30, 64)), { watch: 32, urgent: 32 })
})

test('restarts get all starts of a plan that other work does not need, and the reverse', () => {
  const engine = createEngine(4)
  addJob(engine, 'watch', { taskCount: 70, longRunning: true })
  planStarts(engine, 10)
  loseAllRuns(engine, 20)
  addJob(engine, 'urgent', { taskCount: 64 })
  assert.deepEqual(countByJob(planStarts(engine, 30, 60)), { watch: 30, urgent: 30 })
  assert.deepEqual(countByJob(planStarts(engine, 40, 80)), { watch: 40, urgent: 34 })
  loseAllRuns(engine, 50)
  engine.cancelJob('urgent')
  assert.deepEqual(countByJob(planStarts(engine, 60, 64)), { watch: 64 })
})

test('plans of one start alternate between restarts and urgent work', () => {
  const engine = createEngine(4)
  addJob(engine, 'watch', { taskCount: 20, longRunning: true })
  planStarts(engine, 10)
  loseAllRuns(engine, 20)
  addJob(engine, 'urgent', { taskCount: 20 })
  const names = Array.from({ length: 20 }, (_, index) => planStarts(engine, 30 + index, 1)).flat()
  assert.deepEqual(countByJob(names), { watch: 10, urgent: 10 })
})

test('the first start of a long-running task waits for short work, its restart does not', () => {
  const engine = createEngine(1, { processorsMilli: 1000, memoryMegabytes: 16_000, accelerators: 0 })
  addJob(engine, 'watch', { longRunning: true })
  addJob(engine, 'short', {})
  assert.deepEqual(planStarts(engine, 10), ['short.0.0.0'])
  engine.cancelJob('short')
  loseAllRuns(engine, 20)
  assert.deepEqual(planStarts(engine, 30), ['watch.0.0.0'])
  addJob(engine, 'urgent', { taskCount: 2 }, { priority: -1 })
  loseAllRuns(engine, 40)
  assert.deepEqual(planStarts(engine, 50), ['watch.0.0.0'])
})

test('the task whose run ended first restarts first when a worker has room for one', () => {
  const engine = createEngine(1, { processorsMilli: 2000, memoryMegabytes: 16_000, accelerators: 0 })
  addJob(engine, 'watch', { taskCount: 2, longRunning: true })
  planStarts(engine, 10)
  const [worker] = engine.workers.values()
  const end = (number: number, index: number, now: number, other: number[]) => engine.applyReport(worker, {
    ...EMPTY_REPORT,
    running: other.map(task => ({ taskName: `watch.0.0.${task}`, attempt: 1, checkpoint: '', percent: 100, usageFigure: 1 })),
    ended: [{ number, taskName: `watch.0.0.${index}`, attempt: 1, end: 'failed', checkpoint: '' }]
  }, now, now + 1)
  end(1, 1, 20, [0])
  end(2, 0, 30, [])
  worker.reserved.processorsMilli = 1000
  assert.deepEqual(planStarts(engine, 40), ['watch.0.0.1'])
})

test('a long-running task of a cancelled job does not restart', () => {
  const engine = createEngine(1)
  addJob(engine, 'watch', { longRunning: true })
  planStarts(engine, 10)
  engine.cancelJob('watch')
  loseAllRuns(engine, 20)
  assert.deepEqual(planStarts(engine, 30), [])
})

test('a restart is placed on a paused worker only when it has waited and no other worker has room', () => {
  const engine = createEngine(2, { processorsMilli: 1000, memoryMegabytes: 16_000, accelerators: 0 })
  addJob(engine, 'watch', { longRunning: true })
  planStarts(engine, 10)
  addJob(engine, 'other', { longRunning: true })
  planStarts(engine, 20)
  const [first, second] = engine.workers.values()
  engine.applyReport(first, EMPTY_REPORT, 100, 101)
  first.quarantinedUntil = 12_000
  assert.deepEqual(planStarts(engine, 200), [])
  assert.deepEqual(planStarts(engine, 3000), [])
  assert.deepEqual(planStarts(engine, 3200), ['watch.0.0.0'])
  engine.applyReport(first, EMPTY_REPORT, 3300, 3301)
  engine.applyReport(second, EMPTY_REPORT, 3300, 3301)
  addJob(engine, 'short', {})
  assert.deepEqual(planStarts(engine, 3400), ['watch.0.0.0'])
  assert.equal(second.runs.size, 1)
  assert.deepEqual(planStarts(engine, 6000), [])
  assert.deepEqual(planStarts(engine, 6400), ['other.0.0.0'])
  assert.equal(first.runs.size, 1)
})
