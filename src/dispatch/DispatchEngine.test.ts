import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { JobSubmission, StepSpecification } from '../jobs/index.js'
import { DispatchEngine } from './DispatchEngine.js'
import type { DispatchObserver, WorkerEntry, WorkerReport } from './index.js'

const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

function createEngine (
  workerCount: number, steps: Array<Partial<StepSpecification>>, attemptLimit = 3, observer?: DispatchObserver
) {
  const engine = DispatchEngine.create({ epoch: 1, observer })
  for (let index = 0; index < workerCount; index++) {
    const entry: WorkerEntry = createWorkerEntry({
      workerId: `worker-${index}`,
      dataCentre: index % 2 === 0 ? 'south-a' : 'south-b',
      labels: ['a', `rack-${index}`]
    })
    const worker = engine.setWorker(entry)
    worker.registered = true
    engine.applyReport(worker, EMPTY_REPORT, 0, 1)
  }
  const submission: JobSubmission = createSubmission(steps, { attemptLimit })
  engine.jobs.add({ submission, progress: [], recovered: false }, 0)
  return engine
}

function plan (engine: DispatchEngine, now: number) {
  engine.plan(now, now, true)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order] : [])
}

test('counts a job as waiting until a worker has accepted one of its starts', () => {
  const engine = createEngine(1, [{}])
  const [order] = plan(engine, 10)
  assert.equal(engine.jobs.countByProgress('queue').waiting, 1)
  assert.equal(engine.jobs.getState('job'), 'pending')
  engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: 1000 }, 20)
  assert.equal(engine.jobs.countByProgress('queue').waiting, 0)
  assert.equal(engine.jobs.getState('job'), 'running')
})

test('starts no more tasks than fit into the capacity of all workers', () => {
  const engine = createEngine(2, [{ taskCount: 10, processorsMilli: 1500 }])
  assert.equal(plan(engine, 10).length, 4)
})

test('places no more tasks of a step on a worker than maximumPerWorker', () => {
  const engine = createEngine(3, [{ taskCount: 6, maximumPerWorker: 1 }])
  assert.deepEqual(plan(engine, 10).map(order => order.run.workerId).sort(), ['worker-0', 'worker-1', 'worker-2'])
})

test('keeps the reservation of an uncertain start until a report after its confirmed stop no longer lists it', () => {
  const engine = createEngine(1, [{ processorsMilli: 4000 }])
  const [order] = plan(engine, 10)
  engine.applyStartOutcome(order.worker, order.run, { kind: 'unknown', reason: 'timeout' }, 20)
  const [stop] = engine.takeOrders()
  assert.equal(stop.kind, 'stop')
  engine.applyReport(order.worker, EMPTY_REPORT, 25, 30)
  assert.equal(order.worker.reserved.processorsMilli, 4000)
  engine.applyStopOutcome(order.run, { kind: 'accepted', workerMilliseconds: 1000 }, 40)
  engine.applyReport(order.worker, EMPTY_REPORT, 35, 45)
  assert.equal(order.worker.reserved.processorsMilli, 4000)
  engine.applyReport(order.worker, EMPTY_REPORT, 50, 55)
  assert.equal(order.worker.reserved.processorsMilli, 0)
  assert.deepEqual(plan(engine, 60).map(next => next.run.attempt), [2])
})

test('counts a failed run once when its completion is reported again', () => {
  const engine = createEngine(1, [{}], 2)
  const [order] = plan(engine, 10)
  const ended = [{ number: 1, taskName: 'job.0.0.0', attempt: 1, end: 'failed' as const, checkpoint: '' }]
  engine.applyReport(order.worker, { ...EMPTY_REPORT, ended }, 20, 30)
  order.worker.appliedCompletion = 0
  engine.applyReport(order.worker, { ...EMPTY_REPORT, ended }, 40, 50)
  assert.equal(engine.jobs.getJob('job')?.finalState, null)
})

test('starts either all members of a gang or none', () => {
  assert.equal(plan(createEngine(1, [{ taskCount: 5, gang: true }]), 10).length, 0)
  const orders = plan(createEngine(2, [{ taskCount: 5, gang: true }]), 10)
  assert.deepEqual(orders.map(order => order.run.attempt), [1, 1, 1, 1, 1])
})

test('starts a task with a required label only on workers with that label', () => {
  const engine = createEngine(4, [{ taskCount: 2, requiredLabel: 'rack-2' }])
  assert.deepEqual(plan(engine, 10).map(order => order.run.workerId), ['worker-2', 'worker-2'])
})

test('reports lost runs with their cause and ignored completions with the reason to the observer', () => {
  const events: string[] = []
  const observer: DispatchObserver = {
    onRunLost: (worker, run, cause) => events.push(`${worker.entry.workerId} ${run.task.name}#${run.attempt} ${cause}`),
    onWorkerRestarted: worker => events.push(`${worker.entry.workerId} restarted`),
    onCompletionIgnored: (worker, ended, reason) => events.push(`${worker.entry.workerId} ${ended.taskName} ${reason}`),
    onRunStoppedForRestart: () => {},
    onRunDisplaced: () => {},
    onStartHeldBack: () => {},
    onGangAbandoned: () => {},
    onReconciled: () => {}
  }
  const engine = createEngine(1, [{ taskCount: 2 }], 3, observer)
  const [first, second] = plan(engine, 10)
  for (const { worker, run } of [first, second]) {
    engine.applyStartOutcome(worker, run, { kind: 'accepted', workerMilliseconds: 1000 }, 20)
  }
  const end = { number: 1, attempt: 1, end: 'done' as const, checkpoint: '' }
  const ended = [
    { ...end, taskName: first.run.task.name },
    { ...end, number: 2, taskName: first.run.task.name },
    { ...end, number: 3, taskName: 'other.0.0.0' }
  ]
  engine.applyReport(first.worker, { ...EMPTY_REPORT, ended }, 30, 31)
  assert.deepEqual(events, [
    'worker-0 job.0.0.0 task-done', 'worker-0 other.0.0.0 unknown-job', 'worker-0 job.0.0.1#1 not-listed'
  ])
})

test('keeps a reported run that is being stopped when an earlier sending of its start is rejected', () => {
  const engine = createEngine(2, [{ checkpointing: true }])
  const [{ worker, run }] = plan(engine, 10)
  run.sentAt = 10
  run.startUncertain = true
  const running = [{ taskName: run.task.name, attempt: 1, checkpoint: '', percent: 5, usageFigure: 1000 }]
  engine.applyReport(worker, { ...EMPTY_REPORT, running }, 20, 21)
  engine.setWorker({ ...worker.entry, state: 'draining', remainingMilliseconds: 0 })
  assert.equal(run.state, 'stopping')
  engine.applyStartOutcome(worker, run, { kind: 'rejected', reason: 'late' }, 30)
  assert.deepEqual(plan(engine, 40), [])
  engine.applyReport(worker, EMPTY_REPORT, 50, 51)
  assert.equal(plan(engine, 60).length, 1)
})

test('places no more starts than the limit and continues in the next plan while capacity is free', () => {
  const engine = createEngine(4, [{ taskCount: 10, processorsMilli: 1000 }])
  engine.plan(10, 10, true, 3)
  assert.equal(engine.takeOrders().length, 3)
  engine.plan(20, 20, true, 0)
  assert.equal(engine.takeOrders().length, 0)
  engine.plan(30, 30, true, 20)
  assert.equal(engine.takeOrders().length, 7)
  engine.plan(40, 40, true, 20)
  assert.equal(engine.takeOrders().length, 0)
})
