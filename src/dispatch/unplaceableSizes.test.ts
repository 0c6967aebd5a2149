import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { JobSubmission, StepSpecification } from '../jobs/index.js'
import type { LearnedEffects } from './ColocationAdvisor.js'
import { DispatchEngine } from './DispatchEngine.js'

const SERVING_IMAGE = 'desk'
const TARGET_MILLISECONDS = 20
/** A tail latency that leaves no headroom for an image whose effect is not known. */
const USAGE_FIGURE = 19

/** Creates an engine with one worker of each service. */
function createEngine (serviceNames: string[]) {
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const [index, serviceName] of serviceNames.entries()) {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}`, serviceName }))
    worker.registered = true
    engine.applyReport(
      worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1)
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

function plan (engine: DispatchEngine, now: number) {
  engine.plan(now, now, true)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order] : [])
}

test('a task that fits nowhere because of its image does not hide one of the same size with another image', () => {
  const engine = createEngine(['desk'])
  const effects = { heavy: [-9, 0.01], light: [0, 0.01] } satisfies LearnedEffects[string]['effects']
  engine.advisor.import({ [SERVING_IMAGE]: { headroom: [2, 0.01], effects } })
  addJob(engine, 'serving', { image: SERVING_IMAGE, longRunning: true, targetMilliseconds: TARGET_MILLISECONDS })
  const [{ worker, run }] = plan(engine, 10)
  engine.applyStartOutcome(worker, run, { kind: 'accepted', workerMilliseconds: 1010 }, 20)
  engine.applyReport(worker, {
    workerMilliseconds: 1030,
    bornAtMilliseconds: 1,
    running: [{ taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent: 100, usageFigure: USAGE_FIGURE }],
    ended: []
  }, 30, 31)
  addJob(engine, 'heavy', { image: 'heavy', fills: true })
  addJob(engine, 'light', { image: 'light', fills: true })
  assert.deepEqual(plan(engine, 40).map(order => order.run.task.name), ['light.0.0.0'])
})

test('a task without a worker of its service does not hide a task of the same queue for another service', () => {
  const engine = createEngine(['desk'])
  addJob(engine, 'first', {}, { serviceName: 'archive' })
  addJob(engine, 'second', {}, { serviceName: 'desk' })
  assert.deepEqual(plan(engine, 10).map(order => order.run.task.name), ['second.0.0.0'])
})
