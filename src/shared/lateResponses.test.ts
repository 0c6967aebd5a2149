import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpCaller, type HttpResponse } from './HttpCaller.js'

const TIMEOUT_MILLISECONDS = 30
const LONG_MILLISECONDS = 20_000

/** Creates a caller, and a server that holds its requests until the test answers them. */
async function createHeldServer (context: TestContext) {
  const held: ServerResponse[] = []
  let connections = 0
  const server = createServer((request, response) => {
    if (request.url === '/held') held.push(response)
    else response.end('answered')
  })
  server.on('connection', () => connections++)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const caller = HttpCaller.create({ connections: 1, lateConnections: 1 })
  context.after(() => {
    caller.close()
    server.closeAllConnections()
    server.close()
  })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const late: HttpResponse[] = []
  return {
    held,
    late,
    countConnections: () => connections,
    callHeld: (milliseconds: number) => caller.call({
      address,
      method: 'GET',
      path: '/held',
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      lateResponse: { milliseconds, onResponse: response => { late.push(response) } }
    }),
    call: () => caller.call({ address, method: 'GET', path: '/', timeoutMilliseconds: LONG_MILLISECONDS })
  }
}

async function waitUntil (isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(2)
}

test('a response after the timeout of its call is passed on, and its connection is used again', async context => {
  const { held, late, callHeld, call, countConnections } = await createHeldServer(context)
  assert.deepEqual(await callHeld(LONG_MILLISECONDS), { kind: 'lost', reason: 'timeout', isAwaited: true })
  held[0].end('late')
  await waitUntil(() => late.length === 1)
  assert.deepEqual({ ...late[0], body: late[0].body.toString() }, { statusCode: 200, body: 'late' })
  assert.equal((await call()).kind, 'answered')
  assert.equal(countConnections(), 1)
})

test('calls use another connection while a late response is awaited', async context => {
  const { callHeld, call, countConnections } = await createHeldServer(context)
  await callHeld(LONG_MILLISECONDS)
  assert.equal((await call()).kind, 'answered')
  assert.equal(countConnections(), 2)
})

test('the connection of a late response that does not arrive in time is closed', async context => {
  const { held, late, callHeld, call } = await createHeldServer(context)
  await callHeld(TIMEOUT_MILLISECONDS)
  await once(held[0], 'close')
  assert.equal((await call()).kind, 'answered')
  assert.deepEqual(late, [])
})

test('a call that times out while too many late responses are awaited closes its connection', async context => {
  const { held, late, callHeld } = await createHeldServer(context)
  await callHeld(LONG_MILLISECONDS)
  assert.deepEqual(await callHeld(LONG_MILLISECONDS), { kind: 'lost', reason: 'timeout' })
  await once(held[1], 'close')
  held[0].end('late')
  await waitUntil(() => late.length === 1)
})
