import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { buildConnector } from 'undici'
import { HttpCaller, type HttpCallerOptions } from './HttpCaller.js'

/** A time limit that no test reaches. */
const LONG_MILLISECONDS = 20_000

/** A time limit that a call on loopback keeps by far, and a longer time for which the event loop stands still. */
const SHORT_MILLISECONDS = 500
const BLOCKED_MILLISECONDS = 700

/** A server that counts what reaches it and answers when told to. */
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

  /** Waits until so many requests are held back. */
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

test('an observer is told how each call ends and of each connection', async context => {
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

test('a refused connection and an address that is given up are told apart', async context => {
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

test('calls that expire while all connections are busy leave the connections open', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 2 })
  const held = [get(caller, server.address, '/held'), get(caller, server.address, '/held')]
  await server.waitForHeldRequests(2)
  const expired = await Promise.all(Array.from({ length: 40 }, () => get(caller, server.address, '/expired', 20)))
  assert.deepEqual(new Set(expired.map(answer => answer.kind)), new Set(['not-sent']))
  server.answerHeldRequests()
  assert.deepEqual((await Promise.all(held)).map(answer => answer.kind), ['answered', 'answered'])
  for (let index = 0; index < 4; index++) {
    assert.equal((await get(caller, server.address, '/after')).kind, 'answered')
  }
  assert.equal(server.connections, 2)
})

test('a call that expires while it waits for a connection is not received and is reported as not sent', async context => {
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

test('a call that expires while its connection is being opened leaves the connection to the next call', async context => {
  const server = await CountingServer.create(context)
  const connect = buildConnector({})
  let letOpen = (): void => {}
  const mayOpen = new Promise<void>(resolve => { letOpen = resolve })
  const caller = createCaller(context, {
    connections: 1,
    openConnection: (options, callback) => { mayOpen.then(() => connect(options, callback)) }
  })
  assert.deepEqual(await get(caller, server.address, '/expired', 20), { kind: 'not-sent', reason: 'connect-timeout' })
  const after = get(caller, server.address, '/after')
  letOpen()
  assert.equal((await after).kind, 'answered')
  assert.deepEqual(server.paths, ['/after'])
  assert.equal(server.connections, 1)
})

test('an answer that arrives while the event loop stands still is delivered', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  await get(caller, server.address, '/before')
  assert.equal((await get(caller, server.address, '/late', SHORT_MILLISECONDS)).kind, 'answered')
})

test('the wait for a connection does not shorten the time that an answer may take', async context => {
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

test('giving up an address reports waiting calls as not sent and calls in flight as lost', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  const inFlight = get(caller, server.address, '/held')
  await server.waitForHeldRequests(1)
  const waiting = get(caller, server.address, '/waiting')
  caller.closeAddress(server.address)
  assert.deepEqual([(await inFlight).kind, (await waiting).kind], ['lost', 'not-sent'])
})

test('giving up an address reports a call whose connection is still being opened as not sent', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1, openConnection: () => {} })
  const opening = get(caller, server.address, '/opening')
  caller.closeAddress(server.address)
  assert.equal((await opening).kind, 'not-sent')
})

test('calls that wait go on after calls in flight have expired or their connections broke', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 2 })
  const expired = Array.from({ length: 2 }, () => get(caller, server.address, '/held', 100))
  const broken = Array.from({ length: 2 }, () => get(caller, server.address, '/held'))
  const answered = Array.from({ length: 20 }, () => get(caller, server.address, '/after'))
  assert.deepEqual((await Promise.all(expired)).map(answer => answer.kind), ['lost', 'lost'])
  await server.waitForHeldRequests(4)
  server.dropConnections()
  assert.deepEqual((await Promise.all(broken)).map(answer => answer.kind), ['lost', 'lost'])
  assert.deepEqual(new Set((await Promise.all(answered)).map(answer => answer.kind)), new Set(['answered']))
})

test('calls in turn use one connection', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 3 })
  for (let index = 0; index < 10; index++) await get(caller, server.address, '/in-turn')
  assert.equal(server.connections, 1)
})

test('a call has its own limits for the wait and for the answer', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  const held = get(caller, server.address, '/held')
  await server.waitForHeldRequests(1)
  const impatient = await caller.call({
    address: server.address,
    method: 'GET',
    path: '/impatient',
    timeoutMilliseconds: LONG_MILLISECONDS,
    queueTimeoutMilliseconds: 20
  })
  assert.deepEqual(impatient, { kind: 'not-sent', reason: 'queue-timeout' })
  const patient = caller.call({
    address: server.address,
    method: 'GET',
    path: '/held',
    timeoutMilliseconds: 20,
    queueTimeoutMilliseconds: LONG_MILLISECONDS
  })
  await sleep(60)
  server.answerHeldRequests()
  assert.equal((await held).kind, 'answered')
  assert.deepEqual(await patient, { kind: 'lost', reason: 'timeout' })
})

test('a call that waits is sent when its connection became free while the event loop stood still', async context => {
  const server = await CountingServer.create(context)
  const caller = createCaller(context, { connections: 1 })
  await get(caller, server.address, '/before')
  const late = get(caller, server.address, '/late', SHORT_MILLISECONDS)
  const waiting = get(caller, server.address, '/waiting', SHORT_MILLISECONDS)
  assert.deepEqual([(await late).kind, (await waiting).kind], ['answered', 'answered'])
  assert.equal(server.connections, 1)
})

test('calls that wait behind a connection that is refused are refused in turn', async context => {
  const closed = await CountingServer.create(context)
  const { address } = closed
  await closed.close()
  const caller = createCaller(context, { connections: 1 })
  const answers = await Promise.all(Array.from({ length: 3 }, () => get(caller, address, '/refused')))
  assert.deepEqual(answers, Array(3).fill({ kind: 'not-sent', reason: 'ECONNREFUSED' }))
})
