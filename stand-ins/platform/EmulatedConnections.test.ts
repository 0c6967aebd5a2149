import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { OrderOutcome, WorkerClient } from '../../src/dispatch/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EmulatedConnections, type ExpiredCalls } from './EmulatedConnections.js'
import { EmulatedProcessor } from './EmulatedProcessor.js'

const LATENCY_MILLISECONDS = 100

function createConnections (expiredCalls: ExpiredCalls) {
  const clock = VirtualClock.create()
  const processor = EmulatedProcessor.create({ clock, share: 1 })
  const counts = { opened: 0, expiredUnsent: 0, expiredSent: 0 }
  const stopped: string[] = []
  const worker = {
    stop: async (taskName: string): Promise<OrderOutcome> => {
      stopped.push(taskName)
      await new Promise<void>(resolve => { clock.setTimer(LATENCY_MILLISECONDS, resolve) })
      return { kind: 'accepted', workerMilliseconds: 0 }
    }
  } as unknown as WorkerClient
  const connections = EmulatedConnections.create({
    worker, processor, clock, expiredCalls, counts, isAlive: () => true, countQueuedJobs: () => 0
  })
  const sendStops = async (count: number) =>
    await Promise.all(Array.from({ length: count }, (_, index) => connections.stop(`task-${index}`, 1, 1)))
  return { clock, counts, stopped, sendStops }
}

function countKinds (outcomes: OrderOutcome[]): Record<string, number> {
  const kinds: Record<string, number> = {}
  for (const { kind } of outcomes) kinds[kind] = (kinds[kind] ?? 0) + 1
  return kinds
}

test('calls beyond the limit of connections wait, and use those that are open', async () => {
  const { clock, counts, sendStops } = createConnections('destroys-connection')
  const pending = sendStops(7)
  await clock.advance(1000)
  assert.deepEqual(countKinds(await pending), { accepted: 7 })
  assert.deepEqual(counts, { opened: 3, expiredUnsent: 0, expiredSent: 0 })
})

/** Sends more calls than can be answered in time, and then a few more. */
async function overload (expiredCalls: ExpiredCalls) {
  const { clock, counts, stopped, sendStops } = createConnections(expiredCalls)
  const first = sendStops(15)
  await clock.advance(1000)
  const kinds = countKinds(await first)
  const sentCount = stopped.length
  const second = sendStops(3)
  await clock.advance(1000)
  assert.deepEqual(countKinds(await second), { accepted: 3 })
  return { kinds, sentCount, counts }
}

test('a call that expires while it waits is not sent, and destroys the connection that it is given', async () => {
  assert.deepEqual(await overload('destroys-connection'), {
    kinds: { accepted: 9, unknown: 6 }, sentCount: 12, counts: { opened: 9, expiredUnsent: 3, expiredSent: 3 }
  })
})

test('a call that leaves the queue uses no connection, and a call that was sent has its whole time', async () => {
  assert.deepEqual(await overload('leaves-queue'), {
    kinds: { accepted: 8, 'not-sent': 7 }, sentCount: 8, counts: { opened: 2, expiredUnsent: 7, expiredSent: 0 }
  })
})
