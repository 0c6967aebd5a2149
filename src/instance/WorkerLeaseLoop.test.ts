import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldRequest, type WorkerClient } from '../dispatch/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { WorkerLeaseLoop } from './WorkerLeaseLoop.js'

/** Creates the loop of a worker that answers each call as the test decides. */
function createLoop (
  engine: DispatchEngine, clock: VirtualClock, client: WorkerClient, onReport: () => void = () => {}
): WorkerLeaseLoop {
  return WorkerLeaseLoop.create({
    worker: engine.setWorker(createWorkerEntry()),
    engine,
    client,
    clock,
    leaseMilliseconds: 6000,
    logger: silentLogger,
    endedRuns: BatchedLog.create({ clock, logger: silentLogger, message: 'ended runs applied' }),
    errors: createTestErrors(clock),
    metrics: createTestMetrics(true),
    mayRenewLeases: () => true,
    prepareReport: async () => {},
    onReport,
    onFenced: () => {},
    waitForDurability: async () => {}
  })
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

/** Plays a loop with a worker that answers some calls, and records each call with the owner's lease deadline. */
async function playCalls (answer: (callCount: number) => { bornAtMilliseconds: number } | null, milliseconds: number) {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  const calls: Array<{ at: number, sent: number | null, known: number, acknowledged: number }> = []
  const client = {
    hold: async ({ leaseDeadline, acknowledgedCompletion }: HoldRequest) => {
      const at = clock.monotonicMilliseconds()
      calls.push({ at, sent: leaseDeadline, known: worker.leaseDeadline, acknowledged: acknowledgedCompletion })
      const answered = answer(calls.length)
      await new Promise<void>(resolve => { clock.setTimer(answered === null ? 600 : 20, resolve) })
      if (answered === null) return { kind: 'unknown', reason: 'timeout' }
      return { kind: 'reported', report: { workerMilliseconds: at, running: [], ended: [], ...answered } }
    }
  } as unknown as WorkerClient
  const knownAfterReports: number[] = []
  const loop = createLoop(engine, clock, client, () => knownAfterReports.push(worker.leaseDeadline))
  loop.run()
  await clock.advance(milliseconds)
  loop.stop()
  return { calls, worker, knownAfterReports }
}

test('a renewal without an answer is repeated with the same deadline until that has passed, and then without one', async () => {
  const { calls } = await playCalls(callCount => callCount <= 2 ? { bornAtMilliseconds: 1 } : null, 12_000)
  const [, , lost, ...repeated] = calls
  const withDeadline = repeated.filter(({ sent }) => sent !== null)
  assert.ok(withDeadline.length >= 5, `${withDeadline.length} repetitions`)
  assert.deepEqual([...new Set(withDeadline.map(({ sent }) => sent))], [lost.sent])
  const passed = repeated.filter(({ sent }) => sent === null)
  assert.ok(passed.length >= 5 && passed.every(({ at }) => at >= lost.sent! - 1))
  assert.ok(repeated.every(({ known, acknowledged }) => known === lost.sent && acknowledged === 0))
})

test('only an answer leads to a later deadline, and the owner knows each deadline before it is sent', async () => {
  const { calls } = await playCalls(callCount => callCount % 3 === 0 ? null : { bornAtMilliseconds: 1 }, 30_000)
  assert.ok(calls.length > 20)
  for (const [index, { sent, known }] of calls.entries()) {
    assert.ok(sent === null || sent <= known)
    if (index > 2 && index % 3 === 0) assert.equal(sent, calls[index - 1].sent)
    if (index > 2 && index % 3 === 1) assert.ok(sent! > calls[index - 1].sent!)
  }
})

test('no renewal is repeated to a worker that a stored record names as unreached', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  const sent: Array<number | null> = []
  const client = {
    hold: async ({ leaseDeadline }: HoldRequest) => {
      sent.push(leaseDeadline)
      await new Promise<void>(resolve => { clock.setTimer(20, resolve) })
      if (sent.length > 2) return { kind: 'unknown', reason: 'timeout' }
      return { kind: 'reported', report: { workerMilliseconds: 5000, bornAtMilliseconds: 1, running: [], ended: [] } }
    }
  } as unknown as WorkerClient
  const loop = createLoop(engine, clock, client)
  loop.run()
  await clock.advance(1500)
  const repeatedCount = sent.filter(deadline => deadline !== null).length
  assert.ok(repeatedCount > 3)
  engine.unreached.createRecord(new Map(), clock.monotonicMilliseconds())
  assert.equal(worker.isRecordedUnreached, true)
  await clock.advance(1500)
  loop.stop()
  assert.equal(sent.filter(deadline => deadline !== null).length, repeatedCount)
})

test('a new incarnation that answers a repeated renewal holds no lease that the owner does not know', async () => {
  const { calls, worker, knownAfterReports } = await playCalls(callCount => {
    if (callCount <= 2) return { bornAtMilliseconds: 1 }
    return callCount === 5 ? { bornAtMilliseconds: 500 } : null
  }, 4200)
  const repeated = calls[4]
  assert.equal(repeated.sent, calls[2].sent)
  assert.equal(worker.entry.bornAtMilliseconds, 500)
  assert.ok(knownAfterReports[2] >= repeated.sent!)
})
