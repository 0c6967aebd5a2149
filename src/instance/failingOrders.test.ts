import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestBudget } from '../../stand-ins/platform/createTestBudget.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type OrderOutcome, type WorkerClient } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { OrderSender } from './OrderSender.js'

const ACCEPTED: OrderOutcome = { kind: 'accepted', workerMilliseconds: null }
const NO_RESPONSE = { kind: 'unknown', reason: 'timeout' } as const
const NOT_CONNECTED: OrderOutcome = { kind: 'not-sent', reason: 'connect-timeout', hasConnectionFailed: true }
const QUEUE_TIMEOUT: OrderOutcome = { kind: 'not-sent', reason: 'queue-timeout', hasConnectionFailed: false }
const REPORT = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

function createSender (engine: DispatchEngine, clock: VirtualClock): OrderSender {
  return OrderSender.create({
    engine,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    metrics: createTestMetrics(true),
    repeats: createTestBudget(clock),
    mayStart: () => true,
    onChange: () => {},
    storeAssignment: async () => true,
    onDeposed: () => {}
  })
}

/**
 * Plays an owner of two workers in each of two data centres, all of which report. The sends of each start to the north
 * have the given outcomes in turn. Returns the data centres of four later starts.
 */
async function placeAfterFailures (northOutcomes: readonly OrderOutcome[]): Promise<string[]> {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const workerId of ['north-0', 'north-1', 'south-0', 'south-1']) {
    const worker = engine.setWorker({ ...createWorkerEntry({ workerId }), dataCentre: workerId.split('-')[0] })
    worker.registered = true
    engine.applyReport(worker, REPORT, 990, 1000)
  }
  const sender = createSender(engine, clock)
  const createClient = (dataCentre: string): WorkerClient => {
    const sendCounts = new Map<string, number>()
    return {
      start: async ({ taskName }) => {
        const sendCount = sendCounts.get(taskName) ?? 0
        sendCounts.set(taskName, sendCount + 1)
        return dataCentre === 'north' ? northOutcomes[sendCount] : ACCEPTED
      },
      stop: async () => NO_RESPONSE,
      setPace: async () => ACCEPTED,
      hold: async () => NO_RESPONSE,
      close: () => {}
    }
  }
  const startTasks = async (jobId: string): Promise<string[]> => {
    const submission = createSubmission([{ taskCount: 4, processorsMilli: 1000 }], { jobId })
    engine.jobs.add({ submission, progress: [], recovered: false }, clock.monotonicMilliseconds())
    engine.markDirty()
    engine.plan(clock.monotonicMilliseconds(), clock.wallMilliseconds(), true)
    const starts = engine.takeOrders().filter(order => order.kind === 'start')
    for (const order of starts) sender.send(order, createClient(order.worker.entry.dataCentre))
    await clock.advance(1)
    return starts.map(order => order.worker.entry.dataCentre)
  }
  const first = await startTasks('first')
  assert.deepEqual(new Set(first), new Set(['north', 'south']))
  // Ends the pauses of workers to which a start could not be sent.
  await clock.advance(500)
  const later = await startTasks('later')
  sender.stop()
  return later
}

test('tasks start elsewhere when starts get no response, and are then not sent, while the workers report', async () => {
  assert.deepEqual(new Set(await placeAfterFailures([NO_RESPONSE, NOT_CONNECTED])), new Set(['south']))
})

test('tasks start elsewhere when no connection for starts opens while the workers report', async () => {
  assert.deepEqual(new Set(await placeAfterFailures([NOT_CONNECTED])), new Set(['south']))
})

test('starts that expire in the queue of the owner do not affect the choice of workers', async () => {
  assert.deepEqual(new Set(await placeAfterFailures([QUEUE_TIMEOUT])), new Set(['north', 'south']))
})

/** Plays an owner of two workers, of which the given one responds to no stop while it reports. */
async function placeBesideFailingStops (stopOutcome: OrderOutcome): Promise<{ stopped: string, later: string[] }> {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const workerId of ['worker-0', 'worker-1']) {
    const worker = engine.setWorker(createWorkerEntry({ workerId }))
    worker.registered = true
    engine.applyReport(worker, REPORT, 990, 1000)
  }
  const sender = createSender(engine, clock)
  const client: WorkerClient = {
    start: async () => ACCEPTED,
    stop: async () => stopOutcome,
    setPace: async () => ACCEPTED,
    hold: async () => NO_RESPONSE,
    close: () => {}
  }
  const sendOrders = async (): Promise<string[]> => {
    engine.markDirty()
    engine.plan(clock.monotonicMilliseconds(), clock.wallMilliseconds(), true)
    const orders = engine.takeOrders()
    for (const order of orders) sender.send(order, client)
    await clock.advance(1)
    return orders.flatMap(order => order.kind === 'start' ? [order.worker.entry.workerId] : [])
  }
  const add = (jobId: string, taskCount: number): void => engine.jobs.add(
    { submission: createSubmission([{ taskCount, processorsMilli: 500 }], { jobId }), progress: [], recovered: false },
    clock.monotonicMilliseconds())
  add('stopped', 1)
  const [stopped] = await sendOrders()
  engine.cancelJob('stopped')
  await sendOrders()
  await clock.advance(2000)
  add('later', 4)
  const later = await sendOrders()
  sender.stop()
  return { stopped, later }
}

test('tasks start elsewhere when stops get no response or no connection while the worker reports', async () => {
  for (const outcome of [NO_RESPONSE, NOT_CONNECTED]) {
    const { stopped, later } = await placeBesideFailingStops(outcome)
    assert.equal(later.length, 4)
    assert.ok(later.every(workerId => workerId !== stopped), later.join())
  }
})
