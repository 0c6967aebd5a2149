import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { HttpCaller } from '../shared/HttpCaller.js'
import { HttpOwnerPeer } from './OwnerPeer.js'

/** The slowest link of an instance in the sites' files. */
const LINK_BYTES_PER_MILLISECOND = 250
/** The owner receives such a submission over that link for longer than the time limit of a small one. */
const SUBMISSION_BYTES = 400_000
/** How long the owner's attempt to store a row may take. */
const STORE_MILLISECONDS = 900

/** Starts a server that calls `onData` when a connection has received its first data. */
async function startServer (context: TestContext, onData: (socket: Socket) => void): Promise<Server> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => onData(socket))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  context.after(() => server.close())
  return server
}

function getAddress (server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function createPeer (context: TestContext): HttpOwnerPeer {
  const caller = HttpCaller.create({ connections: 1 })
  context.after(() => caller.close())
  return HttpOwnerPeer.create({ caller })
}

test('an owner whose connections are reset does not count as stopped', async context => {
  const server = await startServer(context, socket => socket.resetAndDestroy())
  const peer = createPeer(context)
  for (let index = 0; index < 2; index++) {
    assert.deepEqual(await peer.probe(getAddress(server)), { kind: 'silent', reason: 'ECONNRESET' })
  }
})

test('an owner whose connections close without a response does not count as stopped', async context => {
  const server = await startServer(context, socket => socket.destroy())
  assert.deepEqual(await createPeer(context).probe(getAddress(server)), { kind: 'silent', reason: 'UND_ERR_SOCKET' })
})

test('an owner whose address refuses connections counts as stopped', async context => {
  const server = await startServer(context, () => {})
  const address = getAddress(server)
  await new Promise(resolve => server.close(resolve))
  assert.deepEqual(await createPeer(context).probe(address), { kind: 'refused' })
})

test('a large submission is stored by the owner over a slow link', async context => {
  const server = createHttpServer(async (request, response) => {
    try {
      for await (const chunk of request) await sleep((chunk as Buffer).length / LINK_BYTES_PER_MILLISECOND)
    } catch {
      return response.destroy()
    }
    await sleep(STORE_MILLISECONDS)
    response.end('{"outcome":"stored"}')
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  context.after(() => {
    server.closeAllConnections()
    server.close()
  })
  const small = createSubmission([{}])
  const specification = { ...small.specification, taskDescription: 'x'.repeat(SUBMISSION_BYTES) }
  const submission = { ...small, specification }
  assert.equal(await createPeer(context).storeSubmission(getAddress(server), submission), 'stored')
})
