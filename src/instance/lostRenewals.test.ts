import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import {
  DispatchEngine, type HoldOutcome, type HoldRequest, type LateReportListener, type WorkerClient
} from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const WORKER_COUNT = 20
const CALM_MILLISECONDS = 5000
const LOSSY_MILLISECONDS = 30_000
const SAMPLE_MILLISECONDS = 50
const ROUND_TRIP_MILLISECONDS = 2
const SEEDS = [1, 2, 3, 4, 5, 6]
/** The time limit of a call beyond its wait, as in RunnerClient. */
const CALL_MARGIN_MILLISECONDS = 600

/**
 * Which share of the calls gets no response, and whether the worker executes them at once or 2 to 12 s later. Of calls
 * that are `reset`, the connection fails at once, and they are not executed.
 */
interface Fault {
  lostShare: number
  execution: 'at-once' | 'late' | 'never' | 'reset'
}

const NO_FAULT: Fault = { lostShare: 0, execution: 'at-once' }

/** A worker without runs that keeps its lease, and counts its calls. */
class LossyWorker {
  fault = NO_FAULT
  callCount = 0
  lapseCount = 0
  pendingCount = 0
  highestPendingCount = 0
  private leaseDeadline = Infinity

  constructor (private readonly clock: VirtualClock, private readonly random: () => number) {}

  readonly client = {
    hold: async (request: HoldRequest, _: LateReportListener) => {
      this.callCount++
      this.highestPendingCount = Math.max(this.highestPendingCount, ++this.pendingCount)
      const outcome = await this.hold(request)
      this.pendingCount--
      return outcome
    }
  } as unknown as WorkerClient

  /** Counts the end of the lease once. */
  checkLease (): void {
    if (this.clock.monotonicMilliseconds() <= this.leaseDeadline) return
    this.lapseCount++
    this.leaseDeadline = Infinity
  }

  private async hold (request: HoldRequest): Promise<HoldOutcome> {
    const { clock, random, fault } = this
    if (random() >= fault.lostShare) {
      this.extendLease(request)
      await this.sleep(ROUND_TRIP_MILLISECONDS + request.waitMilliseconds)
      const workerMilliseconds = clock.monotonicMilliseconds()
      return { kind: 'reported', report: { workerMilliseconds, bornAtMilliseconds: 1, running: [], ended: [] } }
    }
    if (fault.execution === 'reset') {
      await this.sleep(ROUND_TRIP_MILLISECONDS)
      return { kind: 'unknown', reason: 'connection reset', isAwaited: false }
    }
    if (fault.execution === 'at-once') this.extendLease(request)
    if (fault.execution === 'late') clock.setTimer(2000 + random() * 10_000, () => this.extendLease(request))
    await this.sleep(request.waitMilliseconds + CALL_MARGIN_MILLISECONDS)
    return { kind: 'unknown', reason: 'timeout', isAwaited: true }
  }

  private extendLease ({ leaseDeadline }: HoldRequest): void {
    this.checkLease()
    if (leaseDeadline === null || leaseDeadline <= this.clock.monotonicMilliseconds()) return
    const isFirst = this.leaseDeadline === Infinity
    this.leaseDeadline = isFirst ? leaseDeadline : Math.max(this.leaseDeadline, leaseDeadline)
  }

  private sleep (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.clock.setTimer(milliseconds, resolve) })
  }
}

interface Measures {
  lapses: number
  inServiceShare: number
  callsPerSecond: number
  /** The calls to each worker in the second half of the time. */
  laterCallsPerSecond: number
  highestPendingCount: number
  /** The time from the beginning of the fault until each worker was marked unreachable, the longest of all. */
  longestDetectionMilliseconds: number
}

