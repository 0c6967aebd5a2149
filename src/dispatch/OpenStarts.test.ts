import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { RunRecord, StepSpecification } from '../jobs/index.js'
import { DispatchEngine, type ListedRun, type WorkerReport } from './index.js'

const LEASE_MILLISECONDS = 6000
const CLOSED_AT = 1000 + 12_500
/** The clocks of the workers are this much ahead. */
const CLOCK_OFFSET_MILLISECONDS = 50_000

/** Creates an owner of two workers, with room for one task each, that sends the starts of a step at 1000 ms. */
function createOwner (step: Partial<StepSpecification> = {}) {
  const engine = DispatchEngine.create({ epoch: 1, leaseMilliseconds: LEASE_MILLISECONDS })
  const workers = ['worker-0', 'worker-1'].map(workerId => engine.setWorker(createWorkerEntry({ workerId })))
  for (const worker of workers) worker.registered = true
  const report = (workerId: string, at: number, fields: Partial<WorkerReport> = {}): void => {
    engine.applyReport(engine.workers.get(workerId)!, {
      workerMilliseconds: at + CLOCK_OFFSET_MILLISECONDS, bornAtMilliseconds: 1, running: [], ended: [], ...fields
    }, at, at)
  }
  const plan = (now: number): RunRecord[] => {
    engine.markDirty()
    engine.plan(now, now, true)
    return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order.run] : [])
  }
  for (const { entry: { workerId } } of workers) report(workerId, 900)
  const submission = createSubmission([{ processorsMilli: 4000, ...step }])
  engine.jobs.add({ submission, progress: [], recovered: false }, 1000)
  const runs = plan(1000)
  for (const run of runs) {
    run.sentAt = 1000
    run.startDeadline = 1000 + CLOCK_OFFSET_MILLISECONDS + 1800
    run.openSendCount = 1
  }
  /** Applies that the start of a run has got no response. */
  const loseResponse = (run: RunRecord): void => {
    run.isUnanswered = true
    engine.applyStartOutcome(engine.workers.get(run.workerId)!, run, { kind: 'unknown', reason: 'timeout' }, 1350)
  }
  return { engine, report, plan, runs, loseResponse }
}

function createRow ({ task, attempt }: RunRecord): ListedRun {
  return { taskName: task.name, attempt, checkpoint: '', percent: 10, usageFigure: 0 }
}

test('a task whose start got no response waits until no process of its worker executes the start', () => {
  const { engine, report, plan, runs: [run], loseResponse } = createOwner()
  loseResponse(run)
  report(run.workerId, 3000)
  assert.deepEqual([run.task.runs.length, engine.explainWaiting(run.task, 3000).reason], [0, 'open-start'])
  report(run.workerId, CLOSED_AT - 1)
  assert.deepEqual(plan(CLOSED_AT), [])
  report(run.workerId, CLOSED_AT)
  const [next] = plan(CLOSED_AT + 1)
  assert.deepEqual([next.attempt, next.workerId !== run.workerId], [2, true])
})

test('the next report of a worker is awaited no longer than until it settles a start', () => {
  const { engine, report, runs: [run], loseResponse } = createOwner()
  const worker = engine.workers.get(run.workerId)!
  assert.equal(engine.openStarts.getSettlementAt(worker), Infinity)
  loseResponse(run)
  report(run.workerId, 3000)
  assert.equal(engine.openStarts.getSettlementAt(worker), CLOSED_AT)
})

test('a task whose only send has begun a run starts again as soon as that is over', () => {
  const { report, plan, runs: [run], loseResponse } = createOwner()
  loseResponse(run)
  report(run.workerId, 2000, { running: [createRow(run)] })
  report(run.workerId, 3000, { ended: [{ ...createRow(run), number: 1, end: 'failed' }] })
  assert.deepEqual(plan(3001).map(({ attempt }) => attempt), [2])
})

test('a start that a later process has begun is settled, and its run goes on', () => {
  const { engine, report, plan, runs: [run], loseResponse } = createOwner()
  loseResponse(run)
  report(run.workerId, 3000)
  report(run.workerId, 8000, { bornAtMilliseconds: 2, workerMilliseconds: 100, running: [createRow(run)] })
  assert.equal(engine.openStarts.has(run.task), false)
  assert.deepEqual([run.task.runs.map(({ attempt }) => attempt), plan(8001)], [[1], []])
})

for (const step of [{ longRunning: true }, { speculative: true }]) {
  test(`the task of a step with ${JSON.stringify(step)} waits for no start that its worker rejects`, () => {
    const { report, plan, runs: [run], loseResponse } = createOwner(step)
    loseResponse(run)
    report(run.workerId, 3000)
    assert.deepEqual(plan(3001).map(({ attempt }) => attempt), [2])
  })
}

// LOST: a task waited for 12 s although only the path to its worker had failed.
test('a start over a path that has failed since is settled by the next report', () => {
  const { engine, report, plan, runs: [run], loseResponse } = createOwner()
  loseResponse(run)
  engine.workers.get(run.workerId)!.reportFailedAt = 1200
  report(run.workerId, 3000)
  assert.deepEqual(plan(3001).map(({ attempt }) => attempt), [2])
})

test('while orders are executed late, an unreachable worker may run a start until its lease would be over', () => {
  const { engine, report, plan, runs, loseResponse } = createOwner({ taskCount: 2 })
  const [answering, unreachable] = runs
  for (const run of runs) loseResponse(run)
  report(answering.workerId, 3000)
  const worker = engine.workers.get(unreachable.workerId)!
  worker.reportFailedAt = 1500
  engine.confirmWorkerExited(worker, 3100)
  report(answering.workerId, CLOSED_AT)
  const closedAt = CLOSED_AT + LEASE_MILLISECONDS + 300
  assert.deepEqual(plan(closedAt - 1).map(({ task }) => task), [answering.task])
  const ended = { ...createRow(answering), attempt: 2, number: 1, end: 'done' as const }
  report(answering.workerId, closedAt - 1, { ended: [ended] })
  assert.deepEqual(plan(closedAt).map(({ task }) => task), [unreachable.task])
})
