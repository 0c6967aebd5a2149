import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import {
  DispatchEngine, type HoldOutcome, type HoldRequest, type LateReportListener, type WorkerClient, type WorkerReport
} from '../dispatch/index.js'
import type { StepSpecification } from '../jobs/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const LEASE = 6000
const CALL_MARGIN = 600
const STEP = 10

/** The time limit of RunnerClient.hold, with a response that is still awaited on its connection. */
const AWAITED: HoldOutcome = { kind: 'unknown', reason: 'timeout', isAwaited: true }
const UNREACHED: HoldOutcome = { kind: 'unknown', reason: 'connect-timeout', isAwaited: false }

function sleep (clock: VirtualClock, milliseconds: number): Promise<void> {
  return new Promise(resolve => { clock.setTimer(milliseconds, resolve) })
}

test('a worker of an earlier owner that accepts calls and answers none delays other tasks for two leases at most', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 2 })
  const worker = engine.setWorker(createWorkerEntry())
  engine.unreconciled.add('worker-0', 1000 + LEASE)
  const client = {
    hold: async (request: HoldRequest) => {
      await sleep(clock, request.waitMilliseconds + CALL_MARGIN)
      return AWAITED
    }
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock })
  loop.run()
  let reconciledAfter = Infinity
  for (let elapsed = 0; elapsed < 120_000; elapsed += 100) {
    await clock.advance(100)
    engine.plan(clock.monotonicMilliseconds(), 0, true)
    if (engine.unreconciled.isEmpty && reconciledAfter === Infinity) reconciledAfter = elapsed
  }
  loop.stop()
  assert.ok(reconciledAfter < 2 * LEASE + 2000, `reconciled after ${reconciledAfter} ms`)
})

interface Played {
  starts: Array<{ at: number, worker: string, attempt: number }>
  deadlines: Array<{ at: number, deadline: number | null }>
}

interface CallPlan {
  /** A response within the time limit of the call. */
  answer?: WorkerReport
  /** A response that arrives this long after the time of the call. */
  late?: { afterMilliseconds: number, report: WorkerReport }
}

/** Plays one task on worker-0, whose calls after the first report of the run are answered as planned. */
async function play (
  step: Partial<StepSpecification>, getCalls: (taskName: string) => CallPlan[], milliseconds: number
): Promise<Played> {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const report = (at: number): WorkerReport => {
    return { workerMilliseconds: at, bornAtMilliseconds: 1, running: [], ended: [] }
  }
  const worker = engine.setWorker(createWorkerEntry())
  const spare = engine.setWorker(createWorkerEntry({ workerId: 'worker-1' }))
  worker.registered = true
  spare.registered = true
  engine.applyReport(worker, report(990), 980, 990)
  engine.jobs.add({ submission: createSubmission([step]), progress: [], recovered: false }, 0)
  engine.plan(1000, 1000, true)
  const [order] = engine.takeOrders()
  assert.ok(order?.kind === 'start' && order.worker === worker)
  order.run.sentAt = 1000
  const taskName = order.run.task.name
  const calls = getCalls(taskName)
  const played: Played = { starts: [], deadlines: [] }
  const client = {
    hold: async (request: HoldRequest, lateReports?: LateReportListener) => {
      const at = clock.monotonicMilliseconds()
      played.deadlines.push({ at, deadline: request.leaseDeadline })
      const call = calls.shift()
      if (call?.answer !== undefined) {
        await sleep(clock, 5)
        return { kind: 'reported', report: { ...call.answer, workerMilliseconds: clock.monotonicMilliseconds() } }
      }
      if (call?.late !== undefined) {
        const { late } = call
        clock.setTimer(late.afterMilliseconds, () => lateReports?.onOutcome({ kind: 'reported', report: late.report }))
        await sleep(clock, request.waitMilliseconds + CALL_MARGIN)
        return AWAITED
      }
      await sleep(clock, 300)
      return UNREACHED
    },
    stop: async () => UNREACHED
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock })
  loop.run()
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP) {
    await clock.advance(STEP)
    const now = clock.monotonicMilliseconds()
    if (elapsed % 500 === 0) {
      const running = [...spare.runs.values()].map(run => createRow(run.task.name, run.attempt))
      engine.applyReport(spare, { ...report(now), running }, now - 1, now)
    }
    engine.plan(now, now, true)
    for (const started of engine.takeOrders()) {
      if (started.kind !== 'start') continue
      started.run.sentAt = now
      played.starts.push({ at: now, worker: started.worker.entry.workerId, attempt: started.run.attempt })
    }
  }
  loop.stop()
  return played
}

function createRow (taskName: string, attempt: number) {
  return { taskName, attempt, checkpoint: '', percent: 50, usageFigure: 0 }
}

test('no task starts again after an end listed in a late report that a report of a later call has overtaken', async () => {
  const { starts } = await play({}, taskName => {
    const running = { workerMilliseconds: 3000, bornAtMilliseconds: 1, running: [createRow(taskName, 1)], ended: [] }
    const ended = {
      workerMilliseconds: 5000,
      bornAtMilliseconds: 1,
      running: [],
      ended: [{ number: 1, taskName, attempt: 1, end: 'done' as const, checkpoint: '' }]
    }
    return [
      { answer: running },
      // This call reaches the worker after the next one, so only its response lists the end.
      { late: { afterMilliseconds: 5000, report: ended } },
      { late: { afterMilliseconds: 1000, report: running } }
    ]
  }, 30_000)
  assert.deepEqual(starts, [])
})

for (const lateCount of [0, 1, 2]) {
  test(`a long-running task starts again within 6 s of the end of its lease with ${lateCount} late reports of its run`, async () => {
    const { starts, deadlines } = await play({ longRunning: true }, taskName => {
      const running = { workerMilliseconds: 1100, bornAtMilliseconds: 1, running: [createRow(taskName, 1)], ended: [] }
      const late = { late: { afterMilliseconds: LEASE - 100, report: running } }
      return [{ answer: running }, ...Array<CallPlan>(lateCount).fill(late)]
    }, 30_000)
    // The worker has received no deadline after that of its last timely call and of the calls it reported late.
    const received = deadlines.slice(0, 1 + Math.max(1, lateCount)).map(({ deadline }) => deadline ?? 0)
    const leaseEndsAt = Math.max(...received)
    const away = (starts[0]?.at ?? Infinity) - leaseEndsAt
    assert.ok(away < 6000, `away for ${away} ms after the end of the lease`)
  })
}
