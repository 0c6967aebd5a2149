import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { StepSpecification, StoredProgressRow } from '../jobs/index.js'
import { DispatchEngine } from './DispatchEngine.js'

const TASK_COUNT = 50_000
const GANG = { taskCount: TASK_COUNT, gang: true, processorsMilli: 1, memoryMegabytes: 1 }

/** Loads a job whose gang fits, and another one behind it. */
function loadJob (step: Partial<StepSpecification>, progress: StoredProgressRow[] = []) {
  const engine = DispatchEngine.create({ epoch: 2 })
  for (let index = 0; index < 12; index++) {
    const worker = engine.setWorker(createWorkerEntry({
      workerId: `worker-${index}`, capacity: { processorsMilli: 16_000, memoryMegabytes: 62_500, accelerators: 0 }
    }))
    worker.registered = true
    engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 999, 1000)
  }
  engine.jobs.add({
    submission: createSubmission([step]), progress, recovered: true, hasStoredAssignments: true
  }, 1000)
  engine.jobs.add({ submission: createSubmission([{}], { jobId: 'other' }), progress: [], recovered: false }, 1000)
  engine.jobs.confirmRecovered()
  engine.plan(1000, 1000, true)
  const [occurrence] = engine.jobs.getJob('job')?.occurrences.values() ?? []
  return { engine, starts: engine.takeOrders().map(({ run }) => run?.task.name), tasks: occurrence?.steps[0].tasks }
}

/** Returns the rows of a gang all of whose members have this entry. */
function createRows (field: 'failures' | 'checkpoints' | 'assigned', value: number[] | string): StoredProgressRow[] {
  return Array.from({ length: Math.ceil(TASK_COUNT / 128) }, (_, row) => {
    const entries = Array.from({ length: 128 }, (_, index) => [`0.0.${row * 128 + index}`, value])
    return { key: row === 0 ? 'job' : `job.${row}`, version: row + 1, value: { [field]: Object.fromEntries(entries) } }
  })
}

// LOST: each owner that loaded such a job ended at its heap limit, and no other job ran.
for (const [title, step, rows] of [
  ['that was never started', GANG, []],
  ['with stored failures', GANG, createRows('failures', [1, 2])],
  ['with stored checkpoints', GANG, createRows('checkpoints', '000003e8')],
  ['with stored assignments', { ...GANG, longRunning: true }, createRows('assigned', 'worker-1')]
] as const) {
  test(`a gang ${title} that is too large has few records and no starts, and delays no other job`, () => {
    const { engine, starts, tasks } = loadJob(step, [...rows])
    assert.deepEqual(starts, ['other.0.0.0'])
    assert.ok(tasks.createdCount <= 1, `${tasks.createdCount} records`)
    assert.equal(engine.explainWaiting(tasks.get(0)!, 1000).reason, 'gang-too-large')
  })
}

test('a gang that is too large and was stored as done in part is done', () => {
  const { engine, starts } = loadJob(GANG, [{ key: 'job', version: 1, value: { done: { '0.0': [0, 1, 2] } } }])
  assert.equal(engine.jobs.getJob('job')!.finalState, 'completed')
  assert.deepEqual(starts, ['other.0.0.0'])
})

test('a step with as many tasks that is no gang starts', () => {
  assert.ok(loadJob({ ...GANG, gang: false }).starts.length > 1000)
})
