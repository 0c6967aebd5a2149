import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { OrderOutcome, WorkerClient } from '../../src/dispatch/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { EmulatedConnections, type ExpiredCalls } from './EmulatedConnections.js'
import { EmulatedProcessor } from './EmulatedProcessor.js'
import { WorkerPaths } from './WorkerPaths.js'

const LATENCY_MILLISECONDS = 100

function createConnections (expiredCalls: ExpiredCalls) {
  const clock = VirtualClock.create()
  const processor = EmulatedProcessor.create({ clock, share: 1 })
  const counts = { opened: 0, calls: 0, expiredUnsent: 0, expiredSent: 0 }
  const stopped: string[] = []
  const worker = {
    stop: async (taskName: string): Promise<OrderOutcome> => {
      stopped.push(taskName)
      await new Promise<void>(resolve => { clock.setTimer(LATENCY_MILLISECONDS, resolve) })
      return { kind: 'accepted', workerMilliseconds: 0 }
    }
  } as unknown as WorkerClient
  const paths = WorkerPaths.create({ clock, random: createRandom(1) })
  const state: { incarnation: number | null } = { incarnation: 1 }
  const connections = EmulatedConnections.create({
    worker,
    paths,
    getIncarnation: () => state.incarnation,
    processor,
    clock,
    expiredCalls,
    counts,
    isAlive: () => true,
    onStart: () => {},
    countQueuedJobs: () => 0
  })
  const sendStops = async (count: number) =>
    await Promise.all(Array.from({ length: count }, (_, index) => connections.stop(`task-${index}`, 1, 1)))
  return { clock, counts, stopped, sendStops, paths, state }
}

function countKinds (outcomes: OrderOutcome[]): Record<string, number> {
  const kinds: Record<string, number> = {}
  for (const { kind } of outcomes) kinds[kind] = (kinds[kind] ?? 0) + 1
  return kinds
}

test('queues calls beyond the connection limit and reuses open connections', async () => {
  const { clock, counts, sendStops } = createConnections('destroys-connection')
  const pending = sendStops(7)
  await clock.advance(1000)
  assert.deepEqual(countKinds(await pending), { accepted: 7 })
  assert.deepEqual(counts, { opened: 3, calls: 7, expiredUnsent: 0, expiredSent: 0 })
})

/** Sends more calls at once than can be answered within the time-out, and then a few more. */
async function overload (expiredCalls: ExpiredCalls, count: number) {
  const { clock, counts, stopped, sendStops } = createConnections(expiredCalls)
  const first = sendStops(count)
  await clock.advance(1000)
  const kinds = countKinds(await first)
  const sentCount = stopped.length
  const second = sendStops(3)
  await clock.advance(1000)
  assert.deepEqual(countKinds(await second), { accepted: 3 })
  return { kinds, sentCount, counts }
}

test('with destroys-connection, a queued call that expires is not sent and destroys its assigned connection', async () => {
  assert.deepEqual(await overload('destroys-connection', 15), {
    kinds: { accepted: 9, unknown: 6 },
    sentCount: 12,
    counts: { opened: 9, calls: 15, expiredUnsent: 3, expiredSent: 3 }
  })
})

test('with leaves-queue, expired calls use no connection and sent calls have their full time-out', async () => {
  assert.deepEqual(await overload('leaves-queue', 90), {
    kinds: { accepted: 48, 'not-sent': 42 },
    sentCount: 48,
    counts: { opened: 12, calls: 51, expiredUnsent: 42, expiredSent: 0 }
  })
})

test('a connection that does not open in time is given up, and its call is not sent', async () => {
  const { clock, counts, stopped, sendStops, paths } = createConnections('leaves-queue')
  paths.setLoss({ fromWorker: 1 })
  const first = sendStops(1)
  await clock.advance(310)
  assert.deepEqual(await first, [{ kind: 'not-sent', reason: 'connect-timeout', hasConnectionFailed: true }])
  paths.setLoss({})
  const second = sendStops(1)
  await clock.advance(150)
  assert.deepEqual(countKinds(await second), { accepted: 1 })
  await clock.advance(5000)
  assert.deepEqual(stopped, ['task-0'])
  assert.equal(counts.opened, 2)
})

test('an order is executed after its client has given up, unless the worker process has ended', async () => {
  for (const endsProcess of [false, true]) {
    const { clock, counts, stopped, sendStops, paths, state } = createConnections('leaves-queue')
    const first = sendStops(1)
    await clock.advance(200)
    assert.deepEqual(countKinds(await first), { accepted: 1 })
    paths.setLoss({ toWorker: 1 })
    const second = sendStops(1)
    await clock.advance(500)
    assert.deepEqual(await second, [{ kind: 'unknown', reason: 'timeout' }])
    assert.deepEqual(stopped, ['task-0'])
    paths.setLoss({})
    if (endsProcess) state.incarnation = 2
    await clock.advance(500)
    assert.deepEqual(stopped, endsProcess ? ['task-0'] : ['task-0', 'task-0'])
    assert.equal(counts.expiredSent, 1)
  }
})

test('an order whose response is lost is executed once and has no known outcome', async () => {
  const { clock, stopped, sendStops, paths } = createConnections('leaves-queue')
  const first = sendStops(1)
  await clock.advance(200)
  await first
  paths.setLoss({ fromWorker: 1 }, 'orders')
  const second = sendStops(1)
  await clock.advance(500)
  assert.deepEqual(await second, [{ kind: 'unknown', reason: 'timeout' }])
  assert.deepEqual(stopped, ['task-0', 'task-0'])
})
