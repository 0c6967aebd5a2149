import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestBudget } from '../../stand-ins/platform/createTestBudget.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type DispatchOrder, type OrderOutcome, type WorkerClient } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { OrderSender } from './OrderSender.js'

const ACCEPTED: OrderOutcome = { kind: 'accepted', workerMilliseconds: null }

/** Creates an owner of one worker with three tasks; the test determines the outcomes of the starts. */
function createOwner (start: (attempt: number) => Promise<OrderOutcome>) {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const metrics = createTestMetrics(true)
  const sender = OrderSender.create({
    engine,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    metrics,
    repeats: createTestBudget(clock),
    mayStart: () => true,
    onChange: () => {},
    storeAssignment: async () => true,
    onDeposed: () => {}
  })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 990, 1000)
  engine.jobs.add({
    submission: createSubmission([{ taskCount: 3, processorsMilli: 1000 }]),
    progress: [],
    recovered: false
  }, 1000)
  const stops = { count: 0, send: (order: DispatchOrder) => sender.send(order, client) }
  const client: WorkerClient = {
    start: async order => await start(order.attempt),
    stop: async () => {
      stops.count++
      return ACCEPTED
    },
    setPace: async () => ACCEPTED,
    hold: async () => ({ kind: 'unknown', reason: 'not used' }),
    close: () => {}
  }
  engine.plan(1000, 1000, true)
  const sent = engine.takeOrders().map(order => sender.send(order, client))
  return { clock, engine, worker, sender, sent, stops }
}

/** Creates starts that stay in flight until the test accepts all of them. */
function createPendingStarts () {
  let count = 0
  const pending: Array<(outcome: OrderOutcome) => void> = []
  return {
    start: async () => {
      count++
      return await new Promise<OrderOutcome>(resolve => pending.push(resolve))
    },
    acceptAll: () => { for (const resolve of pending.splice(0)) resolve(ACCEPTED) },
    getCount: () => count
  }
}

test('a queued start is withdrawn when its worker begins to drain', async () => {
  const starts = createPendingStarts()
  const { clock, engine, worker } = createOwner(starts.start)
  await clock.advance(1)
  assert.equal(starts.getCount(), 2)
  engine.setWorker({ ...worker.entry, state: 'draining', remainingMilliseconds: 2000 })
  starts.acceptAll()
  await clock.advance(1)
  assert.equal(starts.getCount(), 2)
})

test('a queued start is withdrawn when its data centre is taken out', async () => {
  const starts = createPendingStarts()
  const { clock, engine } = createOwner(starts.start)
  await clock.advance(1)
  engine.setDataCentresOut(new Set(['south-a']))
  starts.acceptAll()
  await clock.advance(1)
  assert.equal(starts.getCount(), 2)
})

test('an order whose call throws does not block queued orders', async () => {
  let count = 0
  const { clock, sent } = createOwner(async () => {
    count++
    throw new Error('invalid response')
  })
  for (const promise of sent) promise.catch(() => {})
  await clock.advance(1)
  assert.equal(count, 3)
})

test('stops for an unresponsive worker are sent only after it responds again', async () => {
  const starts = createPendingStarts()
  const { clock, engine, worker, stops } = createOwner(starts.start)
  await clock.advance(1)
  starts.acceptAll()
  await clock.advance(1)
  starts.acceptAll()
  engine.markUnreachable(worker, 1000)
  engine.cancelJob('job')
  for (const order of engine.takeOrders()) stops.send(order)
  await clock.advance(5000)
  assert.equal(stops.count, 0)
  worker.syncState = 'synchronized'
  await clock.advance(1500)
  assert.equal(stops.count, 3)
})

test('stops for a worker are sent with its first report after it did not respond', async () => {
  const starts = createPendingStarts()
  const { clock, engine, worker, stops, sender } = createOwner(starts.start)
  await clock.advance(1)
  starts.acceptAll()
  await clock.advance(1)
  starts.acceptAll()
  engine.markUnreachable(worker, 1000)
  engine.cancelJob('job')
  for (const order of engine.takeOrders()) stops.send(order)
  await clock.advance(5000)
  worker.syncState = 'synchronized'
  sender.handleReport(worker)
  await clock.advance(1)
  assert.equal(stops.count, 3)
})

test('a start of a long-running task is not sent before its assignment is stored', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const answers: Array<(isStored: boolean) => void> = []
  const sender = OrderSender.create({
    engine,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    metrics: createTestMetrics(true),
    repeats: createTestBudget(clock),
    mayStart: () => true,
    onChange: () => {},
    storeAssignment: async () => await new Promise(resolve => answers.push(resolve)),
    onDeposed: () => {}
  })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }, 990, 1000)
  engine.jobs.add({
    submission: createSubmission([{ taskCount: 2, longRunning: true }]), progress: [], recovered: false
  }, 1000)
  const starts = createPendingStarts()
  const client = { start: starts.start } as unknown as WorkerClient
  engine.plan(1000, 1000, true)
  for (const order of engine.takeOrders()) sender.send(order, client)
  await clock.advance(100)
  assert.deepEqual([starts.getCount(), sender.storingCount], [0, 2])
  answers[0](true)
  answers[1](false)
  await clock.advance(1)
  assert.deepEqual([starts.getCount(), sender.storingCount, worker.runs.size], [1, 0, 1])
})
