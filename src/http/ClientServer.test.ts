import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { SystemClock } from '../shared/Clock.js'
import { BodyBlocks } from './BodyBlocks.js'
import { ByteBudget } from './ByteBudget.js'
import { createClientLimits, SMALLEST_MACHINE } from './ClientLimits.js'
import { ClientServer, type ReachedLimit } from './ClientServer.js'
import { measureJson } from './measureJson.js'

const MAXIMUM_BODY_BYTES = 100_000

/** Starts a server that responds with the length of a body, at /held only when the test releases the response. */
async function startServer (context: TestContext, options: { budgetBytes?: number, connections?: number } = {}) {
  const { budgetBytes = 200_000, connections = 10 } = options
  const reached: ReachedLimit[] = []
  const held: Array<() => void> = []
  const handle = async (request: Parameters<ClientServer['readBody']>[0], response: Parameters<ClientServer['respond']>[1]) => {
    if (request.url === '/refused') return server.respond(request, response, { status: 404, body: '{}' })
    const outcome = await server.readBody(request, MAXIMUM_BODY_BYTES)
    if (outcome.kind === 'ended') return
    if (outcome.kind === 'too-long') return server.respond(request, response, { status: 413 })
    const { length } = outcome.body
    outcome.body.discard()
    server.passOn(request, 0)
    if (request.url === '/held') await new Promise<void>(resolve => { held.push(resolve) })
    server.respond(request, response, { status: 200, body: String(length) })
  }
  const server = ClientServer.create({
    limits: { ...createClientLimits(SMALLEST_MACHINE).caller, connections },
    budget: ByteBudget.create(budgetBytes),
    blocks: BodyBlocks.create(budgetBytes),
    clock: SystemClock.create(),
    handle: (request, response) => { handle(request, response).catch(error => { throw error }) },
    onLimitReached: limit => reached.push(limit),
    onReceived: () => {}
  })
  server.server.listen(0, '127.0.0.1')
  await once(server.server, 'listening')
  const { port } = server.server.address() as AddressInfo
  const sockets: Socket[] = []
  context.after(() => {
    for (const socket of sockets) socket.destroy()
    server.server.close()
    server.server.closeAllConnections()
  })
  /** Opens a connection, sends a text, and collects what arrives. */
  const open = async (text: string) => {
    const socket = connect(port, '127.0.0.1')
    sockets.push(socket)
    const client = { socket, received: '', isClosed: false }
    socket.on('data', chunk => { client.received += chunk.toString() })
    socket.on('error', () => {})
    socket.on('close', () => { client.isClosed = true })
    await once(socket, 'connect')
    socket.write(text)
    return client
  }
  return { open, reached, held }
}

function createRequest (path: string, length: number, body = ''): string {
  return `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n${body}`
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  for (let attempt = 0; !isDone(); attempt++) {
    assert.ok(attempt < 500, 'not done in time')
    await new Promise(resolve => setTimeout(resolve, 10))
  }
}

test('serves bodies of the longest size and keeps the connection', async context => {
  const { open } = await startServer(context)
  const client = await open(createRequest('/', MAXIMUM_BODY_BYTES, 'x'.repeat(MAXIMUM_BODY_BYTES)))
  await waitUntil(() => client.received.endsWith(`${MAXIMUM_BODY_BYTES}`))
  client.socket.write(createRequest('/', 3, 'abc'))
  await waitUntil(() => client.received.endsWith('3'))
  assert.equal(client.isClosed, false)
})

test('refuses the largest unfinished body as not run when the budget is used up, and no other one', async context => {
  const { open, reached } = await startServer(context)
  const large = await open(createRequest('/', 99_000, 'x'.repeat(98_000)))
  const small = await open(createRequest('/', 1000, 'x'.repeat(900)))
  const last = await open(createRequest('/', 97_000, 'x'.repeat(96_000)))
  await waitUntil(() => large.received !== '')
  assert.match(large.received, /^HTTP\/1.1 503 [^]*retry-after: 1\r\n/)
  await waitUntil(() => large.isClosed)
  small.socket.write('x'.repeat(100))
  last.socket.write('x'.repeat(1000))
  await waitUntil(() => small.received.endsWith('1000') && last.received.endsWith('97000'))
  assert.deepEqual(reached, ['budget'])
})

test('never refuses a request that has been passed on, whatever the budget', async context => {
  const { open, held } = await startServer(context, { budgetBytes: 30_000 })
  const passedOn = await open(createRequest('/held', 3, 'abc'))
  await waitUntil(() => held.length === 1)
  const other = await open(createRequest('/', 90_000, 'x'.repeat(80_000)))
  await waitUntil(() => other.received.startsWith('HTTP/1.1 503'))
  held[0]()
  await waitUntil(() => passedOn.received.endsWith('3'))
  assert.match(passedOn.received, /^HTTP\/1.1 200/)
})

test('closes the oldest unfinished request for a new connection, and neither served nor idle ones', async context => {
  const { open, held, reached } = await startServer(context, { connections: 3 })
  const idle = await open(createRequest('/', 1, 'a'))
  await waitUntil(() => idle.received.endsWith('1'))
  const serving = await open(createRequest('/held', 1, 'a'))
  await waitUntil(() => held.length === 1)
  const unfinished = await open('POST / HTT')
  const client = await open(createRequest('/', 2, 'ab'))
  await waitUntil(() => client.received.endsWith('2') && unfinished.isClosed)
  held[0]()
  await waitUntil(() => serving.received.endsWith('1'))
  assert.equal(idle.isClosed, false)
  assert.deepEqual(reached, ['connections'])
})

test('closes a connection with too many pipelined requests', async context => {
  const { open, reached } = await startServer(context)
  const client = await open(createRequest('/held', 0).repeat(100))
  await waitUntil(() => client.isClosed)
  assert.deepEqual(reached, ['pipelined-requests'])
})

test('answers from the head and closes the connection when a long body is announced', async context => {
  const { open } = await startServer(context)
  const long = await open(createRequest('/refused', 90_000))
  await waitUntil(() => long.isClosed)
  assert.match(long.received, /^HTTP\/1.1 404 [^]*connection: close[^]*{}$/)
  const tooLong = await open(createRequest('/', 300_000, 'x'.repeat(300_000)))
  await waitUntil(() => tooLong.isClosed)
  assert.match(tooLong.received, /^HTTP\/1.1 413 /)
  const small = await open(createRequest('/refused', 3, 'abc') + createRequest('/', 4, 'abcd'))
  await waitUntil(() => small.received.endsWith('4'))
})

test('a text with too many values is found before it is parsed, and text in strings does not count', () => {
  const limits = { containers: 3, fields: 2, depth: 2 }
  const isAllowed = (text: string) => measureJson(Buffer.from(text), limits) !== null
  assert.equal(isAllowed('{"a":[1,2,3],"b":[]}'), true)
  assert.equal(isAllowed('{"a":"[[[[{{{{:::::\\"[[[["}'), true)
  assert.equal(isAllowed('[{},{},{}]'), false)
  assert.equal(isAllowed('{"a":1,"b":2,"c":3}'), false)
  assert.equal(isAllowed('[[[]]]'), false)
  assert.equal(isAllowed('"[[[['), true)
})
