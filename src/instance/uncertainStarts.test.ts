import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import {
  DispatchEngine, type HoldRequest, type ListedRun, type OrderOutcome, type StopConnection, type WorkerClient
} from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

interface PlayOptions {
  taskCount?: number
  /** The runs that the worker reports as running. */
  running?: ListedRun[]
  /** How long the play lasts; two seconds by default. */
  milliseconds?: number
  stop (clock: VirtualClock): Promise<OrderOutcome>
}

/** Plays a worker that has reported, and then has not responded to the starts of all tasks. */
async function play ({ taskCount = 1, running = [], milliseconds = 2000, stop }: PlayOptions) {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const calls: string[] = []
  const reportedAt: number[] = []
  let isFenced = false
  let highestToken = 0
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  const report = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }
  engine.applyReport(worker, report, 990, 1000)
  engine.jobs.add({
    submission: createSubmission([{ taskCount, processorsMilli: 100 }]), progress: [], recovered: false
  }, 1000)
  engine.plan(1000, 1000, true)
  for (const order of engine.takeOrders()) {
    if (order.kind !== 'start') continue
    order.run.sentAt = 1000
    engine.applyStartOutcome(worker, order.run, { kind: 'unknown', reason: 'timeout' }, 1000)
  }
  const stopTimes: number[] = []
  const client = {
    hold: async ({ epoch, waitMilliseconds }: HoldRequest) => {
      calls.push('report')
      reportedAt.push(clock.monotonicMilliseconds())
      highestToken = Math.max(highestToken, epoch)
      await new Promise<void>(resolve => { clock.setTimer(20 + waitMilliseconds, resolve) })
      return {
        kind: 'reported', report: { ...report, workerMilliseconds: clock.monotonicMilliseconds(), running }
      }
    },
    stop: async (taskName: string, attempt: number, _epoch: number, connection: StopConnection) => {
      stopTimes.push(clock.monotonicMilliseconds())
      calls.push(`stop ${taskName}#${attempt} ${connection}`)
      return await stop(clock)
    }
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock, onFenced: () => { isFenced = true } })
  loop.run()
  await clock.advance(milliseconds)
  loop.stop()
  return { calls, runCount: worker.runs.size, isFenced, highestToken, reportedAt, stopTimes }
}

test('a start without a response is settled over the connection for reports while orders get no response', async () => {
  const { calls, runCount } = await play({ stop: async () => ({ kind: 'accepted', workerMilliseconds: null }) })
  assert.deepEqual(calls.slice(0, 3), ['report', 'stop job.0.0.0#1 reports', 'report'])
  assert.equal(calls.filter(call => call !== 'report').length, 1)
  assert.equal(runCount, 0)
})

test('a run that is reported after a start without a response is not stopped over the connection for reports', async () => {
  const listed = { taskName: 'job.0.0.0', attempt: 1, checkpoint: '', percent: 10, usageFigure: 100 }
  const { calls, runCount } = await play({
    running: [listed], stop: async () => ({ kind: 'accepted', workerMilliseconds: null })
  })
  assert.deepEqual(new Set(calls), new Set(['report']))
  assert.equal(runCount, 1)
})

test('one stop without a response precedes the next report, and no run counts as over', async () => {
  const { calls, runCount } = await play({ taskCount: 3, stop: async () => ({ kind: 'unknown', reason: 'timeout' }) })
  assert.deepEqual(calls.slice(0, 4), ['report', 'stop job.0.0.0#1 reports', 'report', 'stop job.0.0.0#1 reports'])
  assert.equal(runCount, 3)
})

test('a stop that a worker rejects with an old epoch deposes the owner', async () => {
  const { calls, runCount, isFenced } = await play({ stop: async () => ({ kind: 'fenced' }) })
  assert.deepEqual(calls, ['report', 'stop job.0.0.0#1 reports'])
  assert.equal(isFenced, true)
  assert.equal(runCount, 1)
})

test('starts whose stops get no response for seconds are settled by a report to a call with a higher token', async () => {
  const { runCount, highestToken, isFenced } = await play({
    taskCount: 3, milliseconds: 8000, stop: async () => ({ kind: 'unknown', reason: 'timeout' })
  })
  assert.equal(runCount, 0)
  assert.equal(highestToken, 2)
  assert.equal(isFenced, false)
})

test('a run that is reported to a call with a higher token is not over', async () => {
  const listed = { taskName: 'job.0.0.0', attempt: 1, checkpoint: '', percent: 10, usageFigure: 100 }
  const { runCount } = await play({
    taskCount: 3, running: [listed], milliseconds: 8000, stop: async () => ({ kind: 'unknown', reason: 'timeout' })
  })
  assert.equal(runCount, 1)
})

test('a stop without a response delays the next renewal by no more than the time that responses usually take', async () => {
  const { reportedAt, stopTimes } = await play({
    taskCount: 3,
    milliseconds: 1500,
    stop: async clock => {
      await new Promise<void>(resolve => { clock.setTimer(350, resolve) })
      return { kind: 'unknown', reason: 'timeout' }
    }
  })
  assert.ok(stopTimes.length >= 2)
  for (const stoppedAt of stopTimes) {
    const next = reportedAt.find(at => at > stoppedAt) ?? Infinity
    // The initial estimate of the response time, and the pause between two calls.
    assert.ok(next - stoppedAt <= 150 + 30, `called ${next - stoppedAt} ms after the stop`)
  }
})
