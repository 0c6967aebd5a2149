import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type ListedRun, type OrderOutcome, type StartOrder, type WorkerClient } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { OrderSender } from './OrderSender.js'

const CALL_TIMEOUT_MILLISECONDS = 350
const REPORT_INTERVAL_MILLISECONDS = 500
/** A long-running task must run again within this time. */
const TASK_RESTART_MILLISECONDS = 6000
const BORN_AT_MILLISECONDS = 1

/** Creates an owner of two workers; no order to the first one that is chosen gets a response. */
async function createOwner () {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 1 })
  const orders: Array<{ workerId: string, order: StartOrder }> = []
  const sender = OrderSender.create({
    engine,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    metrics: createTestMetrics(true),
    mayStart: () => true,
    onChange: () => {},
    storeAssignment: async () => true,
    onDeposed: () => {}
  })
  for (const workerId of ['worker-0', 'worker-1']) {
    engine.setWorker(createWorkerEntry({ workerId })).registered = true
  }
  const loseResponse = async (): Promise<OrderOutcome> => {
    await new Promise<void>(resolve => { clock.setTimer(CALL_TIMEOUT_MILLISECONDS, resolve) })
    return { kind: 'unknown', reason: 'timeout' }
  }
  const createClient = (workerId: string) => ({
    start: async (order: StartOrder) => {
      orders.push({ workerId, order })
      return workerId === orders[0].workerId ? await loseResponse() : { kind: 'accepted', workerMilliseconds: null }
    },
    stop: loseResponse
  } as unknown as WorkerClient)
  /** Applies a report of each worker, with the runs that the first one lists, and sends the orders of a plan. */
  const reportAndPlan = (running: ListedRun[] = [], bornAtMilliseconds = BORN_AT_MILLISECONDS) => {
    const now = clock.monotonicMilliseconds()
    for (const worker of engine.workers.values()) {
      const isFirst = worker.entry.workerId === orders[0]?.workerId
      const accepted = [...worker.runs.values()].filter(run => run.confirmedAt !== null)
        .map(run => createListedRun(run.task.name, run.attempt))
      engine.applyReport(worker, {
        workerMilliseconds: now,
        bornAtMilliseconds: isFirst ? bornAtMilliseconds : BORN_AT_MILLISECONDS,
        running: isFirst ? running : accepted,
        ended: []
      }, now - 1, now)
    }
    engine.markDirty()
    engine.plan(now, now, true)
    for (const order of engine.takeOrders()) sender.send(order, createClient(order.worker.entry.workerId))
  }
  reportAndPlan()
  engine.jobs.add({
    submission: createSubmission([{ longRunning: true }]), progress: [], recovered: false
  }, clock.monotonicMilliseconds())
  reportAndPlan()
  await clock.advance(1)
  return { clock, sender, orders, reportAndPlan }
}

type Owner = Awaited<ReturnType<typeof createOwner>>

function createListedRun (taskName: string, attempt: number): ListedRun {
  return { taskName, attempt, checkpoint: '', percent: 100, usageFigure: 0 }
}

async function playReports (
  { clock, reportAndPlan }: Owner, running?: () => ListedRun[], bornAtMilliseconds?: number
): Promise<void> {
  for (let elapsed = 0; elapsed < TASK_RESTART_MILLISECONDS; elapsed += REPORT_INTERVAL_MILLISECONDS) {
    await clock.advance(REPORT_INTERVAL_MILLISECONDS)
    reportAndPlan(running?.(), bornAtMilliseconds)
  }
}

function getAttempts ({ orders }: Owner): number[] {
  return [...new Set(orders.map(({ order }) => order.attempt))]
}

test('a task whose start gets no response starts elsewhere although no stop gets a response', async () => {
  const owner = await createOwner()
  await playReports(owner)
  assert.deepEqual(getAttempts(owner), [1, 2])
  owner.sender.stop()
})

test('a task whose start gets no response starts nowhere else before its worker rejects that start', async () => {
  const owner = await createOwner()
  const { clock, orders, reportAndPlan } = owner
  for (let elapsed = 0; elapsed < TASK_RESTART_MILLISECONDS && orders.at(-1)!.order.attempt === 1; elapsed += 100) {
    await clock.advance(100)
    reportAndPlan()
  }
  assert.equal(orders.at(-1)!.order.attempt, 2)
  const firstOrders = orders.filter(({ order }) => order.attempt === 1)
  const deadline = Math.max(...firstOrders.map(({ order }) => order.leaseDeadline))
  assert.ok(clock.monotonicMilliseconds() > deadline, `${clock.monotonicMilliseconds()} ms, deadline ${deadline} ms`)
  owner.sender.stop()
})

test('a run that is reported after a start without a response starts nowhere else', async () => {
  const owner = await createOwner()
  const { taskName } = owner.orders[0].order
  await playReports(owner, () => [createListedRun(taskName, 1)])
  assert.deepEqual(getAttempts(owner), [1])
  owner.sender.stop()
})

test('a start without a response is not settled by the clock of a later incarnation of its worker', async () => {
  const owner = await createOwner()
  await playReports(owner, undefined, BORN_AT_MILLISECONDS + 1)
  assert.deepEqual(getAttempts(owner), [1])
  owner.sender.stop()
})
