import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { encodeProgress, type JobProgressRow, type StepSpecification } from '../jobs/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { DispatchEngine, type ListedRun, type WorkerReport } from './index.js'

const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }
const CERTAIN_END_MILLISECONDS = 6300

interface RecoveredJob {
  steps: Array<Partial<StepSpecification>>
  progress?: JobProgressRow
  hasStoredAssignments?: boolean
}

/** Creates the engine of a second owner; `worker-1` is reconciled, and `worker-0` has not been reached. */
function recover ({ steps, progress, hasStoredAssignments = true }: RecoveredJob) {
  const engine = DispatchEngine.create({ epoch: 2 })
  engine.jobs.add({
    submission: createSubmission(steps),
    progress: progress === undefined ? [] : [{ key: 'job', version: 1, value: progress as JsonValue }],
    recovered: true,
    hasStoredAssignments
  }, 0)
  for (const workerId of ['worker-0', 'worker-1']) {
    engine.setWorker(createWorkerEntry({ workerId })).registered = true
    engine.unreconciled.add(workerId, CERTAIN_END_MILLISECONDS)
  }
  return engine
}

function report (engine: DispatchEngine, workerId: string, running: ListedRun[] = []): void {
  engine.applyReport(engine.workers.get(workerId)!, { ...EMPTY_REPORT, running }, 10, 20)
}

function planTasks (engine: DispatchEngine): string[] {
  engine.plan(30, 30, true)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order.run.task.name] : [])
}

function createRow (taskName: string): ListedRun {
  return { taskName, attempt: 1, checkpoint: '', percent: 0, usageFigure: 0 }
}

test('an unreachable worker delays only the long-running tasks that are assigned to it', () => {
  const progress = { assigned: { '0.0.0': 'worker-0', '0.0.1': 'worker-1' } }
  const engine = recover({ steps: [{ longRunning: true, taskCount: 3 }], progress })
  report(engine, 'worker-1')
  assert.deepEqual(planTasks(engine), ['job.0.0.1', 'job.0.0.2'])
})

test('a long-running task waits for all workers of earlier owners when its job has unknown assignments', () => {
  const engine = recover({ steps: [{ longRunning: true }], progress: { assigned: 'unknown' } })
  report(engine, 'worker-1')
  assert.deepEqual(planTasks(engine), [])
})

test('a job of an owner that stored no assignments waits for all workers of earlier owners', () => {
  const engine = recover({ steps: [{ longRunning: true, taskCount: 2 }], hasStoredAssignments: false })
  report(engine, 'worker-1')
  assert.deepEqual(planTasks(engine), [])
  report(engine, 'worker-0')
  assert.deepEqual(planTasks(engine), ['job.0.0.0', 'job.0.0.1'])
})

test('a short task that no worker reports waits for all workers of earlier owners', () => {
  const engine = recover({ steps: [{ taskCount: 2 }] })
  report(engine, 'worker-1', [createRow('job.0.0.1')])
  assert.deepEqual(planTasks(engine), [])
})

test('a task that was reported as running starts again although another worker is unreachable', () => {
  const engine = recover({ steps: [{ taskCount: 1 }] })
  report(engine, 'worker-1', [createRow('job.0.0.0')])
  const ended = [{ ...createRow('job.0.0.0'), number: 1, end: 'failed' as const }]
  engine.applyReport(engine.workers.get('worker-1')!, { ...EMPTY_REPORT, ended }, 21, 25)
  assert.deepEqual(planTasks(engine), ['job.0.0.0'])
})

test('a step whose predecessor is reported as running may have been started, so it waits for all workers', () => {
  const engine = recover({ steps: [{ taskCount: 1 }, { taskCount: 1, afterSteps: [0] }, { afterSteps: [1] }] })
  report(engine, 'worker-1', [createRow('job.0.0.0')])
  const ended = [{ ...createRow('job.0.0.0'), number: 1, end: 'done' as const }]
  engine.applyReport(engine.workers.get('worker-1')!, { ...EMPTY_REPORT, ended }, 21, 25)
  assert.deepEqual(planTasks(engine), [])
})

test('a step whose predecessor ended between two owners waits for all workers of earlier owners', () => {
  const engine = recover({ steps: [{ taskCount: 1 }, { taskCount: 1, afterSteps: [0] }] })
  const ended = [{ ...createRow('job.0.0.0'), number: 1, end: 'done' as const }]
  engine.applyReport(engine.workers.get('worker-1')!, { ...EMPTY_REPORT, ended }, 10, 20)
  assert.deepEqual(planTasks(engine), [])
})

test('the assignment of a long-running task is part of the progress that is stored before its start', () => {
  const engine = DispatchEngine.create({ epoch: 1 })
  engine.jobs.add({ submission: createSubmission([{ longRunning: true }]), progress: [], recovered: false }, 0)
  engine.setWorker(createWorkerEntry()).registered = true
  report(engine, 'worker-0')
  assert.deepEqual(planTasks(engine), ['job.0.0.0'])
  const [segment] = engine.jobs.takeChanged(1)
  assert.deepEqual(encodeProgress(segment, 0), { assigned: { '0.0.0': 'worker-0' } })
})

test('the assignments of an owner that stored none are stored once all its workers are reconciled', () => {
  const engine = recover({ steps: [{ longRunning: true, taskCount: 2 }], hasStoredAssignments: false })
  report(engine, 'worker-1', [createRow('job.0.0.0')])
  assert.equal(engine.jobs.changedCount, 0)
  report(engine, 'worker-0')
  const [segment] = engine.jobs.takeChanged(1)
  assert.deepEqual(encodeProgress(segment, 0), { assigned: { '0.0.0': 'worker-1' } })
})

test('a task that an earlier owner may start again after its run has ended waits for the other workers', () => {
  const engine = recover({ steps: [{ taskCount: 1 }] })
  engine.earlierStartsEndAt = 2000
  report(engine, 'worker-1', [createRow('job.0.0.0')])
  const ended = [{ ...createRow('job.0.0.0'), number: 1, end: 'failed' as const }]
  engine.applyReport(engine.workers.get('worker-1')!, { ...EMPTY_REPORT, ended }, 21, 25)
  assert.deepEqual(planTasks(engine), [])
  report(engine, 'worker-0')
  assert.deepEqual(planTasks(engine), ['job.0.0.0'])
})
