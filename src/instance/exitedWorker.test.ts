import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldRequest, type LateReportListener, type WorkerClient } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

test('a late report of a process that has ended brings none of its runs back', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, { workerMilliseconds: 990, bornAtMilliseconds: 1, running: [], ended: [] }, 980, 990)
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 0)
  engine.plan(1000, 1000, true)
  const [order] = engine.takeOrders()
  assert.ok(order?.kind === 'start')
  order.run.sentAt = 1000
  const row = { taskName: order.run.task.name, attempt: 1, checkpoint: '', percent: 50, usageFigure: 0 }
  const report = { workerMilliseconds: 1100, bornAtMilliseconds: 1, running: [row], ended: [] }
  const client = {
    hold: async (request: HoldRequest, lateReports: LateReportListener) => {
      clock.setTimer(3000, () => lateReports.onOutcome({ kind: 'reported', report }))
      await new Promise<void>(resolve => { clock.setTimer(request.waitMilliseconds + 600, resolve) })
      return { kind: 'unknown', reason: 'timeout', isAwaited: true }
    }
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock })
  loop.run()
  await clock.advance(2500)
  assert.equal(worker.runs.size, 1)
  engine.confirmWorkerExited(worker, clock.monotonicMilliseconds())
  await clock.advance(1000)
  loop.stop()
  assert.equal(worker.runs.size, 0)
})
