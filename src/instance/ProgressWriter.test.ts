import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type WorkerRecord } from '../dispatch/index.js'
import { ErrorBoundary } from '../shared/ErrorBoundary.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import type { TableService, Transaction } from '../table/TableService.js'
import { PROGRESS_TABLE } from './jobRows.js'
import { ProgressWriter } from './ProgressWriter.js'

function createEngine () {
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.jobs.add({
    submission: createSubmission([{ taskCount: 2 }]),
    progress: [],
    recovered: false
  }, 0)
  return { engine, worker }
}

/** Starts a task on the worker and applies the report that it is done. */
function runTaskToItsEnd (engine: DispatchEngine, worker: WorkerRecord) {
  const report = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }
  engine.applyReport(worker, report, 0, 1000)
  engine.plan(1000, 1000, true)
  const [order] = engine.takeOrders()
  assert.ok(order.kind === 'start')
  const { task, attempt } = order.run
  engine.applyReport(worker, {
    ...report, ended: [{ number: 1, taskName: task.name, attempt, end: 'done', checkpoint: '' }]
  }, 1010, 1020)
  return task
}

/** A store that serves reads and is unavailable for all writes. */
const refusingStore = {
  read: async () => ({ kind: 'ok', value: null }),
  transact: async () => ({ kind: 'unavailable', reason: 'the store is unavailable' })
} as unknown as TableService

test('an ended run is not acknowledged by a flush whose writes the store rejects', async () => {
  const clock = VirtualClock.create(1000)
  const { engine, worker } = createEngine()
  const writer = ProgressWriter.create({
    shardId: 'site',
    engine,
    fence: { epoch: 1, rowVersion: 1 },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: refusingStore,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    onDurable: () => {},
    onDeposed: () => {}
  })
  runTaskToItsEnd(engine, worker)
  writer.run()
  await clock.advance(500)
  assert.equal(worker.durableCompletion, 0)
  writer.flush()
  await clock.advance(5000)
  assert.equal(worker.durableCompletion, 0)
})

test('a job whose progress cannot be encoded delays no other one, and its ended runs are not acknowledged', async () => {
  const clock = VirtualClock.create(1000)
  const { engine, worker } = createEngine()
  const activities: string[] = []
  const stored: string[] = []
  const writer = ProgressWriter.create({
    shardId: 'site',
    engine,
    fence: { epoch: 1, rowVersion: 1 },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: {
      read: async () => ({ kind: 'ok', value: null }),
      transact: async ({ operations }: Transaction) => {
        stored.push(...operations.filter(({ table }) => table === PROGRESS_TABLE).map(({ key }) => key))
        return { kind: 'committed', versions: operations.map(() => 1) }
      }
    } as unknown as TableService,
    clock,
    logger: silentLogger,
    errors: ErrorBoundary.create({ clock, logger: silentLogger, onError: activity => activities.push(activity) }),
    onDurable: () => {},
    onDeposed: () => {}
  })
  const task = runTaskToItsEnd(engine, worker)
  const { job } = task.step.occurrence
  const { occurrences } = job
  job.occurrences = null as never
  engine.jobs.add({ submission: createSubmission([{}], { jobId: 'other' }), progress: [], recovered: false }, 0)
  engine.cancelJob('other')
  writer.run()
  await clock.advance(500)
  assert.equal(worker.durableCompletion, 0)
  assert.deepEqual([...new Set(activities)], ['progress-encoding'])
  assert.deepEqual(stored, ['other'])
  job.occurrences = occurrences
  await clock.advance(500)
  writer.stop()
  assert.equal(worker.durableCompletion, 1)
})
