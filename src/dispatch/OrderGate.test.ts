import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import { OrderGate, type OrderPriority } from './OrderGate.js'

/** Requests one order and records its outcome with its name. */
function requestOrder (
  gate: OrderGate, outcomes: string[], name: string, workerId: string, priority: OrderPriority = 'start',
  isNeeded: () => boolean = () => true
): void {
  gate.acquire({ workerId, priority, isNeeded }).then(outcome => outcomes.push(`${name} ${outcome}`))
}

function flushPromises (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}

test('limits the starts in flight to one worker without delaying those to other workers', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 2, totalLimit: 3 })
  const outcomes: string[] = []
  for (const name of ['a1', 'a2', 'a3', 'a4']) requestOrder(gate, outcomes, name, 'a')
  for (const name of ['b1', 'b2']) requestOrder(gate, outcomes, name, 'b')
  await flushPromises()
  assert.deepEqual(outcomes, ['a1 send', 'a2 send', 'b1 send'])
  gate.release('a')
  await flushPromises()
  assert.deepEqual(outcomes.slice(3), ['b2 send'])
  gate.release('b')
  await flushPromises()
  assert.deepEqual(outcomes.slice(4), ['a3 send'])
})

test('sends stops before starts that were queued earlier, and pace changes last', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 1, totalLimit: 1 })
  const outcomes: string[] = []
  requestOrder(gate, outcomes, 'first', 'a')
  requestOrder(gate, outcomes, 'pace', 'a', 'pace')
  requestOrder(gate, outcomes, 'start', 'a')
  requestOrder(gate, outcomes, 'stop', 'a', 'stop')
  for (let turn = 0; turn < 3; turn++) {
    gate.release('a')
    await flushPromises()
  }
  assert.deepEqual(outcomes, ['first send', 'stop send', 'start send', 'pace send'])
})

test('withdraws a queued order that is no longer needed without using a permit', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 1, totalLimit: 4 })
  const outcomes: string[] = []
  const needed = new Set(['second', 'third', 'fourth'])
  requestOrder(gate, outcomes, 'first', 'a')
  for (const name of needed) requestOrder(gate, outcomes, name, 'a', 'start', () => needed.has(name))
  needed.delete('second')
  gate.withdrawUnneeded()
  await flushPromises()
  needed.delete('third')
  gate.release('a')
  await flushPromises()
  assert.deepEqual(outcomes, ['first send', 'second withdrawn', 'third withdrawn', 'fourth send'])
  assert.equal(gate.inFlight, 1)
})

test('counts the orders in flight to a worker whose queue was emptied by withdrawals', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 2, totalLimit: 2 })
  const outcomes: string[] = []
  let isNeeded = true
  requestOrder(gate, outcomes, 'b1', 'b')
  requestOrder(gate, outcomes, 'a1', 'a')
  requestOrder(gate, outcomes, 'c1', 'c')
  requestOrder(gate, outcomes, 'b2', 'b', 'start', () => isNeeded)
  isNeeded = false
  gate.withdrawUnneeded()
  gate.release('b')
  await flushPromises()
  requestOrder(gate, outcomes, 'b3', 'b')
  gate.release('a')
  await flushPromises()
  assert.deepEqual(outcomes, ['b1 send', 'a1 send', 'b2 withdrawn', 'c1 send', 'b3 send'])
  gate.release('b')
  gate.release('c')
  assert.equal(gate.inFlight, 0)
})

