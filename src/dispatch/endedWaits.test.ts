import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { StepSpecification } from '../jobs/index.js'
import { DispatchEngine, type WorkerReport } from './index.js'

const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

/** Creates an engine with workers that have reported. */
function createEngine (workerCount: number) {
  const engine = DispatchEngine.create({ epoch: 1 })
  let now = 1000
  const workers = Array.from({ length: workerCount }, (_, index) => {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}` }))
    worker.registered = true
    engine.applyReport(worker, EMPTY_REPORT, now - 1, now)
    return worker
  })
  const submit = (jobId: string, step: Partial<StepSpecification>): void => {
    engine.jobs.add({ submission: createSubmission([step], { jobId }), progress: [], recovered: false }, now)
  }
  /** Plans after some time, and returns the names of the started tasks, all of which are accepted. */
  const plan = (): string[] => {
    now += 100
    engine.markDirty()
    engine.plan(now, now, true)
    return engine.takeOrders().flatMap(order => {
      if (order.kind !== 'start') return []
      engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
      return [order.run.task.name]
    })
  }
  /** Reports the runs of a worker, of which the given task has ended. */
  const endTask = (worker: typeof workers[number], taskName: string, end: 'done' | 'alone'): void => {
    now += 100
    const rows = [...worker.runs.values()].map(run => ({
      taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent: 5, usageFigure: 10
    }))
    engine.applyReport(worker, {
      ...EMPTY_REPORT,
      running: rows.filter(row => row.taskName !== taskName),
      ended: rows.filter(row => row.taskName === taskName)
        .map(row => ({ ...row, end, number: worker.appliedCompletion + 1 }))
    }, now - 1, now)
  }
  const getReason = (taskName: string): string =>
    engine.explainWaiting(engine.jobs.findTask(taskName, now)!, now).reason
  const getObstacles = (taskName: string) =>
    engine.findWorkerObstacles(engine.jobs.findTask(taskName, now)!, now).counts
  const advance = (): number => { now += 100; return now }
  return { engine, workers, submit, plan, endTask, getReason, getObstacles, advance }
}

test('a task waits for a worker that lists a run without a job until a report does not list it', () => {
  const { engine, workers: [worker], submit, plan, getReason, getObstacles, advance } = createEngine(1)
  const running = [{ taskName: 'gone.0.0.0', attempt: 1, checkpoint: '', percent: 5, usageFigure: 10 }]
  const listedAt = advance()
  engine.applyReport(worker, { ...EMPTY_REPORT, running }, listedAt - 1, listedAt)
  submit('short', {})
  assert.deepEqual(plan(), [])
  assert.equal(getReason('short.0.0.0'), 'workers-paused')
  assert.deepEqual(getObstacles('short.0.0.0'), { 'runs-without-job': 1 })
  const reportedAt = advance()
  engine.applyReport(worker, EMPTY_REPORT, reportedAt - 1, reportedAt)
  assert.deepEqual(plan(), ['short.0.0.0'])
})

test('a best-effort task waits for unused processors until another one ends', () => {
  const { workers: [worker], submit, plan, endTask, getReason, getObstacles } = createEngine(1)
  submit('first', { fills: true, processorsMilli: 4000 })
  assert.deepEqual(plan(), ['first.0.0.0'])
  submit('second', { fills: true, processorsMilli: 4000 })
  assert.deepEqual(plan(), [])
  assert.equal(getReason('second.0.0.0'), 'no-free-capacity')
  assert.deepEqual(getObstacles('second.0.0.0'), { 'no-unused-processors': 1 })
  endTask(worker, 'first.0.0.0', 'done')
  assert.deepEqual(plan(), ['second.0.0.0'])
})

test('a task waits for the limit per worker until another one of its step ends', () => {
  const { workers: [worker], submit, plan, endTask, getReason, getObstacles } = createEngine(1)
  submit('apart', { taskCount: 2, maximumPerWorker: 1 })
  assert.deepEqual(plan(), ['apart.0.0.0'])
  assert.deepEqual(plan(), [])
  assert.equal(getReason('apart.0.0.1'), 'limit-per-worker')
  assert.deepEqual(getObstacles('apart.0.0.1'), { 'limit-per-worker': 1 })
  endTask(worker, 'apart.0.0.0', 'done')
  assert.deepEqual(plan(), ['apart.0.0.1'])
})

test('a gang waits until the runs of all its members are over, and then starts as a whole', () => {
  const { workers, submit, plan, endTask, getReason } = createEngine(2)
  submit('gang', { taskCount: 2, gang: true, processorsMilli: 3000 })
  assert.deepEqual(plan(), ['gang.0.0.0', 'gang.0.0.1'])
  const [first, second] = ['gang.0.0.0', 'gang.0.0.1'].map(name =>
    ({ name, worker: workers.find(({ runs }) => [...runs.values()].some(({ task }) => task.name === name))! }))
  endTask(first.worker, first.name, 'alone')
  assert.deepEqual(plan(), [])
  assert.equal(getReason(first.name), 'gang-not-over')
  endTask(second.worker, second.name, 'alone')
  assert.deepEqual(plan(), ['gang.0.0.0', 'gang.0.0.1'])
})
