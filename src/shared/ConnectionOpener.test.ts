import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import buildConnector from 'undici/lib/core/connect.js'
import { HttpCaller } from './HttpCaller.js'
import type { OpenConnection } from './HttpConnection.js'

const CONNECT_MILLISECONDS = 50
const LATE_MILLISECONDS = 10_000
const CALL_MILLISECONDS = 5000
const NOT_OPEN_IN_TIME = 'not-sent UND_ERR_CONNECT_TIMEOUT'

/** Starts a service, and a caller whose openings are passed to the test. */
async function start (
  context: TestContext, open: (index: number, connect: () => void) => void, lateOpeningMilliseconds?: number
) {
  const counts = { accepted: 0, openings: 0, closed: 0 }
  const server = createServer((_request, response) => response.end())
  server.on('connection', socket => {
    counts.accepted++
    socket.on('close', () => { counts.closed++ })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const connect: OpenConnection = buildConnector({})
  const caller = HttpCaller.create({
    connections: 1,
    connectTimeoutMilliseconds: CONNECT_MILLISECONDS,
    lateOpeningMilliseconds,
    openConnection: (options, callback) => open(counts.openings++, () => connect(options, callback))
  })
  context.after(() => {
    caller.close()
    server.closeAllConnections()
    server.close()
  })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const call = async () => {
    const result = await caller.call({ address, method: 'GET', path: '/', timeoutMilliseconds: CALL_MILLISECONDS })
    return result.kind === 'answered' ? result.kind : `${result.kind} ${result.reason}`
  }
  return { call, counts, caller }
}

async function waitUntil (isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise(resolve => { setTimeout(resolve, 5) })
}

// The only connection stayed occupied for a second, and the calls behind it expired without being sent.
test('a connection that does not open in time is replaced by the next call', async context => {
  // The first packets of two connections are lost.
  const { call } = await start(context, (index, connect) => { if (index > 1) connect() })
  assert.deepEqual([await call(), await call(), await call()], [NOT_OPEN_IN_TIME, NOT_OPEN_IN_TIME, 'answered'])
})

test('a connection that opens after its time limit is used by the call that waits for another one', async context => {
  const openings: Array<() => void> = []
  const { call, counts } = await start(context, (index, connect) => {
    openings.push(connect)
    // The first connection opens while the second one is being opened, as on a path with a long round trip.
    if (index === 1) openings[0]()
  }, LATE_MILLISECONDS)
  assert.deepEqual([await call(), await call(), await call()], [NOT_OPEN_IN_TIME, 'answered', 'answered'])
  assert.deepEqual(counts, { openings: 2, accepted: 1, closed: 0 })
})

test('a connection that opens after its time limit between two calls is used by the next one', async context => {
  const openings: Array<() => void> = []
  const { call, counts } = await start(context, (_index, connect) => openings.push(connect), LATE_MILLISECONDS)
  assert.equal(await call(), NOT_OPEN_IN_TIME)
  openings[0]()
  await waitUntil(() => counts.accepted === 1)
  // The connection is open here once an event of the loop after its acceptance has been handled.
  await new Promise(resolve => { setTimeout(resolve, CONNECT_MILLISECONDS) })
  assert.deepEqual([await call(), counts.openings], ['answered', 1])
})

test('only one opening goes on after its time limit, and a closed caller keeps no connection', async context => {
  const openings: Array<() => void> = []
  const { call, counts, caller } = await start(context, (_index, connect) => openings.push(connect), LATE_MILLISECONDS)
  assert.deepEqual([await call(), await call()], [NOT_OPEN_IN_TIME, NOT_OPEN_IN_TIME])
  openings[1]()
  await waitUntil(() => counts.closed === 1)
  caller.close()
  openings[0]()
  await waitUntil(() => counts.closed === 2)
  assert.equal(counts.accepted, 2)
})

test('the connection of an opening that does not go on is closed', async context => {
  const openings: Array<() => void> = []
  const { call, counts } = await start(context, (_index, connect) => openings.push(connect))
  assert.equal(await call(), NOT_OPEN_IN_TIME)
  openings[0]()
  await waitUntil(() => counts.closed === 1)
})
