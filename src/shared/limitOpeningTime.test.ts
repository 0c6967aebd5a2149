import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import buildConnector from 'undici/lib/core/connect.js'
import { HttpCaller } from './HttpCaller.js'

const CONNECT_MILLISECONDS = 50
const CALL_MILLISECONDS = 5000

// The only connection stayed occupied for a second, and the calls behind it expired without being sent.
test('a connection that does not open in time is replaced by the next call', async context => {
  const server = createServer((_request, response) => response.end())
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const connect = buildConnector({})
  let attempts = 0
  const caller = HttpCaller.create({
    connections: 1,
    connectTimeoutMilliseconds: CONNECT_MILLISECONDS,
    // The first packets of two connections are lost.
    openConnection: (options, callback) => { if (++attempts > 2) connect(options, callback) }
  })
  context.after(() => {
    caller.close()
    server.close()
  })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const kinds: string[] = []
  for (let count = 0; count < 3; count++) {
    const result = await caller.call({ address, method: 'GET', path: '/', timeoutMilliseconds: CALL_MILLISECONDS })
    kinds.push(result.kind === 'answered' ? result.kind : `${result.kind} ${result.reason}`)
  }
  assert.deepEqual(kinds, [
    'not-sent UND_ERR_CONNECT_TIMEOUT', 'not-sent UND_ERR_CONNECT_TIMEOUT', 'answered'
  ])
})