test('keeps both limits and leaves no order queued for any sequence of requests and releases', async () => {
  const step = fastCheck.record({
    worker: fastCheck.integer({ min: 0, max: 4 }),
    priority: fastCheck.constantFrom<OrderPriority>('stop', 'start', 'pace'),
    isNeeded: fastCheck.boolean(),
    isNeededUntilWithdrawal: fastCheck.boolean(),
    withdraws: fastCheck.boolean(),
    releases: fastCheck.integer({ min: 0, max: 2 })
  })
  await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(step, { maxLength: 60 }), async steps => {
    const gate = OrderGate.create({ perWorkerLimit: 2, totalLimit: 5 })
    const inFlight: string[] = []
    const neededUntilWithdrawal = new Set<number>()
    let settled = 0
    const release = async () => {
      const workerId = inFlight.shift()
      if (workerId !== undefined) gate.release(workerId)
      await flushPromises()
    }
    for (const [index, request] of steps.entries()) {
      const { worker, priority, isNeeded, isNeededUntilWithdrawal, withdraws, releases } = request
      const workerId = `worker-${worker}`
      if (isNeededUntilWithdrawal) neededUntilWithdrawal.add(index)
      const isStillNeeded = () => isNeeded || neededUntilWithdrawal.has(index)
      gate.acquire({ workerId, priority, isNeeded: isStillNeeded }).then(outcome => {
        settled++
        if (outcome === 'send') inFlight.push(workerId)
      })
      await flushPromises()
      assert.ok(inFlight.length <= 5 && inFlight.length === gate.inFlight)
      for (const id of inFlight) assert.ok(inFlight.filter(other => other === id).length <= 2)
      if (withdraws) {
        neededUntilWithdrawal.clear()
        gate.withdrawUnneeded()
      }
      for (let count = 0; count < releases; count++) await release()
    }
    while (inFlight.length > 0) await release()
    assert.equal(settled, steps.length)
    assert.equal(gate.inFlight, 0)
  }), { seed: getTestSeed(), numRuns: 200 })
})

test('stops and pace changes that wait for a worker that does not respond do not count as delays of starts', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 2, totalLimit: 4 })
  const outcomes: string[] = []
  for (let index = 0; index < 100; index++) requestOrder(gate, outcomes, `stop ${index}`, 'silent', 'stop')
  for (let index = 0; index < 100; index++) requestOrder(gate, outcomes, `pace ${index}`, 'silent', 'pace')
  assert.equal(gate.waiting, 198)
  assert.equal(gate.countDelayingStarts(), 0)
  for (let index = 0; index < 3; index++) requestOrder(gate, outcomes, `start ${index}`, 'silent')
  for (const workerId of ['a', 'b', 'c', 'd']) requestOrder(gate, outcomes, workerId, workerId, 'stop')
  await flushPromises()
  assert.deepEqual(outcomes, ['stop 0 send', 'stop 1 send', 'a send', 'b send'])
  // The starts on the silent worker, and the stops that wait for the limit of all workers.
  assert.equal(gate.countDelayingStarts(), 5)
})

test('an overdue order lets an order to another worker in, but none to its own worker beyond the limit', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 1, totalLimit: 1 })
  const outcomes: string[] = []
  requestOrder(gate, outcomes, 'a1', 'a')
  requestOrder(gate, outcomes, 'a2', 'a')
  requestOrder(gate, outcomes, 'b1', 'b')
  requestOrder(gate, outcomes, 'c1', 'c')
  gate.markOverdue('a')
  await flushPromises()
  assert.deepEqual(outcomes, ['a1 send', 'b1 send'])
  gate.release('a', true)
  await flushPromises()
  assert.deepEqual(outcomes, ['a1 send', 'b1 send'])
  gate.release('b')
  await flushPromises()
  gate.release('c')
  await flushPromises()
  assert.deepEqual(outcomes.slice(2).sort(), ['a2 send', 'c1 send'])
  gate.release('a')
  assert.equal(gate.inFlight, 0)
})

test('the queue of an overdue order may be emptied by the withdrawal of unneeded orders', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 1, totalLimit: 1 })
  const outcomes: string[] = []
  let isNeeded = true
  requestOrder(gate, outcomes, 'a1', 'a')
  requestOrder(gate, outcomes, 'a2', 'a', 'start', () => isNeeded)
  gate.markOverdue('a')
  isNeeded = false
  gate.withdrawUnneeded()
  gate.release('a', true)
  requestOrder(gate, outcomes, 'a3', 'a')
  await flushPromises()
  assert.deepEqual(outcomes, ['a1 send', 'a2 withdrawn', 'a3 send'])
  gate.release('a')
  assert.equal(gate.inFlight, 0)
})