/** Plays the leases of workers whose calls fail after a calm time. */
async function play (
  fault: Fault, seed: number, repeats: { tryWithdraw (): boolean } = { tryWithdraw: () => true }
): Promise<Measures> {
  const clock = VirtualClock.create(1000)
  const random = createRandom(seed)
  const engine = DispatchEngine.create({ epoch: 1 })
  const followed = Array.from({ length: WORKER_COUNT }, (_, index) => {
    const lossy = new LossyWorker(clock, random)
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}` }))
    const loop = createLeaseLoop({ worker, engine, client: lossy.client, clock, repeats })
    return { lossy, worker, loop }
  })
  const sum = (getCount: (lossy: LossyWorker) => number) =>
    followed.reduce((total, { lossy }) => total + getCount(lossy), 0)
  for (const { loop } of followed) {
    await clock.advance(70)
    loop.run()
  }
  await clock.advance(CALM_MILLISECONDS)
  for (const { lossy } of followed) Object.assign(lossy, { fault, callCount: 0, highestPendingCount: 0 })
  let samplesInService = 0
  let earlierCallCount = 0
  let longestDetectionMilliseconds = 0
  const detected = new Set<unknown>()
  for (let elapsed = 0; elapsed < LOSSY_MILLISECONDS; elapsed += SAMPLE_MILLISECONDS) {
    await clock.advance(SAMPLE_MILLISECONDS)
    if (elapsed < LOSSY_MILLISECONDS / 2) earlierCallCount = sum(lossy => lossy.callCount)
    for (const { lossy, worker } of followed) {
      lossy.checkLease()
      if (worker.syncState === 'synchronized') samplesInService++
      else if (!detected.has(worker)) {
        detected.add(worker)
        longestDetectionMilliseconds = elapsed + SAMPLE_MILLISECONDS
      }
    }
  }
  for (const { loop } of followed) loop.stop()
  return {
    lapses: sum(lossy => lossy.lapseCount),
    inServiceShare: samplesInService / (WORKER_COUNT * LOSSY_MILLISECONDS / SAMPLE_MILLISECONDS),
    callsPerSecond: sum(lossy => lossy.callCount) / WORKER_COUNT / (LOSSY_MILLISECONDS / 1000),
    laterCallsPerSecond:
      (sum(lossy => lossy.callCount) - earlierCallCount) / WORKER_COUNT / (LOSSY_MILLISECONDS / 2000),
    highestPendingCount: Math.max(...followed.map(({ lossy }) => lossy.highestPendingCount)),
    longestDetectionMilliseconds
  }
}

for (const execution of ['at-once', 'late'] as const) {
  for (const seed of [1, 2, 3]) {
    test(`no lease ends while 80% of the renewals get no response, executed ${execution}, seed ${seed}`, async () => {
      const { lapses, inServiceShare, callsPerSecond } = await play({ lostShare: 0.8, execution }, seed)
      assert.equal(lapses, 0)
      assert.ok(inServiceShare >= 0.75, `in service for ${inServiceShare} of the time`)
      assert.ok(callsPerSecond <= 7, `${callsPerSecond} calls per second`)
    })
  }
}

for (const { lostShare, longestShare } of [
  { lostShare: 0.8, longestShare: 1 / 1000 }, { lostShare: 0.9, longestShare: 1 / 100 }
]) {
  test(`leases rarely end while ${lostShare * 100}% of the renewals get no response and are executed late`, async () => {
    let lapses = 0
    for (const seed of SEEDS) lapses += (await play({ lostShare, execution: 'late' }, seed)).lapses
    const perSecond = lapses / SEEDS.length / WORKER_COUNT / (LOSSY_MILLISECONDS / 1000)
    assert.ok(perSecond <= longestShare, `${perSecond} leases per worker and second`)
  })
}

test('a worker that is cut off is marked unreachable when its first call without a response ends, and then called less', async () => {
  const measures = await play({ lostShare: 1, execution: 'never' }, 1)
  // The call in flight still gets its response; the next one waits and is then given up.
  const limit = 2 * (1500 + ROUND_TRIP_MILLISECONDS + 30) + CALL_MARGIN_MILLISECONDS + SAMPLE_MILLISECONDS
  assert.ok(measures.longestDetectionMilliseconds <= limit, `after ${measures.longestDetectionMilliseconds} ms`)
  assert.ok(measures.laterCallsPerSecond <= 2.6, `${measures.laterCallsPerSecond} calls per second`)
  assert.ok(measures.highestPendingCount <= 6, `${measures.highestPendingCount} calls at the same time`)
})

test('calls without a response are not repeated while the budget is empty', async () => {
  const { highestPendingCount, callsPerSecond } =
    await play({ lostShare: 1, execution: 'never' }, 1, { tryWithdraw: () => false })
  assert.equal(highestPendingCount, 1)
  assert.ok(callsPerSecond <= 1.6, `${callsPerSecond} calls per second`)
})

test('a worker that responds to each call is called once in 1.5 s', async () => {
  const { callsPerSecond, highestPendingCount, inServiceShare } = await play(NO_FAULT, 1)
  assert.ok(callsPerSecond <= 0.67, `${callsPerSecond} calls per second`)
  assert.equal(highestPendingCount, 1)
  assert.equal(inServiceShare, 1)
})

for (const { lostShare, inServiceLimit } of [
  { lostShare: 0.5, inServiceLimit: 0.9 }, { lostShare: 0.8, inServiceLimit: 0.5 }
]) {
  for (const seed of [1, 2, 3]) {
    const title = `${lostShare * 100}% of the connections for renewals are reset at once, seed ${seed}`
    test(`workers stay in service most of the time while ${title}`, async () => {
      const { inServiceShare, callsPerSecond } = await play({ lostShare, execution: 'reset' }, seed)
      assert.ok(inServiceShare >= inServiceLimit, `in service for ${inServiceShare} of the time`)
      assert.ok(callsPerSecond <= 7, `${callsPerSecond} calls per second`)
    })
  }
}

test('a worker whose connections are all reset is soon marked unreachable, and is called five times a second', async () => {
  const measures = await play({ lostShare: 1, execution: 'reset' }, 1)
  // The call in flight gets its response, and the next one is repeated for 0.6 s.
  const limit = 1500 + ROUND_TRIP_MILLISECONDS + 30 + 600 + SAMPLE_MILLISECONDS
  assert.ok(measures.longestDetectionMilliseconds <= limit, `after ${measures.longestDetectionMilliseconds} ms`)
  assert.ok(measures.callsPerSecond <= 5, `${measures.callsPerSecond} calls per second`)
})
