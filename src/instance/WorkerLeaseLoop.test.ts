import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop, type LeaseLoopOptions } from '../../stand-ins/platform/createLeaseLoop.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldRequest, type WorkerClient } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { WorkerLeaseLoop } from './WorkerLeaseLoop.js'

function createLoop (
  engine: DispatchEngine, clock: VirtualClock, client: WorkerClient, repeats?: LeaseLoopOptions['repeats']
): WorkerLeaseLoop {
  return createLeaseLoop({ worker: engine.setWorker(createWorkerEntry()), engine, client, clock, repeats })
}

test('does not renew the lease of a worker that a stored record names as unreached', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 2 })
  engine.unreached.restore({ 'worker-0': 0 })
  engine.setWorker(createWorkerEntry())
  const requests: HoldRequest[] = []
  const client = {
    hold: async (request: HoldRequest) => {
      requests.push(request)
      return {
        kind: 'reported', report: { workerMilliseconds: 5000, bornAtMilliseconds: 1, running: [], ended: [] }
      }
    }
  } as unknown as WorkerClient
  const loop = createLoop(engine, clock, client)
  loop.run()
  await clock.advance(1000)
  assert.ok(requests.length > 2 && requests.length < 8 && requests.every(({ leaseDeadline }) => leaseDeadline === null))
  engine.unreached.confirmDurable({})
  await clock.advance(300)
  assert.notEqual(requests.at(-1)?.leaseDeadline, null)
  loop.stop()
})

for (const reportCount of [1, Infinity]) {
  test(`no renewal extends a lease to the latest end of an earlier owner's lease, after ${reportCount} reports`, async () => {
    const clock = VirtualClock.create(1000)
    const engine = DispatchEngine.create({ epoch: 2 })
    const requests: Array<HoldRequest & { at: number }> = []
    const client = {
      hold: async (request: HoldRequest) => {
        const at = clock.monotonicMilliseconds()
        requests.push({ ...request, at })
        await new Promise<void>(resolve => { clock.setTimer(300, resolve) })
        if (requests.length > reportCount) return { kind: 'unknown', reason: 'no answer' }
        return { kind: 'reported', report: { workerMilliseconds: at, bornAtMilliseconds: 1, running: [], ended: [] } }
      }
    } as unknown as WorkerClient
    const loop = createLoop(engine, clock, client)
    engine.unreconciled.add('worker-0', clock.monotonicMilliseconds() + 9000)
    loop.run()
    await clock.advance(8000)
    loop.stop()
    assert.ok(requests.length > 10)
    const latest = Math.max(...requests.map(({ leaseDeadline, at }) => (leaseDeadline ?? -Infinity) - at))
    assert.ok(latest <= 6000, `the lease ends ${latest} ms after the call`)
  })
}

test('calls to a worker wait less for ten seconds after one that failed, so that the next failure is noticed sooner', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const waits: Array<{ at: number, milliseconds: number }> = []
  let isFailing = false
  const client = {
    hold: async ({ waitMilliseconds }: HoldRequest) => {
      const at = clock.monotonicMilliseconds()
      waits.push({ at, milliseconds: waitMilliseconds })
      await new Promise<void>(resolve => { clock.setTimer(waitMilliseconds + 5, resolve) })
      if (isFailing) return { kind: 'unknown', reason: 'timeout' }
      return { kind: 'reported', report: { workerMilliseconds: at, bornAtMilliseconds: 1, running: [], ended: [] } }
    }
  } as unknown as WorkerClient
  const loop = createLoop(engine, clock, client)
  loop.run()
  await clock.advance(5000)
  isFailing = true
  await clock.advance(2000)
  isFailing = false
  const failedAt = clock.monotonicMilliseconds()
  await clock.advance(20_000)
  loop.stop()
  const getWaits = (from: number, to: number) =>
    [...new Set(waits.filter(({ at }) => at >= from && at < to).map(wait => wait.milliseconds))]
  assert.deepEqual(getWaits(2000, 5000), [1500])
  assert.deepEqual(getWaits(failedAt + 500, failedAt + 7000), [300])
  assert.deepEqual(getWaits(failedAt + 12_000, failedAt + 20_000), [1500])
})

test('a worker that is not reached is called more often while its lease lasts, unless its calls fail at once', async () => {
  for (const { failureMilliseconds, mayRepeat, leasedInterval } of [
    { failureMilliseconds: 300, mayRepeat: false, leasedInterval: 350 },
    { failureMilliseconds: 5, mayRepeat: false, leasedInterval: 200 },
    { failureMilliseconds: 5, mayRepeat: true, leasedInterval: 200 }
  ]) {
    const clock = VirtualClock.create(1000)
    const engine = DispatchEngine.create({ epoch: 1 })
    const calledAt: number[] = []
    const client = {
      hold: async () => {
        const at = clock.monotonicMilliseconds()
        calledAt.push(at)
        const isFailing = calledAt.length > 2
        await new Promise<void>(resolve => { clock.setTimer(isFailing ? failureMilliseconds : 20, resolve) })
        if (isFailing) return { kind: 'unknown', reason: 'connect-timeout' }
        return { kind: 'reported', report: { workerMilliseconds: at, bornAtMilliseconds: 1, running: [], ended: [] } }
      }
    } as unknown as WorkerClient
    const loop = createLoop(engine, clock, client, { tryWithdraw: () => mayRepeat })
    loop.run()
    await clock.advance(20_000)
    loop.stop()
    const getIntervals = (from: number, to: number) => {
      const times = calledAt.filter(at => at >= from && at < to)
      return [...new Set(times.slice(1).map((at, index) => at - times[index]))]
    }
    assert.deepEqual(getIntervals(1200, 6500), [leasedInterval])
    assert.deepEqual(getIntervals(9000, 20_000), [failureMilliseconds + 200])
  }
})
