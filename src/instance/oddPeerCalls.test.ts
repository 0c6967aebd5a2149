import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import { Registry } from 'prom-client'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { HttpCaller } from '../shared/HttpCaller.js'
import { createPeerApplication } from './createPeerApplication.js'
import { HttpOwnerPeer, type OwnerApi } from './OwnerPeer.js'

const DEEP_LIST = `${'['.repeat(100_000)}1${']'.repeat(100_000)}`

/** Serves peers, and returns the port and the messages that were logged. */
async function startApplication (context: TestContext): Promise<{ port: number, warnings: string[] }> {
  const warnings: string[] = []
  const ownerApi: OwnerApi = {
    storeSubmission: async () => 'stored',
    storeCancellation: async () => 'stored',
    probe: () => ({ isOwner: true, renewalAge: 1 }),
    getJobState: () => 'running',
    countWaiting: () => 3,
    describeAccounts: () => ({ kind: 'owner', accounts: [] })
  }
  const logger = { info: () => {}, warn: (message: string) => { warnings.push(message) }, error: () => {} }
  const server = createServer(createPeerApplication({ ownerApi, registry: new Registry(), logger }).handler)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  context.after(() => {
    server.closeAllConnections()
    server.close()
  })
  return { port: (server.address() as AddressInfo).port, warnings }
}

function createCaller (context: TestContext): HttpCaller {
  const caller = HttpCaller.create({ connections: 1 })
  context.after(() => caller.close())
  return caller
}

test('a request of a peer that cannot be read is rejected and logged, and does not end the owner', async context => {
  const { port, warnings } = await startApplication(context)
  const caller = createCaller(context)
  const call = async (method: 'GET' | 'POST', path: string, body?: string) => {
    const result = await caller.call({ address: `127.0.0.1:${port}`, method, path, body, timeoutMilliseconds: 10_000 })
    return result.kind === 'answered' ? result.statusCode : result.kind
  }
  for (const body of ['{', '', 'null', '[]', '7', '{}', '{"jobId":7}', DEEP_LIST]) {
    assert.equal(await call('POST', '/submissions', body), 400, body.slice(0, 20))
    assert.equal(await call('POST', '/cancellations', body), 400, body.slice(0, 20))
  }
  assert.equal(await call('GET', '/queues/%zz'), 400)
  assert.equal(warnings.length, 17)
  const peer = HttpOwnerPeer.create({ caller })
  assert.equal(await peer.storeSubmission(`127.0.0.1:${port}`, createSubmission([{ taskCount: 1 }])), 'stored')
  assert.equal(await peer.storeCancellation(`127.0.0.1:${port}`, 'job'), 'stored')
  assert.equal(await peer.countWaiting(`127.0.0.1:${port}`, 'a/b'), 3)
})

test('a peer that ends while it sends a submission does not end the owner', async context => {
  const { port, warnings } = await startApplication(context)
  const socket = connect(port, '127.0.0.1')
  await once(socket, 'connect')
  socket.write('POST /submissions HTTP/1.1\r\nhost: owner\r\ncontent-length: 100\r\n\r\n{')
  const caller = createCaller(context)
  const peer = HttpOwnerPeer.create({ caller })
  // The response shows that the server has read from its connections.
  assert.equal(await peer.countWaiting(`127.0.0.1:${port}`, 'queue'), 3)
  socket.resetAndDestroy()
  while (warnings.length === 0) await new Promise(resolve => { setImmediate(resolve) })
  assert.deepEqual(await peer.probe(`127.0.0.1:${port}`), { kind: 'alive', isOwner: true, renewalAge: 1 })
})

test('an answer that no owner sends does not end the process that called', async context => {
  let body = ''
  const server = createServer((_request, response) => { response.end(body) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  context.after(() => server.close())
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const peer = HttpOwnerPeer.create({ caller: createCaller(context) })
  for (body of ['<html>', '', 'null', '7', '{}', DEEP_LIST]) {
    assert.deepEqual(await peer.probe(address), { kind: 'silent', reason: 'malformed answer' }, body.slice(0, 20))
    assert.equal(await peer.getJobState(address, 'job'), null)
    assert.equal(await peer.countWaiting(address, 'queue'), null)
    assert.equal(await peer.storeCancellation(address, 'job'), 'unknown')
  }
})
