import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CallQueue } from './CallQueue.js'

function createQueue (connections: number) {
  const closed = new Set<number>()
  const started: string[] = []
  let created = 0
  const queue = CallQueue.create<number>({
    lateConnections: 0,
    connections,
    createConnection: () => ++created,
    isOpen: connection => !closed.has(connection)
  })
  const createCall = (name: string) => ({
    start: (connection: number) => { started.push(`${name} on ${connection}`) },
    close: () => { started.push(`${name} closed`) }
  })
  return { queue, started, closed, createCall }
}

test('calls start in order, and at most one runs on each connection', () => {
  const { queue, started, createCall } = createQueue(2)
  for (const name of ['a', 'b', 'c', 'd']) queue.add(createCall(name))
  assert.deepEqual(started.splice(0), ['a on 1', 'b on 2'])
  queue.release(2)
  assert.deepEqual(started.splice(0), ['c on 2'])
  queue.release(1)
  assert.deepEqual(started.splice(0), ['d on 1'])
})

test('consecutive calls share one connection', () => {
  const { queue, started, createCall } = createQueue(3)
  for (const name of ['a', 'b', 'c']) {
    queue.add(createCall(name))
    queue.release(1)
  }
  assert.deepEqual(started, ['a on 1', 'b on 1', 'c on 1'])
})

test('an open connection is preferred to a closed one, and a closed one to a new one', () => {
  const { queue, started, closed, createCall } = createQueue(3)
  for (const name of ['a', 'b']) queue.add(createCall(name))
  queue.release(1)
  queue.release(2)
  closed.add(2)
  for (const name of ['c', 'd', 'e']) queue.add(createCall(name))
  assert.deepEqual(started, ['a on 1', 'b on 2', 'c on 1', 'd on 2', 'e on 3'])
})

test('a call that is removed while queued never starts, and the others keep their order', () => {
  const { queue, started, createCall } = createQueue(1)
  const calls = ['a', 'b', 'c', 'd', 'e'].map(createCall)
  for (const call of calls) queue.add(call)
  assert.deepEqual(calls.slice(0, 3).map(call => queue.remove(call)), [false, true, true])
  queue.release(1)
  assert.deepEqual(started, ['a on 1', 'd on 1'])
})

test('closing the queue closes the queued calls in order and does not affect started calls', () => {
  const { queue, started, createCall } = createQueue(1)
  for (const name of ['a', 'b', 'c']) queue.add(createCall(name))
  queue.close()
  queue.release(1)
  assert.deepEqual(started, ['a on 1', 'b closed', 'c closed'])
})
