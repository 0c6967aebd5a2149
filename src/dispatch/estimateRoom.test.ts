import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { createJobRecord, createOccurrence, createRun, type StepSpecification } from '../jobs/index.js'
import { estimateRemaining, estimateTimeUntilFit, selectRunsToStop } from './estimateRoom.js'
import { addRun, createWorkerRecord } from './WorkerRecord.js'

const CAPACITY = { processorsMilli: 4000, memoryMegabytes: 10_000, accelerators: 0 }
const BEST_EFFORT = { fills: true, memoryMegabytes: 2000, estimateMilliseconds: 10_000 }

interface RunOptions {
  step: Partial<StepSpecification>
  percent?: number
}

/** Creates a worker with runs that were started at 0, and a task that waits. */
function createWorker (runs: RunOptions[], waiting: Partial<StepSpecification>) {
  const submission = createSubmission([waiting, ...runs.map(({ step }) => step)])
  const { steps } = createOccurrence(createJobRecord({ submission, now: 0 }), 0, 1, 0)
  const worker = createWorkerRecord(createWorkerEntry({ capacity: CAPACITY }))
  for (const [index, { percent = 0 }] of runs.entries()) {
    const [task] = steps[index + 1].tasks.createAll()
    addRun(worker, { ...createRun(task, 'worker-0', 1, 0), state: 'running', percent })
  }
  return { worker, task: steps[0].tasks.createAll()[0] }
}

function getStoppedIndices (runs: RunOptions[], waiting: Partial<StepSpecification>): number[] {
  const { worker, task } = createWorker(runs, waiting)
  return selectRunsToStop(worker, task).map(run => run.task.step.index - 1)
}

test('stops the best-effort runs that lose the least progress, checkpointing ones first', () => {
  const runs = [
    { step: BEST_EFFORT, percent: 60 },
    { step: BEST_EFFORT, percent: 10 },
    { step: BEST_EFFORT, percent: 30 },
    { step: { ...BEST_EFFORT, checkpointing: true }, percent: 80 },
    { step: BEST_EFFORT, percent: 90 }
  ]
  assert.deepEqual(getStoppedIndices(runs, { longRunning: true, memoryMegabytes: 2000 }), [3])
  assert.deepEqual(getStoppedIndices(runs, { longRunning: true, memoryMegabytes: 6000 }), [3, 1, 2])
})

test('stops no run whose room is not needed', () => {
  const runs = [
    { step: { ...BEST_EFFORT, memoryMegabytes: 1000 }, percent: 0 },
    { step: { ...BEST_EFFORT, memoryMegabytes: 5000 }, percent: 50 },
    { step: { memoryMegabytes: 4000, longRunning: true } }
  ]
  assert.deepEqual(getStoppedIndices(runs, { longRunning: true, memoryMegabytes: 5000 }), [1])
})

test('stops no long-running, serving, gang or reserved run, none that may not be away, and none in vain', () => {
  const full = { memoryMegabytes: 10_000 }
  const kept: Array<Partial<StepSpecification>> = [
    { longRunning: true }, { fills: true, longRunning: true }, { fills: true, longRunning: true, maximumAway: 1 },
    { fills: true, maximumAway: 1 }, { fills: true, gang: true }, { fills: true, targetMilliseconds: 20 }, {}
  ]
  for (const step of kept) {
    assert.deepEqual(getStoppedIndices([{ step: { ...step, ...full } }], { longRunning: true }), [])
  }
  const runs = [{ step: BEST_EFFORT }, { step: { memoryMegabytes: 8000, longRunning: true } }]
  assert.deepEqual(getStoppedIndices(runs, { longRunning: true, memoryMegabytes: 3000 }), [])
})

test('estimates when enough runs have ended for a task', () => {
  const runs = [
    { step: { estimateMilliseconds: 1000 } },
    { step: { estimateMilliseconds: 3000 } },
    { step: { estimateMilliseconds: 2000 }, percent: 50 },
    { step: { longRunning: true } }
  ]
  const estimate = (processorsMilli: number, now: number) => {
    const { worker, task } = createWorker(runs, { processorsMilli })
    return estimateTimeUntilFit(worker, task, run => estimateRemaining(run, now))
  }
  assert.equal(estimate(1000, 0), 1000)
  assert.equal(estimate(2000, 400), 600)
  assert.equal(estimate(3000, 400), 2600)
  assert.equal(estimate(4000, 400), Infinity)
})

test('expects a run that exceeds its estimate to end by its progress, or to go on for as long as it has exceeded it', () => {
  const { worker: { runs } } = createWorker([
    { step: { estimateMilliseconds: 1000 } }, { step: { estimateMilliseconds: 1000 }, percent: 10 }
  ], {})
  const [unknown, slow] = [...runs.values()]
  assert.equal(estimateRemaining(unknown, 3000), 2000)
  slow.progressedAt = 3000
  assert.equal(estimateRemaining(slow, 3000), 27_000)
  assert.equal(estimateRemaining(slow, 13_000), 17_000)
})
