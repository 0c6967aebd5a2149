import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestBudget } from '../../stand-ins/platform/createTestBudget.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import {
  DispatchEngine, type HoldOutcome, type OrderOutcome, type WorkerClient, type WorkerReport
} from '../dispatch/index.js'
import type { StepSpecification } from '../jobs/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { OrderSender } from './OrderSender.js'
import { WorkerLeaseLoop } from './WorkerLeaseLoop.js'

const LEASE_MILLISECONDS = 6000
const WORKER_CLOCK_OFFSET = 50_000

/** The test's implementation of the calls to one worker. */
interface FakeCalls {
  hold (): HoldOutcome
  start (taskName: string, attempt: number): Promise<OrderOutcome>
}

function createClient (clock: VirtualClock, calls: FakeCalls): WorkerClient {
  return {
    hold: async () => {
      await new Promise<void>(resolve => { clock.setTimer(50, resolve) })
      return calls.hold()
    },
    start: async order => await calls.start(order.taskName, order.attempt),
    stop: async () => ({ kind: 'accepted', workerMilliseconds: null }),
    setPace: async () => ({ kind: 'accepted', workerMilliseconds: null }),
    close: () => {}
  }
}

function createReport (clock: VirtualClock, fields: Partial<WorkerReport>): HoldOutcome {
  const workerMilliseconds = clock.monotonicMilliseconds() + WORKER_CLOCK_OFFSET
  return { kind: 'reported', report: { workerMilliseconds, bornAtMilliseconds: 1, running: [], ended: [], ...fields } }
}

/** Creates an owner that plans every 100 ms and whose worker calls are handled by the test. */
function createOwner (
  workerCalls: Array<(clock: VirtualClock) => FakeCalls>, steps: Array<Partial<StepSpecification>>, recovered = false
) {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const metrics = createTestMetrics(true)
  const common = { engine, clock, logger: silentLogger, metrics, errors: createTestErrors(clock) }
  const sender = OrderSender.create({
    ...common,
    repeats: createTestBudget(clock),
    mayStart: () => true,
    onChange: () => engine.markDirty(),
    storeAssignment: async () => true,
    onDeposed: () => {}
  })
  const clients = new Map<string, WorkerClient>()
  for (const [index, createCalls] of workerCalls.entries()) {
    const worker = engine.setWorker(createWorkerEntry({
      workerId: `worker-${index}`,
      capacity: { processorsMilli: 64_000, memoryMegabytes: 64_000, accelerators: 0 }
    }))
    worker.registered = true
    const client = createClient(clock, createCalls(clock))
    clients.set(worker.entry.workerId, client)
    WorkerLeaseLoop.create({
      ...common,
      endedRuns: BatchedLog.create({ clock, logger: silentLogger, message: 'ended runs applied' }),
      worker,
      client,
      leaseMilliseconds: LEASE_MILLISECONDS,
      repeats: { tryWithdraw: () => true },
      mayRenewLeases: () => true,
      prepareReport: async () => {},
      onReport: () => {},
      onFenced: () => {},
      waitForDurability: async () => { worker.durableCompletion = worker.appliedCompletion }
    }).run()
  }
  engine.jobs.add({
    submission: createSubmission(steps),
    progress: [],
    recovered
  }, clock.monotonicMilliseconds())
  if (recovered) {
    const expiresAt = clock.monotonicMilliseconds() + LEASE_MILLISECONDS
    for (const workerId of clients.keys()) engine.unreconciled.add(workerId, expiresAt)
  }
  const plan = () => {
    const now = clock.monotonicMilliseconds()
    engine.markDirty()
    engine.plan(now, now, true)
    for (const order of engine.takeOrders()) sender.send(order, clients.get(order.worker.entry.workerId)!)
    clock.setTimer(100, plan)
  }
  plan()
  return { clock, engine }
}

