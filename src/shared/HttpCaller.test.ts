import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { buildConnector } from 'undici'
import { HttpCaller, type HttpCallerOptions } from './HttpCaller.js'

/** A timeout that no test reaches. */
const LONG_MILLISECONDS = 20_000

/** A timeout that a call on the loopback interface never reaches, and a longer time for which the event loop blocks. */
const SHORT_MILLISECONDS = 500
const BLOCKED_MILLISECONDS = 700

/** A server that counts connections and requests, and holds requests to `/held` until the test answers them. */
class CountingServer {
  connections = 0
  readonly paths: string[] = []
  private readonly heldResponses: ServerResponse[] = []
  private readonly server: Server

  private constructor () {
    this.server = createServer((request, response) => {
      this.paths.push(request.url ?? '')
      if (request.url?.startsWith('/held') !== true) {
        response.end(request.url)
        if (request.url === '/late') blockEventLoop()
        return
      }
      this.heldResponses.push(response)
    })
    this.server.on('connection', () => this.connections++)
  }

  static async create (context: TestContext): Promise<CountingServer> {
    const counting = new CountingServer()
    counting.server.listen(0, '127.0.0.1')
    await once(counting.server, 'listening')
    context.after(() => {
      counting.server.close()
      counting.dropConnections()
    })
    return counting
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Waits until the given number of requests are held. */
  async waitForHeldRequests (count: number): Promise<void> {
    await waitUntil(() => this.heldResponses.length >= count)
  }

  answerHeldRequests (): void {
    for (const response of this.heldResponses.splice(0)) response.end('held')
  }

  dropConnections (): void {
    this.server.closeAllConnections()
  }

  async close (): Promise<void> {
    await new Promise(resolve => this.server.close(resolve))
  }
}

function blockEventLoop (): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MILLISECONDS)
}

async function waitUntil (isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(2)
}

function createCaller (context: TestContext, options: HttpCallerOptions): HttpCaller {
  const caller = HttpCaller.create(options)
  context.after(() => caller.close())
  return caller
}

function get (caller: HttpCaller, address: string, path: string, timeoutMilliseconds = LONG_MILLISECONDS) {
  return caller.call({ address, method: 'GET', path, timeoutMilliseconds })
}

test('the observer is notified of the end of each call and of each connection', async context => {
  const server = await CountingServer.create(context)
  const events: string[] = []
  let connectionsClosed = 0
  const caller = createCaller(context, {
    connections: 1,
    observer: {
      connectionOpened: address => { events.push(`opened ${address === server.address}`) },
      connectionClosed: (address, reason) => {
        events.push(`closed ${address === server.address} ${reason !== ''}`)
        connectionsClosed++
      },
      callEnded: (address, end) => { events.push(`${end} ${address === server.address}`) }
    }
  })
  await get(caller, server.address, '/a')
  await get(caller, server.address, '/held', 20)
  await waitUntil(() => connectionsClosed === 1)
  const broken = get(caller, server.address, '/held')
  await server.waitForHeldRequests(2)
  await get(caller, server.address, '/b', 20)
  server.dropConnections()
  await broken
  await waitUntil(() => connectionsClosed === 2)
  assert.deepEqual(events, [
    'opened true', 'answered true', 'expired-in-flight true', 'closed true true',
    'opened true', 'expired-waiting true', 'broken true', 'closed true true'
  ])
})

test('a refused connection and a closed address are reported with different end reasons', async context => {
  const server = await CountingServer.create(context)
  const ends: string[] = []
  const caller = createCaller(context, {
    connections: 1,
    observer: { connectionOpened () {}, connectionClosed () {}, callEnded: (_address, end) => { ends.push(end) } }
  })
  const held = get(caller, server.address, '/held')
  await server.waitForHeldRequests(1)
  caller.closeAddress(server.address)
  assert.equal((await held).kind, 'lost')
  const closed = await CountingServer.create(context)
  const { address } = closed
  await closed.close()
  assert.deepEqual(await get(caller, address, '/a'), { kind: 'not-sent', reason: 'ECONNREFUSED' })
  assert.deepEqual(ends, ['closed', 'refused'])
})

test('calls that expire while all connections are in use leave the connections open', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 2 })
  const held = [get(caller, server.address, '/held'), get(caller, server.address, '/held')]
  await server.waitForHeldRequests(2)
  const expired = await Promise.all(Array.from({ length: 40 }, () => get(caller, server.address, '/expired', 20)))
  assert.deepEqual(new Set(expired.map(result => result.kind)), new Set(['not-sent']))
  server.answerHeldRequests()
  assert.deepEqual((await Promise.all(held)).map(result => result.kind), ['answered', 'answered'])
  for (let index = 0; index < 4; index++) {
    assert.equal((await get(caller, server.address, '/after')).kind, 'answered')
  }
  assert.equal(server.connections, 2)
})

