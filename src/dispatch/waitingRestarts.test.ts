import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { getTestSeed } from '../shared/testSeed.js'
import { DispatchEngine, type OrderOutcome, type WorkerRecord } from './index.js'
import { isRestart } from './WaitingRestarts.js'

const OUTCOMES: OrderOutcome[] = [
  { kind: 'accepted', workerMilliseconds: null },
  { kind: 'accepted', workerMilliseconds: null },
  { kind: 'unknown', reason: 'timeout' },
  { kind: 'not-sent', reason: 'refused' },
  { kind: 'unhealthy' }
]
const ENDS = ['failed', 'done', 'stopped', 'lapsed'] as const
const STEP_MILLISECONDS = 400

function createEngine (): DispatchEngine {
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const workerId of ['worker-0', 'worker-1', 'worker-2']) {
    const worker = engine.setWorker(createWorkerEntry({ workerId }))
    worker.registered = true
  }
  for (const [jobId, steps] of Object.entries({
    watch: [{ taskCount: 5, longRunning: true }],
    gang: [{ taskCount: 2, longRunning: true, gang: true }],
    short: [{ taskCount: 6 }]
  })) engine.jobs.add({ submission: createSubmission(steps, { jobId }), progress: [], recovered: false }, 0)
  return engine
}

/** Reports the runs of a worker, some of which have ended, are missing, or are lost with its earlier process. */
function report (engine: DispatchEngine, worker: WorkerRecord, now: number, random: () => number): void {
  const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]
  const hasRestarted = random() < 0.1
  let number = hasRestarted ? 0 : worker.appliedCompletion
  const rows = hasRestarted
    ? []
    : [...worker.runs.values()].map(run => ({
        taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent: 50, usageFigure: 1, fate: random()
      }))
  engine.applyReport(worker, {
    workerMilliseconds: now,
    bornAtMilliseconds: worker.entry.bornAtMilliseconds + (hasRestarted ? 1 : 0),
    running: rows.filter(({ fate }) => fate < 0.6),
    ended: rows.filter(({ fate }) => fate > 0.8).map(row => ({ ...row, number: ++number, end: pick(ENDS) }))
  }, now - 1, now)
}

function getWaitingTasks (engine: DispatchEngine): string[] {
  return [...engine.jobs.getJobs()].filter(job => job.finalState === null)
    .flatMap(job => [...job.occurrences.values()]).flatMap(({ steps }) => steps)
    .flatMap(step => [...step.tasks.getAllCreated()])
    .filter(task => isRestart(task) && task.runs.length === 0)
    .map(task => task.name).sort()
}

test('no long-running task that waits to run again is missing in the index, whatever ended its run', () => {
  fastCheck.assert(fastCheck.property(fastCheck.integer(), seed => {
    const random = createRandom(seed)
    const engine = createEngine()
    for (let now = STEP_MILLISECONDS; now < 60 * STEP_MILLISECONDS; now += STEP_MILLISECONDS) {
      for (const worker of engine.workers.values()) {
        if (random() < 0.7) report(engine, worker, now, random)
        else if (random() < 0.2) engine.confirmWorkerExited(worker, now)
        else if (random() < 0.2) engine.markUnreachable(worker, now)
      }
      engine.plan(now, now, true, 4)
      for (const order of engine.takeOrders()) {
        if (order.kind === 'start' && random() < 0.2) engine.withdrawRun(order.worker, order.run, now)
        else if (order.kind === 'start') {
          order.run.sentAt = now
          engine.applyStartOutcome(order.worker, order.run, OUTCOMES[Math.floor(random() * OUTCOMES.length)], now)
        } else if (order.kind === 'stop' && order.run !== null) {
          engine.applyStopOutcome(order.run, { kind: 'accepted', workerMilliseconds: null }, now)
        }
      }
      if (random() < 0.01) engine.cancelJob('gang')
      const indexed = [...engine.jobs.waitingRestarts.getWaiting()].map(task => task.name).sort()
      assert.deepEqual(indexed, getWaitingTasks(engine))
    }
  }), { numRuns: 100, seed: getTestSeed() })
})
