import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from './DispatchEngine.js'

const ESTIMATE_MILLISECONDS = 100
const TASK_COUNT = 20

/** Runs all tasks of a job for three times their estimate, reported by an engine that has started them or not. */
function learn (isStarted: boolean): number {
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry({ workerId: 'worker' }))
  worker.registered = true
  const submission = createSubmission([
    { taskCount: TASK_COUNT, estimateMilliseconds: ESTIMATE_MILLISECONDS, memoryMegabytes: 1, processorsMilli: 1 }
  ])
  engine.jobs.add({ submission, progress: [], recovered: false }, 0)
  engine.applyReport(worker, { workerMilliseconds: 0, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 0)
  const tasks = Array.from({ length: TASK_COUNT }, (_, index) => ({ taskName: `job.0.0.${index}`, attempt: 1 }))
  if (isStarted) {
    engine.plan(0, 0, true)
    const orders = engine.takeOrders()
    assert.equal(orders.length, TASK_COUNT)
    for (const order of orders) {
      if (order.kind !== 'start') continue
      engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: 0 }, 0)
    }
  }
  const running = tasks.map(task => ({ ...task, checkpoint: '', percent: 50, usageFigure: 1 }))
  engine.applyReport(worker, { workerMilliseconds: 299, bornAtMilliseconds: 1, running, ended: [] }, 299, 299)
  const ended = tasks.map((task, index) => ({ ...task, number: index + 1, end: 'done' as const, checkpoint: '' }))
  engine.applyReport(worker, { workerMilliseconds: 300, bornAtMilliseconds: 1, running: [], ended }, 300, 300)
  assert.equal(engine.jobs.getJob('job')?.finalState, 'completed')
  return engine.runTimeRatios.getRunTimeRatio('queue', false)
}

test('the ratio of run times to estimates is learned from the runs that the owner has started', () => {
  assert.ok(learn(true) > 2.4)
})

test('runs of an earlier owner, whose start is not known, teach no run times', () => {
  assert.equal(learn(false), 1)
})