test('a call that expires in the queue never reaches the server and is reported as not sent', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  const held = get(caller, server.address, '/held')
  await server.waitForHeldRequests(1)
  assert.deepEqual(await get(caller, server.address, '/expired', 20), { kind: 'not-sent', reason: 'queue-timeout' })
  const after = get(caller, server.address, '/after')
  server.answerHeldRequests()
  await Promise.all([held, after])
  assert.deepEqual(server.paths, ['/held', '/after'])
})

test('when a call expires while its connection is being opened, the next call uses the connection', async context => {
  const server = await CountingServer.create(context)
  const connect = buildConnector({})
  let allowOpening = (): void => {}
  const openingAllowed = new Promise<void>(resolve => { allowOpening = resolve })
  const caller = createCaller(context, {
    connections: 1,
    openConnection: (options, callback) => { openingAllowed.then(() => connect(options, callback)) }
  })
  assert.deepEqual(await get(caller, server.address, '/expired', 20), { kind: 'not-sent', reason: 'connect-timeout' })
  const after = get(caller, server.address, '/after')
  allowOpening()
  assert.equal((await after).kind, 'answered')
  assert.deepEqual(server.paths, ['/after'])
  assert.equal(server.connections, 1)
})

test('a response that arrives while the event loop is blocked is delivered', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  await get(caller, server.address, '/before')
  assert.equal((await get(caller, server.address, '/late', SHORT_MILLISECONDS)).kind, 'answered')
})

test('time spent in the queue does not reduce the time allowed for the response', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  const first = get(caller, server.address, '/held')
  await server.waitForHeldRequests(1)
  const second = get(caller, server.address, '/held', 1000)
  await sleep(600)
  server.answerHeldRequests()
  await server.waitForHeldRequests(1)
  await sleep(600)
  server.answerHeldRequests()
  assert.deepEqual([(await first).kind, (await second).kind], ['answered', 'answered'])
})

test('closing an address reports queued calls as not sent and calls in flight as lost', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  const inFlight = get(caller, server.address, '/held')
  await server.waitForHeldRequests(1)
  const waiting = get(caller, server.address, '/waiting')
  caller.closeAddress(server.address)
  assert.deepEqual([(await inFlight).kind, (await waiting).kind], ['lost', 'not-sent'])
})

test('closing an address reports a call whose connection is still being opened as not sent', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1, openConnection: () => {} })
  const opening = get(caller, server.address, '/opening')
  caller.closeAddress(server.address)
  assert.equal((await opening).kind, 'not-sent')
})

test('queued calls start after calls in flight expire or lose their connections', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 2 })
  const expired = Array.from({ length: 2 }, () => get(caller, server.address, '/held', 100))
  const broken = Array.from({ length: 2 }, () => get(caller, server.address, '/held'))
  const answered = Array.from({ length: 20 }, () => get(caller, server.address, '/after'))
  assert.deepEqual((await Promise.all(expired)).map(result => result.kind), ['lost', 'lost'])
  await server.waitForHeldRequests(4)
  server.dropConnections()
  assert.deepEqual((await Promise.all(broken)).map(result => result.kind), ['lost', 'lost'])
  assert.deepEqual(new Set((await Promise.all(answered)).map(result => result.kind)), new Set(['answered']))
})

test('consecutive calls use one connection', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 3 })
  for (let index = 0; index < 10; index++) await get(caller, server.address, '/in-turn')
  assert.equal(server.connections, 1)
})

test('a call has separate time limits for the queue and for the response', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  const held = get(caller, server.address, '/held')
  await server.waitForHeldRequests(1)
  const shortQueueResult = await caller.call({
    address: server.address,
    method: 'GET',
    path: '/impatient',
    timeoutMilliseconds: LONG_MILLISECONDS,
    queueTimeoutMilliseconds: 20
  })
  assert.deepEqual(shortQueueResult, { kind: 'not-sent', reason: 'queue-timeout' })
  const longQueueResult = caller.call({
    address: server.address,
    method: 'GET',
    path: '/held',
    timeoutMilliseconds: 20,
    queueTimeoutMilliseconds: LONG_MILLISECONDS
  })
  await sleep(60)
  server.answerHeldRequests()
  assert.equal((await held).kind, 'answered')
  assert.deepEqual(await longQueueResult, { kind: 'lost', reason: 'timeout' })
})

test('a queued call is sent when a connection became free while the event loop was blocked', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  await get(caller, server.address, '/before')
  const late = get(caller, server.address, '/late', SHORT_MILLISECONDS)
  const waiting = get(caller, server.address, '/waiting', SHORT_MILLISECONDS)
  assert.deepEqual([(await late).kind, (await waiting).kind], ['answered', 'answered'])
  assert.equal(server.connections, 1)
})

test('calls queued behind a refused connection are refused in turn', async context => {
  const closed = await CountingServer.create(context)
  const { address } = closed
  await closed.close()
  const caller = createCaller(context, { connections: 1 })
  const results = await Promise.all(Array.from({ length: 3 }, () => get(caller, address, '/refused')))
  assert.deepEqual(results, Array(3).fill({ kind: 'not-sent', reason: 'ECONNREFUSED' }))
})
