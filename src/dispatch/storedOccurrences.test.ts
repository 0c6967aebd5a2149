import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { encodeProgress, getProgressSegment } from '../jobs/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { DispatchEngine, type WorkerReport } from './index.js'

const CERTAIN_END_MILLISECONDS = 6300
const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

function createOwner (epoch: number, progress: JsonValue | null, hasStoredAssignments: boolean): DispatchEngine {
  const engine = DispatchEngine.create({ epoch })
  const submission = createSubmission([{ longRunning: true }])
  submission.specification.repeatCount = 2
  submission.specification.intervalMilliseconds = 1
  const stored = progress === null ? [] : [{ key: submission.jobId, version: 1, value: progress }]
  engine.jobs.add({ submission, progress: stored, recovered: true, hasStoredAssignments }, 0)
  for (const workerId of ['worker-0', 'worker-1']) {
    engine.setWorker(createWorkerEntry({ workerId })).registered = true
    engine.unreconciled.add(workerId, CERTAIN_END_MILLISECONDS)
  }
  return engine
}

// The owner of epoch 1 stores no assignments and has started one occurrence on each worker.
test('an occurrence without tasks in the stored progress of an upgraded owner does not start twice', () => {
  const upgraded = createOwner(2, null, false)
  const running = [{ taskName: 'job.0.0.0', attempt: 1, checkpoint: '', percent: 0, usageFigure: 0 }]
  upgraded.applyReport(upgraded.workers.get('worker-1')!, { ...EMPTY_REPORT, running }, 10, 20)
  const job = upgraded.jobs.getJob('job')!
  const successor = createOwner(3, encodeProgress(getProgressSegment(job, 0), 0) as unknown as JsonValue, true)
  successor.applyReport(successor.workers.get('worker-1')!, { ...EMPTY_REPORT, running }, 10, 20)
  successor.plan(30, 30, true)
  assert.equal(successor.unreconciled.getExpiries().has('worker-0'), true)
  assert.deepEqual(successor.takeOrders().flatMap(order => order.kind === 'start' ? [order.run.task.name] : []), [])
})

test('no task of an occurrence starts again when only a part of the rows was stored at its end', () => {
  const taskCount = 200
  const submission = createSubmission([{ taskCount }])
  Object.assign(submission.specification, { repeatCount: 3, intervalMilliseconds: 1 })
  const engine = DispatchEngine.create({ epoch: 1 })
  engine.jobs.add({ submission, progress: [], recovered: false }, 0)
  const job = engine.jobs.getJob('job')!
  engine.jobs.createDueOccurrences(job, 10, 0)
  const rows = new Map<number, JsonValue>()
  const store = (count: number): void => {
    for (const segment of engine.jobs.takeChanged(count)) {
      rows.set(segment.index, encodeProgress(segment, 0) as unknown as JsonValue)
    }
  }
  const tasks = job.occurrences.get(1)!.steps[0].tasks.createAll()
  const last = tasks.pop()!
  for (const task of tasks) engine.jobs.markDone(task)
  store(100)
  engine.jobs.markDone(last)
  store(1)
  const successor = DispatchEngine.create({ epoch: 2 })
  const progress = [...rows].map(([index, value]) => ({ key: index === 0 ? 'job' : `job.${index}`, version: index + 1, value }))
  successor.jobs.add({ submission, progress, recovered: false }, 0)
  for (const { name } of tasks) assert.equal(successor.jobs.findTask(name, 0), undefined, name)
})

for (const [name, progress] of Object.entries<JsonValue>({
  'a done task': { done: { '0.0': [0] } },
  'a failed run': { failures: { '0.0.0': [1] } },
  'a checkpoint': { checkpoints: { '0.0.0': 'half' } },
  'a complete occurrence': { finished: [0] }
})) {
  test(`a job with ${name} in its stored progress does not wait for its first start after a takeover`, () => {
    const { jobs } = createOwner(2, progress, true)
    assert.equal(jobs.countByProgress('queue').waiting, 0)
    assert.equal(jobs.getState('job'), 'running')
  })
}

test('a job of which only an assignment is stored waits for its first start after a takeover', () => {
  const { jobs } = createOwner(2, { assigned: { '0.0.0': 'worker-0' } }, true)
  assert.equal(jobs.countByProgress('queue').waiting, 1)
})
