import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { StepSpecification, StoredProgressRow } from '../jobs/index.js'
import { DispatchEngine } from './DispatchEngine.js'

const GANG_TASK_COUNT = 200
/** The tasks whose ends are in the first row of the progress. */
const FIRST_ROW_INDEXES = Array.from({ length: 128 }, (_, index) => index)
const FIRST_ROW: StoredProgressRow = { key: 'job', version: 7, value: { done: { '0.0': FIRST_ROW_INDEXES } } }
const GANG = { taskCount: GANG_TASK_COUNT, gang: true, processorsMilli: 10, memoryMegabytes: 1 }

/** Loads a job of which only the first row of its progress is stored. */
function loadJob (steps: Array<Partial<StepSpecification>>) {
  const engine = DispatchEngine.create({ epoch: 2 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.jobs.add({ submission: createSubmission(steps), progress: [FIRST_ROW], recovered: true }, 1000)
  engine.jobs.confirmRecovered()
  engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 999, 1000)
  return engine
}

test('a job whose gang was stored as done in part is completed by the next owner', () => {
  const engine = loadJob([GANG])
  assert.equal(engine.jobs.getJob('job')!.finalState, 'completed')
  engine.plan(1100, 1100, true)
  assert.deepEqual(engine.takeOrders(), [])
})

test('the steps after a gang that was stored as done in part start under the next owner', () => {
  const engine = loadJob([GANG, { afterSteps: [0] }])
  engine.plan(1100, 1100, true)
  assert.deepEqual(engine.takeOrders().map(({ kind, ...order }) => [kind, order.run?.task.name]), [['start', 'job.0.1.0']])
  assert.deepEqual(engine.jobs.takeChanged(10).map(({ index }) => index), [1])
})

test('tasks of other steps that were stored as done in part start again where they were not', () => {
  const engine = loadJob([{ ...GANG, gang: false }])
  engine.plan(1100, 1100, true)
  assert.equal(engine.takeOrders().length, GANG_TASK_COUNT - FIRST_ROW_INDEXES.length)
})
