import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type OrderOutcome, type WorkerClient } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { RepeatBudget } from '../shared/RepeatBudget.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { OrderSender } from './OrderSender.js'

const STARTED_AT = 1000
const TIME_LIMIT_MILLISECONDS = 350
const NO_RESPONSE: OrderOutcome = { kind: 'unknown', reason: 'timeout' }
const ACCEPTED: OrderOutcome = { kind: 'accepted', workerMilliseconds: null }
const REPORT = { workerMilliseconds: 50_000, bornAtMilliseconds: 1, running: [], ended: [] }

/** Creates an owner of one worker that gets no response to starts of the named jobs. */
function createOwner (silentJobs: readonly string[]) {
  const clock = VirtualClock.create(STARTED_AT)
  const engine = DispatchEngine.create({ epoch: 1 })
  const sends: Array<{ at: number, order: string }> = []
  const record = (order: string) => { sends.push({ at: clock.monotonicMilliseconds() - STARTED_AT, order }) }
  const wait = async (milliseconds: number) => {
    await new Promise<void>(resolve => { clock.setTimer(milliseconds, resolve) })
  }
  const client: WorkerClient = {
    start: async ({ taskName }) => {
      record(`start ${taskName}`)
      const isSilent = silentJobs.some(jobId => taskName.startsWith(`${jobId}.`))
      await wait(isSilent ? TIME_LIMIT_MILLISECONDS : 2)
      return isSilent ? NO_RESPONSE : ACCEPTED
    },
    stop: async taskName => {
      record(`stop ${taskName}`)
      await wait(2)
      return ACCEPTED
    },
    setPace: async () => ACCEPTED,
    hold: async () => ({ kind: 'unknown', reason: 'not used' }),
    close: () => {}
  }
  const budget = { clock, repeatsPerSecond: 400, reserve: 400, isOverloaded: () => false }
  const sender = OrderSender.create({
    engine,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    metrics: createTestMetrics(true),
    repeats: RepeatBudget.create(budget),
    mayStart: () => true,
    onChange: () => {},
    storeAssignment: async () => true,
    onDeposed: () => {}
  })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, REPORT, STARTED_AT - 10, STARTED_AT)
  const sendOrders = () => { for (const order of engine.takeOrders()) sender.send(order, client) }
  const submit = (jobId: string) => {
    const now = clock.monotonicMilliseconds()
    const submission = createSubmission([{ processorsMilli: 500, memoryMegabytes: 100 }], { jobId })
    engine.jobs.add({ submission, progress: [], recovered: false }, now)
    engine.markDirty()
    engine.plan(now, now, true)
    sendOrders()
  }
  return { clock, engine, worker, sends, submit, sendOrders }
}

test('the stop of a cancelled job waits for no more than one time limit of unanswered starts to its worker', async () => {
  const { clock, engine, sends, submit, sendOrders } = createOwner(['silent-1', 'silent-2'])
  submit('cancelled')
  await clock.advance(20)
  assert.deepEqual(sends.map(({ order }) => order), ['start cancelled.0.0.0'])
  submit('silent-1')
  submit('silent-2')
  await clock.advance(10)
  assert.equal(sends.length, 3, JSON.stringify(sends))
  const cancelledAt = clock.monotonicMilliseconds() - STARTED_AT
  engine.cancelJob('cancelled')
  sendOrders()
  await clock.advance(3000)
  const stop = sends.find(({ order }) => order === 'stop cancelled.0.0.0')
  assert.ok(stop !== undefined, 'no stop was sent')
  const delay = stop.at - cancelledAt
  assert.ok(delay <= TIME_LIMIT_MILLISECONDS, `the stop was sent ${delay} ms after the cancellation`)
})

test('a start over a slow path is not sent beside its earlier sends, like a renewal', async () => {
  const { clock, worker, sends, submit } = createOwner(['silent'])
  worker.lateReportAt = STARTED_AT
  submit('silent')
  await clock.advance(1100)
  const times = sends.filter(({ order }) => order.startsWith('start')).map(({ at }) => at)
  assert.ok(times.every((at, index) => index === 0 || at - times[index - 1] >= TIME_LIMIT_MILLISECONDS),
    `sent at ${times.join(', ')} ms`)
})
