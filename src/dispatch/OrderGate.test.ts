import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import { OrderGate, type OrderPriority } from './OrderGate.js'

/** Asks for one order and notes its outcome under a name. */
function requestOrder (
  gate: OrderGate, outcomes: string[], name: string, workerId: string, priority: OrderPriority = 'start',
  isNeeded: () => boolean = () => true
): void {
  gate.acquire({ workerId, priority, isNeeded }).then(outcome => outcomes.push(`${name} ${outcome}`))
}

function flushPromises (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}

test('a plan of many starts has few in flight to one worker, and does not hold back those to others', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 2, totalLimit: 3 })
  const told: string[] = []
  for (const name of ['a1', 'a2', 'a3', 'a4']) requestOrder(gate, told, name, 'a')
  for (const name of ['b1', 'b2']) requestOrder(gate, told, name, 'b')
  await flushPromises()
  assert.deepEqual(told, ['a1 send', 'a2 send', 'b1 send'])
  gate.release('a')
  await flushPromises()
  assert.deepEqual(told.slice(3), ['b2 send'])
  gate.release('b')
  await flushPromises()
  assert.deepEqual(told.slice(4), ['a3 send'])
})

test('stops go before starts that have waited longer', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 1, totalLimit: 1 })
  const told: string[] = []
  requestOrder(gate, told, 'first', 'a')
  requestOrder(gate, told, 'pace', 'a', 'pace')
  requestOrder(gate, told, 'start', 'a')
  requestOrder(gate, told, 'stop', 'a', 'stop')
  for (let turn = 0; turn < 3; turn++) {
    gate.release('a')
    await flushPromises()
  }
  assert.deepEqual(told, ['first send', 'stop send', 'start send', 'pace send'])
})

test('an order that loses its reason while it waits is withdrawn and uses no permit', async () => {
  const gate = OrderGate.create({ perWorkerLimit: 1, totalLimit: 4 })
  const told: string[] = []
  const needed = new Set(['second', 'third', 'fourth'])
  requestOrder(gate, told, 'first', 'a')
  for (const name of needed) requestOrder(gate, told, name, 'a', 'start', () => needed.has(name))
  needed.delete('second')
  gate.withdrawUnneeded()
  await flushPromises()
  needed.delete('third')
  gate.release('a')
  await flushPromises()
  assert.deepEqual(told, ['first send', 'second withdrawn', 'third withdrawn', 'fourth send'])
  assert.equal(gate.inFlight, 1)
})

test('under any order of requests and releases both limits hold and no order is left waiting', async () => {
  const step = fastCheck.record({
    worker: fastCheck.integer({ min: 0, max: 4 }),
    priority: fastCheck.constantFrom<OrderPriority>('stop', 'start', 'pace'),
    isNeeded: fastCheck.boolean(),
    releases: fastCheck.integer({ min: 0, max: 2 })
  })
  await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(step, { maxLength: 60 }), async steps => {
    const gate = OrderGate.create({ perWorkerLimit: 2, totalLimit: 5 })
    const inFlight: string[] = []
    let settled = 0
    const release = async () => {
      const workerId = inFlight.shift()
      if (workerId !== undefined) gate.release(workerId)
      await flushPromises()
    }
    for (const { worker, priority, isNeeded, releases } of steps) {
      const workerId = `worker-${worker}`
      gate.acquire({ workerId, priority, isNeeded: () => isNeeded }).then(outcome => {
        settled++
        if (outcome === 'send') inFlight.push(workerId)
      })
      await flushPromises()
      assert.ok(inFlight.length <= 5 && inFlight.length === gate.inFlight)
      for (const id of inFlight) assert.ok(inFlight.filter(other => other === id).length <= 2)
      for (let count = 0; count < releases; count++) await release()
    }
    while (inFlight.length > 0) await release()
    assert.equal(settled, steps.length)
    assert.equal(gate.inFlight, 0)
  }), { seed: getTestSeed(), numRuns: 60 })
})
