import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { StepSpecification } from '../jobs/index.js'
import { DispatchEngine } from './index.js'

/** The largest number of tasks of a job. */
const WIDE_TASK_COUNT = 10_000_000
/** Processors that no worker has. */
const TOO_MANY_PROCESSORS_MILLI = 64_000
const WORKER_COUNT = 10

function createEngine () {
  const engine = DispatchEngine.create({ epoch: 1 })
  for (let index = 0; index < WORKER_COUNT; index++) {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}` }))
    worker.registered = true
    engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1)
  }
  return engine
}

function addJob (engine: DispatchEngine, jobId: string, step: Partial<StepSpecification>, repeatCount = 0): void {
  const submission = createSubmission([step], { jobId })
  engine.jobs.add({
    submission: { ...submission, specification: { ...submission.specification, repeatCount } },
    progress: [],
    recovered: false
  }, 0)
}

function countRecords (engine: DispatchEngine): number {
  const occurrences = [...engine.jobs.getJobs()].flatMap(job => [...job.occurrences.values()])
  return occurrences.length + occurrences.flatMap(({ steps }) => steps)
    .reduce((sum, { tasks }) => sum + [...tasks.getAllCreated()].length, 0)
}

function takeStarts (engine: DispatchEngine): string[] {
  engine.markDirty()
  engine.plan(10, 10, true, 64)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order.run.task.name] : [])
}

// Three such jobs filled the heap of each owner in turn, as every task had a record once its job was accepted.
test('jobs with many tasks that fit no worker have few records and delay no other job', () => {
  const engine = createEngine()
  for (let index = 0; index < 50; index++) {
    const size = { processorsMilli: TOO_MANY_PROCESSORS_MILLI }
    addJob(engine, `wide-${index}`, { taskCount: WIDE_TASK_COUNT, ...size })
    addJob(engine, `gang-${index}`, { taskCount: 100_000, gang: true, ...size })
    addJob(engine, `repeated-${index}`, { taskCount: 1, ...size }, WIDE_TASK_COUNT)
  }
  addJob(engine, 'small', {})
  assert.deepEqual(takeStarts(engine), ['small.0.0.0'])
  takeStarts(engine)
  assert.ok(countRecords(engine) < 50 * 1000)
})

test('a wide job whose tasks fit has records for those that run and for none that is done', () => {
  const engine = createEngine()
  addJob(engine, 'wide', { taskCount: WIDE_TASK_COUNT, processorsMilli: 1000, memoryMegabytes: 1 })
  const ended = new Map([...engine.workers.keys()].map(workerId => [workerId, 0]))
  let started = 0
  for (let round = 0; round < 40; round++) {
    takeStarts(engine)
    for (const worker of engine.workers.values()) {
      for (const run of [...worker.runs.values()]) {
        started++
        const number = ended.get(run.workerId)! + 1
        ended.set(run.workerId, number)
        engine.applyReport(worker, {
          workerMilliseconds: 1000,
          bornAtMilliseconds: 1,
          running: [],
          ended: [{ number, taskName: run.task.name, attempt: run.attempt, end: 'done', checkpoint: '' }]
        }, 20, 30)
      }
    }
  }
  const [{ tasks }] = engine.jobs.getJob('wide')!.occurrences.get(0)!.steps
  assert.ok(started > 1000)
  assert.equal(tasks.count - tasks.remainingCount, started)
  assert.ok(countRecords(engine) < 200)
})

// A job that had begun preceded all others until its objective, however wide it was.
test('a wide job that has begun and cannot complete in time delays no other job', () => {
  const engine = createEngine()
  addJob(engine, 'wide', { taskCount: WIDE_TASK_COUNT, processorsMilli: 4000, memoryMegabytes: 1 })
  assert.equal(takeStarts(engine).length, WORKER_COUNT)
  addJob(engine, 'small', {})
  const [worker] = engine.workers.values()
  const [run] = worker.runs.values()
  engine.applyReport(worker, {
    workerMilliseconds: 1000,
    bornAtMilliseconds: 1,
    running: [],
    ended: [{ number: 1, taskName: run.task.name, attempt: run.attempt, end: 'done', checkpoint: '' }]
  }, 20, 30)
  assert.deepEqual(takeStarts(engine), ['small.0.0.0'])
})

test('all due occurrences of a job run although few of them exist at once', () => {
  const engine = createEngine()
  addJob(engine, 'repeated', { taskCount: 1, processorsMilli: 10, memoryMegabytes: 1 }, 1000)
  const started = new Set<string>()
  for (let round = 0; round < 20; round++) for (const name of takeStarts(engine)) started.add(name)
  assert.equal(started.size, 1000)
})
