import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpCaller, type HttpCall, type HttpCallEndReason } from './HttpCaller.js'

/** The parts of a slow body, and how long the server pauses before each. */
const PART_COUNT = 8
const PART = 'x'.repeat(1000)
const PAUSE_MILLISECONDS = 100
/** Shorter than the whole slow response, and longer than a pause in it. */
const TIMEOUT_MILLISECONDS = 400
/** A limit that no test reaches. */
const LONG_MILLISECONDS = 20_000
const MAXIMUM_BODY_BYTES = 5000
/** A body that exceeds the buffers of a connection on the loopback interface. */
const LARGE_BYTES = 16_000_000

/** How the server responds to a request, by its path. */
const RESPONSES: Record<string, (socket: Socket) => void | Promise<void>> = {
  '/small': socket => { socket.write(`${createHead(5)}small`) },
  '/exact': socket => { socket.write(createHead(MAXIMUM_BODY_BYTES) + 'x'.repeat(MAXIMUM_BODY_BYTES)) },
  '/slow': async socket => {
    socket.write(createHead(PART_COUNT * PART.length))
    for (let part = 0; part < PART_COUNT; part++) {
      await sleep(PAUSE_MILLISECONDS)
      socket.write(PART)
    }
  },
  '/stops': socket => { socket.write(createHead(PART_COUNT * PART.length) + PART) },
  '/stops-after-head': socket => { socket.write(createHead(PART.length)) },
  '/never': () => {},
  '/blocked': socket => {
    socket.write(createHead(2 * PART.length) + PART)
    // Timers run before the next reads when an immediate has blocked the event loop.
    setTimeout(() => setImmediate(() => {
      socket.write(PART)
      blockEventLoop(2 * TIMEOUT_MILLISECONDS)
    }), TIMEOUT_MILLISECONDS / 2)
  },
  '/large': socket => {
    socket.write(createHead(LARGE_BYTES))
    socket.write(Buffer.alloc(LARGE_BYTES))
  },
  '/large-head': socket => { socket.write(createHead(LARGE_BYTES)) },
  '/large-chunks': async socket => {
    socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
    for (let part = 0; part < PART_COUNT; part++) {
      socket.write(`${PART.length.toString(16)}\r\n${PART}\r\n`)
      await sleep(1)
    }
  }
}

function createHead (bodyBytes: number): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`
}

function blockEventLoop (milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
}

/** Starts a server and a caller with one connection at a time. */
async function start (context: TestContext) {
  const sockets: Socket[] = []
  const ends: HttpCallEndReason[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', data => {
      const path = data.toString().split(' ')[1]
      RESPONSES[path](socket)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const caller = HttpCaller.create({
    connections: 1,
    observer: { connectionOpened () {}, connectionClosed () {}, callEnded: (_address, end) => { ends.push(end) } }
  })
  context.after(() => {
    caller.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const get = async (path: string, limits: Partial<HttpCall> = {}) => await caller.call({
    address, method: 'GET', path, timeoutMilliseconds: LONG_MILLISECONDS, ...limits
  })
  return { get, sockets, ends }
}

test('a response that keeps arriving for longer than the time limit is received as a whole', async context => {
  const { get, sockets } = await start(context)
  const startedAt = performance.now()
  const result = await get('/slow', {
    timeoutMilliseconds: TIMEOUT_MILLISECONDS, silenceTimeoutMilliseconds: TIMEOUT_MILLISECONDS
  })
  assert.equal(result.kind === 'answered' && result.body.toString(), PART.repeat(PART_COUNT))
  assert.ok(performance.now() - startedAt > TIMEOUT_MILLISECONDS)
  assert.equal((await get('/small')).kind, 'answered')
  assert.equal(sockets.length, 1)
})

for (const path of ['/stops', '/stops-after-head']) {
  test(`a response that stops (${path}) is given up after the silence, and the next call works`, async context => {
    const { get, sockets, ends } = await start(context)
    const startedAt = performance.now()
    const result = await get(path, { silenceTimeoutMilliseconds: TIMEOUT_MILLISECONDS })
    const milliseconds = performance.now() - startedAt
    assert.deepEqual(result, { kind: 'lost', reason: 'timeout' })
    assert.ok(milliseconds >= TIMEOUT_MILLISECONDS, `${milliseconds} ms`)
    assert.equal((await get('/small')).kind, 'answered')
    assert.equal(sockets.length, 2)
    assert.deepEqual(ends, ['expired-in-flight', 'answered'])
  })
}

test('the limit of silence does not extend the time until a response begins', async context => {
  const { get } = await start(context)
  const result = await get('/never', {
    timeoutMilliseconds: TIMEOUT_MILLISECONDS, silenceTimeoutMilliseconds: LONG_MILLISECONDS
  })
  assert.deepEqual(result, { kind: 'lost', reason: 'timeout' })
})

test('a part that arrives while the event loop is blocked is read before the response is given up', async context => {
  const { get } = await start(context)
  const result = await get('/blocked', { silenceTimeoutMilliseconds: TIMEOUT_MILLISECONDS })
  assert.equal(result.kind === 'answered' && result.body.length, 2 * PART.length)
})

for (const path of ['/large', '/large-head', '/large-chunks']) {
  test(`a body that exceeds the limit (${path}) ends the call at once, and the next call works`, async context => {
    const { get, sockets, ends } = await start(context)
    const large = get(path, { maximumBodyBytes: MAXIMUM_BODY_BYTES })
    const next = get('/small', { maximumBodyBytes: MAXIMUM_BODY_BYTES })
    assert.deepEqual(await large, { kind: 'too-large', reason: 'too-large' })
    const small = await next
    assert.equal(small.kind === 'answered' && small.body.toString(), 'small')
    assert.equal(sockets.length, 2)
    if (!sockets[0].destroyed) await once(sockets[0], 'close')
    assert.deepEqual(ends, ['too-large', 'answered'])
  })
}

test('a body as long as the limit is received', async context => {
  const { get, sockets } = await start(context)
  const exact = await get('/exact', { maximumBodyBytes: MAXIMUM_BODY_BYTES })
  assert.equal(exact.kind === 'answered' && exact.body.length, MAXIMUM_BODY_BYTES)
  assert.equal((await get('/small')).kind, 'answered')
  assert.equal(sockets.length, 1)
})
