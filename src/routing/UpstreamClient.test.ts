import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { REQUEST_ID_HEADER, UpstreamClient, type AttemptResult } from './UpstreamClient.js'

test('an attempt that is abandoned before it is sent leaves the connection open for the next one', async context => {
  const paths: string[] = []
  const held: ServerResponse[] = []
  let connections = 0
  const server = createServer((request, response) => {
    paths.push(request.url ?? '')
    response.setHeader(REQUEST_ID_HEADER, String(request.headers[REQUEST_ID_HEADER]))
    if (request.url === '/held') held.push(response)
    else response.end('done')
  })
  server.on('connection', () => connections++)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = UpstreamClient.create({ connections: 1, maxResponseBytes: 1000, attemptTimeoutMilliseconds: 10_000 })
  context.after(async () => {
    server.closeAllConnections()
    server.close()
    await client.close()
  })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  let abort = (): void => {}
  const send = (path: string) => new Promise<AttemptResult>(resolve => {
    abort = client.send({ address, attemptId: path, method: 'POST', path, headers: [], body: null }, resolve)
  })
  const first = send('/held')
  while (held.length === 0) await new Promise(resolve => setImmediate(resolve))
  const second = send('/abandoned')
  abort()
  const third = send('/after')
  held[0].end('done')
  const results = [await first, await second, await third]
  assert.deepEqual(results.map(result => result.kind), ['answered', 'not-sent', 'answered'])
  assert.deepEqual(paths, ['/held', '/after'])
  assert.equal(connections, 1)
})
