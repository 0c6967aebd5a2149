import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type WorkerReport } from './index.js'

const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

test('a completion whose application fails with an unexpected error is applied when the worker repeats it', () => {
  const engine = DispatchEngine.create({ epoch: 1 })
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 0)
  const [worker] = ['worker-0', 'worker-1'].map(workerId => {
    const added = engine.setWorker(createWorkerEntry({ workerId }))
    added.registered = true
    engine.applyReport(added, EMPTY_REPORT, 0, 1)
    return added
  })
  const takeStarts = (now: number) => {
    engine.markDirty()
    engine.plan(now, now, true)
    return engine.takeOrders().filter(order => order.kind === 'start')
  }
  const [start] = takeStarts(10)
  assert.ok(start.kind === 'start')
  const { run } = start
  const owner = start.worker
  engine.applyStartOutcome(owner, run, { kind: 'accepted', workerMilliseconds: 1010 }, 12)
  const report: WorkerReport = {
    ...EMPTY_REPORT,
    ended: [{ number: 1, taskName: run.task.name, attempt: run.attempt, end: 'done', checkpoint: '' }]
  }
  const { markDone } = engine.jobs
  engine.jobs.markDone = () => { throw new Error('unexpected') }
  assert.throws(() => engine.applyReport(owner, report, 20, 22))
  engine.markUnreachable(owner, null)
  assert.equal(owner.appliedCompletion, 0)
  assert.deepEqual(takeStarts(30), [])
  engine.jobs.markDone = markDone
  engine.applyReport(owner, report, 40, 42)
  assert.deepEqual([owner.appliedCompletion, owner.runs.size, worker.runs.size], [1, 0, 0])
  assert.deepEqual(engine.jobs.takeChanged(10).map(({ job }) => job.finalState), ['completed'])
  assert.deepEqual(takeStarts(50), [])
})
