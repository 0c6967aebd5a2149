import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldRequest, type OrderOutcome, type WorkerClient } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const STARTED_AT = 1000
/** Less than the time limit of an order, and more than the time after which the next report call is sent. */
const STOP_MILLISECONDS = 300

test('a stop that is overtaken by a call with a higher token of the same owner does not depose the owner', async () => {
  const clock = VirtualClock.create(STARTED_AT)
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  const report = { workerMilliseconds: 0, bornAtMilliseconds: 1, running: [], ended: [] }
  engine.applyReport(worker, report, STARTED_AT - 10, STARTED_AT)
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, STARTED_AT)
  engine.plan(STARTED_AT, STARTED_AT, true)
  const [order] = engine.takeOrders()
  assert.ok(order.kind === 'start')
  order.run.sentAt = STARTED_AT
  engine.applyStartOutcome(worker, order.run, { kind: 'unknown', reason: 'timeout' }, STARTED_AT)
  let highestToken = 0
  let isDeposed = false
  const client = {
    hold: async ({ epoch, waitMilliseconds }: HoldRequest) => {
      highestToken = Math.max(highestToken, epoch)
      await new Promise<void>(resolve => { clock.setTimer(2 + waitMilliseconds, resolve) })
      return { kind: 'reported', report }
    },
    stop: async (_taskName: string, _attempt: number, epoch: number): Promise<OrderOutcome> => {
      await new Promise<void>(resolve => { clock.setTimer(STOP_MILLISECONDS, resolve) })
      return epoch < highestToken ? { kind: 'fenced' } : { kind: 'unknown', reason: 'timeout' }
    }
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock, onFenced: () => { isDeposed = true } })
  loop.run()
  await clock.advance(5000)
  loop.stop()
  assert.ok(highestToken > 1, 'the token was not raised')
  assert.equal(isDeposed, false, 'the owner deposed itself for its own token')
})
