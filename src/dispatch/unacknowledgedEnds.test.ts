import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type ListedRun, type WorkerReport } from './index.js'

const CERTAIN_END_MILLISECONDS = 6300
const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

function createRow (taskName: string, attempt: number): ListedRun {
  return { taskName, attempt, checkpoint: '', percent: 0, usageFigure: 0 }
}

function planTasks (engine: DispatchEngine): string[] {
  engine.plan(30, 30, true)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order.run.task.name] : [])
}

function createOwner (epoch: number): DispatchEngine {
  const engine = DispatchEngine.create({ epoch })
  const submission = createSubmission([{}, { afterSteps: [0] }])
  engine.jobs.add({ submission, progress: [], recovered: epoch > 1 }, 0)
  for (const workerId of ['worker-0', 'worker-1', 'worker-2', 'worker-3']) {
    engine.setWorker(createWorkerEntry({ workerId })).registered = true
    if (epoch > 1) engine.unreconciled.add(workerId, CERTAIN_END_MILLISECONDS)
  }
  return engine
}

// A first run ended on worker-0, which was unreachable until its task had started again on worker-1.
test('a step does not start twice after a takeover when a predecessor still runs beside its unacknowledged end', () => {
  const running = [createRow('job.0.0.0', 2)]
  const ended = [{ ...createRow('job.0.0.0', 1), number: 1, end: 'done' as const }]
  const first = createOwner(1)
  const second = createOwner(2)
  for (const engine of [first, second]) {
    engine.applyReport(engine.workers.get('worker-1')!, { ...EMPTY_REPORT, running }, 10, 20)
    engine.applyReport(engine.workers.get('worker-3')!, EMPTY_REPORT, 10, 20)
    engine.applyReport(engine.workers.get('worker-0')!, { ...EMPTY_REPORT, ended }, 10, 20)
  }
  // The first owner sends this start without a durable end; worker-2 and worker-3 may then run it.
  assert.deepEqual(planTasks(first), ['job.0.1.0'])
  assert.equal(second.unreconciled.getExpiries().has('worker-2'), true)
  assert.deepEqual(planTasks(second), [])
})