test('a task that is done is not started again after calls to its worker failed for longer than a lease', async () => {
  const started: string[] = []
  let isStarted = false
  let canReachWorker = true
  let isDone = false
  const run = { taskName: 'job.0.0.0', attempt: 1, checkpoint: '' }
  const first = (clock: VirtualClock): FakeCalls => ({
    hold: () => {
      if (!canReachWorker) return { kind: 'not-sent', reason: 'timeout' }
      if (!isStarted) return createReport(clock, {})
      if (isDone) return createReport(clock, { ended: [{ ...run, number: 1, end: 'done' }] })
      return createReport(clock, { running: [{ ...run, percent: 50, usageFigure: 1000 }] })
    },
    start: async (taskName, attempt) => {
      started.push(`${taskName}#${attempt}`)
      isStarted = true
      return { kind: 'accepted', workerMilliseconds: null }
    }
  })
  const startedElsewhere: number[] = []
  const other = (clock: VirtualClock): FakeCalls => ({
    hold: () => createReport(clock, {
      running: startedElsewhere.map(attempt => ({ ...run, attempt, percent: 50, usageFigure: 1000 }))
    }),
    start: async (taskName, attempt) => {
      started.push(`${taskName}#${attempt} elsewhere`)
      startedElsewhere.push(attempt)
      return { kind: 'accepted', workerMilliseconds: null }
    }
  })
  const { clock, engine } = createOwner([first, other], [{}])
  await clock.advance(500)
  assert.deepEqual(started, ['job.0.0.0#1'])
  isDone = true
  canReachWorker = false
  await clock.advance(8000)
  canReachWorker = true
  await clock.advance(1000)
  assert.deepEqual(started, ['job.0.0.0#1'])
  assert.equal(engine.jobs.getJob('job')?.finalState, 'completed')
})

test('queued starts are not sent after their job was cancelled', async () => {
  const started: string[] = []
  const answers: Array<() => void> = []
  const worker = (clock: VirtualClock): FakeCalls => ({
    hold: () => createReport(clock, {
      running: started.map(taskName => ({ taskName, attempt: 1, checkpoint: '', percent: 50, usageFigure: 1000 }))
    }),
    start: async taskName => {
      started.push(taskName)
      return await new Promise(resolve => {
        answers.push(() => resolve({ kind: 'accepted', workerMilliseconds: null }))
      })
    }
  })
  const { clock, engine } = createOwner([worker], [{ taskCount: 20 }])
  await clock.advance(300)
  const inFlight = started.length
  engine.cancelJob('job')
  for (const answer of answers) answer()
  await clock.advance(300)
  assert.ok(inFlight > 0 && inFlight < 20, `${inFlight} starts were in flight to one worker`)
  assert.equal(started.length, inFlight)
  assert.equal([...engine.workers.values()][0].runs.size <= inFlight, true)
})

test('a new owner restarts no task that is done after calls to its worker failed for longer than a lease', async () => {
  const started: string[] = []
  let canReachWorker = false
  const unreachable = (clock: VirtualClock): FakeCalls => ({
    hold: () => {
      if (!canReachWorker) return { kind: 'not-sent', reason: 'timeout' }
      const end = { number: 1, taskName: 'job.0.0.0', attempt: 1, end: 'done' as const, checkpoint: '' }
      return createReport(clock, { ended: [end] })
    },
    start: async () => ({ kind: 'not-sent', reason: 'timeout' })
  })
  const other = (clock: VirtualClock): FakeCalls => ({
    hold: () => createReport(clock, {}),
    start: async taskName => {
      started.push(taskName)
      return { kind: 'accepted', workerMilliseconds: null }
    }
  })
  const { clock, engine } = createOwner([unreachable, other], [{}], true)
  await clock.advance(LEASE_MILLISECONDS + 2000)
  canReachWorker = true
  await clock.advance(1000)
  assert.deepEqual(started, [])
  assert.equal(engine.jobs.getJob('job')?.finalState, 'completed')
})
