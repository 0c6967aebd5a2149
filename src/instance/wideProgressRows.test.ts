import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { TableService, Transaction } from '../table/TableService.js'
import { ProgressWriter } from './ProgressWriter.js'

/** The largest value of a row in base64, as in the settings of the platform. */
const ROW_BYTES = 65_536
const WIDE_TASK_COUNT = 2000

/** A store that answers 400 to each transaction with a value that is larger than a row may be. */
function createStore (): TableService {
  return {
    read: async () => ({ kind: 'ok', value: null }),
    transact: async ({ operations }: Transaction) => {
      const isTooLarge = operations.some(operation => operation.kind === 'put' &&
        Buffer.from(JSON.stringify(operation.value)).toString('base64').length > ROW_BYTES)
      if (isTooLarge) return { kind: 'unavailable', reason: 'store answered 400' }
      return { kind: 'committed', versions: operations.map(() => 1) }
    }
  } as unknown as TableService
}

test('a job with many long-running tasks does not delay the starts and ends of all other jobs', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const capacity = { processorsMilli: 4_000_000, memoryMegabytes: 4_000_000, accelerators: 0 }
  const worker = engine.setWorker(createWorkerEntry({ workerId: 'desk-north-a-117', capacity }))
  worker.registered = true
  const steps = { wide: { taskCount: WIDE_TASK_COUNT, longRunning: true }, small: { longRunning: true } }
  for (const [jobId, step] of Object.entries(steps)) {
    engine.jobs.add({ submission: createSubmission([step], { jobId }), progress: null, recovered: false }, 1000)
  }
  const writer = ProgressWriter.create({
    shardId: 'site',
    engine,
    fence: { epoch: 1, rowVersion: 1 },
    tableService: createStore(),
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    onDurable: () => {},
    onDeposed: () => {}
  })
  engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1000)
  engine.plan(1000, 1000, true)
  assert.equal(engine.takeOrders().length, WIDE_TASK_COUNT + 1)
  const isSmallJobStored = writer.waitForJob(engine.jobs.getJob('small')!)
  writer.run()
  await clock.advance(10_000)
  writer.stop()
  await clock.advance(1000)
  assert.equal(await isSmallJobStored, true)
})
