import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLeaseLoop } from '../../stand-ins/platform/createLeaseLoop.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestDispatcher } from '../../stand-ins/platform/createTestDispatcher.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldOutcome, type ListedRun, type WorkerClient } from '../dispatch/index.js'
import { ErrorBoundary } from '../shared/ErrorBoundary.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'

/** The worker is cut off after this many reports of its new process. */
const CUT_REPORT_COUNT = 1
/** The time that a list of the live workers takes. */
const LIST_MILLISECONDS = 700

function createReport (born: number, workerMilliseconds: number, running: ListedRun[]): HoldOutcome {
  return { kind: 'reported', report: { workerMilliseconds, bornAtMilliseconds: born, running, ended: [] } }
}

function createRow (attempt: number): ListedRun {
  return { taskName: 'job.0.0.0', attempt, checkpoint: '', percent: 50, usageFigure: 0 }
}

test('a list of live workers that was read before a process reported does not end its runs', async () => {
  const clock = VirtualClock.create(1000)
  const workers = new Map([['worker-0', createWorkerEntry({ bornAtMilliseconds: 1 })]])
  let phase: 'one' | 'down' | 'two' | 'cut' = 'one'
  let reportCount = 0
  let requestCount = 0
  let isJobKnown = false
  const pause = (milliseconds: number) => new Promise<void>(resolve => { clock.setTimer(milliseconds, resolve) })
  const dispatcher = createTestDispatcher({
    clock,
    workers,
    hold: async () => {
      await pause(10)
      if (phase === 'one') return createReport(1, clock.monotonicMilliseconds(), isJobKnown ? [createRow(1)] : [])
      if (phase !== 'two') {
        await pause(600)
        return { kind: 'unknown', reason: 'timeout' }
      }
      if (++reportCount === CUT_REPORT_COUNT) phase = 'cut'
      return createReport(2, clock.monotonicMilliseconds() - 3000, [createRow(2)])
    },
    listLiveWorkers: async () => {
      requestCount++
      // The machine is down when the list is read; the response takes its time.
      const value = new Set(phase === 'down' ? [] : ['worker-0'])
      await pause(LIST_MILLISECONDS)
      return { kind: 'ok', value }
    }
  })
  dispatcher.run()
  await clock.advance(500)
  dispatcher.engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 0)
  isJobKnown = true
  await clock.advance(1000)
  const worker = dispatcher.engine.workers.get('worker-0')!
  assert.equal(worker.runs.size, 1)
  phase = 'down'
  const isRequested = () => requestCount > 0
  while (!isRequested()) await clock.advance(10)
  await clock.advance(300)
  phase = 'two'
  await clock.advance(4000)
  assert.equal(reportCount, CUT_REPORT_COUNT)
  assert.deepEqual([...worker.runs.keys()], ['job.0.0.0#2'], `at ${clock.monotonicMilliseconds()}`)
  dispatcher.stop()
})

test('a worker whose list entry lags behind a process with an earlier start time is called with few tokens', async () => {
  const clock = VirtualClock.create(1000)
  // The clock of the machine was set back, so that the new process has an earlier start time than the listed one.
  const workers = new Map([['worker-0', createWorkerEntry({ bornAtMilliseconds: 10_000 })]])
  const deadlines: Array<number | null> = []
  const dispatcher = createTestDispatcher({
    clock,
    workers,
    hold: async request => {
      deadlines.push(request.leaseDeadline)
      await new Promise<void>(resolve => { clock.setTimer(10, resolve) })
      return createReport(5000, clock.monotonicMilliseconds(), [])
    }
  })
  dispatcher.run()
  await clock.advance(10_000)
  const worker = dispatcher.engine.workers.get('worker-0')!
  const leases = deadlines.filter(at => at !== null).length
  const seen = { raises: worker.tokenRaiseCount, state: worker.syncState, leases }
  dispatcher.stop()
  assert.ok(seen.raises < 20 && seen.state === 'synchronized' && seen.leases > 0, JSON.stringify(seen))
})

test('an error in a call that was given up is confined', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  let callCount = 0
  const client = {
    hold: async () => {
      const isFirst = callCount++ === 0
      await new Promise<void>(resolve => { clock.setTimer(500, resolve) })
      if (isFirst) throw new Error('unexpected')
      return createReport(1, 1000, [])
    }
  } as unknown as WorkerClient
  const confined: string[] = []
  const errors = ErrorBoundary.create({ clock, logger: silentLogger, onError: activity => { confined.push(activity) } })
  const loop = createLeaseLoop({ worker, engine, client, clock, errors, repeats: { tryWithdraw: () => false } })
  const rejections: unknown[] = []
  const listener = (error: unknown) => { rejections.push(error) }
  process.on('unhandledRejection', listener)
  loop.run()
  await clock.advance(100)
  loop.callNow()
  await clock.advance(1000)
  await new Promise(resolve => setImmediate(resolve))
  loop.stop()
  process.off('unhandledRejection', listener)
  assert.deepEqual([rejections, confined], [[], ['late-report']])
})

test('a report to a call that was sent before the process had ended brings none of its runs back', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  engine.jobs.add({ submission: createSubmission([{}]), progress: [], recovered: false }, 0)
  let delay = 10
  const client = {
    hold: async () => {
      await new Promise<void>(resolve => { clock.setTimer(delay, resolve) })
      return createReport(1, clock.monotonicMilliseconds(), [createRow(1)])
    }
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock, repeats: { tryWithdraw: () => false } })
  loop.run()
  await clock.advance(200)
  assert.equal(worker.runs.size, 1)
  delay = 500
  await clock.advance(200)
  engine.markUnreachable(worker, null)
  engine.confirmWorkerExited(worker, clock.monotonicMilliseconds())
  assert.equal(worker.runs.size, 0)
  delay = 100_000
  await clock.advance(1000)
  loop.stop()
  assert.deepEqual([worker.runs.size, worker.hasProcessEnded, worker.syncState], [0, true, 'unreachable'])
})

test('the response to a call that was given up within its time limit is not a late one', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  engine.unreconciled.add('worker-0', 5000)
  const client = {
    hold: async () => {
      await new Promise<void>(resolve => { clock.setTimer(20, resolve) })
      return createReport(1, clock.monotonicMilliseconds(), [])
    }
  } as unknown as WorkerClient
  const loop = createLeaseLoop({ worker, engine, client, clock })
  loop.run()
  await clock.advance(10)
  loop.callNow()
  await clock.advance(200)
  loop.stop()
  assert.equal(worker.lateReportAt, -Infinity)
})
