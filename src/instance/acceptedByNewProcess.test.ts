import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldOutcome, type HoldRequest, type WorkerClient } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

for (const { longRunning, startAfter } of [
  { longRunning: false, startAfter: 1300 },
  { longRunning: true, startAfter: 1300 },
  { longRunning: true, startAfter: 300 }
]) {
  const kind = `${longRunning ? 'long-running' : 'short'} task, ${startAfter} ms after the last report`
  test(`a run that a process accepted before its first report is not over before its lease has ended (${kind})`, async () => {
    const clock = VirtualClock.create(1000)
    const engine = DispatchEngine.create({ epoch: 1, leaseMilliseconds: 6000 })
    const worker = engine.setWorker(createWorkerEntry())
    worker.registered = true
    let isReached = true
    const client = {
      hold: async (request: HoldRequest): Promise<HoldOutcome> => {
        const wait = request.waitMilliseconds
        const wasReached = isReached
        await new Promise<void>(resolve => { clock.setTimer(wasReached ? wait + 5 : wait + 600, resolve) })
        if (!isReached) {
          if (wasReached) await new Promise<void>(resolve => { clock.setTimer(600, resolve) })
          return { kind: 'unknown', reason: 'timeout' }
        }
        const workerMilliseconds = 500_000 + clock.monotonicMilliseconds()
        return { kind: 'reported', report: { workerMilliseconds, bornAtMilliseconds: 1, running: [], ended: [] } }
      }
    } as unknown as WorkerClient
    const loop = createLeaseLoop({ worker, engine, client, clock })
    loop.run()
    // The last report has arrived and the next call waits for an end.
    await clock.advance(200)
    isReached = false
    // The process ends and the next one accepts a start, whose deadline lies far ahead on its clock, and is cut off.
    await clock.advance(startAfter)
    engine.jobs.add({ submission: createSubmission([{ longRunning }]), progress: [], recovered: false }, 0)
    engine.plan(clock.monotonicMilliseconds(), 0, true)
    const [order] = engine.takeOrders()
    assert.ok(order?.kind === 'start')
    const acceptedAt = clock.monotonicMilliseconds()
    order.run.sentAt = acceptedAt
    worker.leaseDeadline = Math.max(worker.leaseDeadline, 500_000 + acceptedAt + 1800)
    engine.applyStartOutcome(worker, order.run, { kind: 'accepted', workerMilliseconds: 50 }, acceptedAt)
    while (worker.runs.size > 0 && clock.monotonicMilliseconds() < 40_000) {
      await clock.advance(10)
      engine.plan(clock.monotonicMilliseconds(), 0, true)
    }
    loop.stop()
    const overAfter = clock.monotonicMilliseconds() - acceptedAt
    // The new process shortens the lease to 6000 ms from the arrival of the start.
    assert.ok(overAfter >= 6000, `over after ${overAfter} ms`)
  })
}
