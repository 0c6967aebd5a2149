import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, test } from 'node:test'
import { request } from 'undici'
import { findFreePorts } from '../../stand-ins/shared/findFreePorts.js'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { silentLogger } from '../shared/index.js'
import { EntryInstance } from './EntryInstance.js'

const servers: Server[] = []

after(() => servers.forEach(server => server.close()))

async function listen (server: Server): Promise<string> {
  servers.push(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

test('the entry instance forwards a complete request and serves the record of its outcome', async () => {
  const upstream = await listen(createServer((incoming, response) => {
    response.writeHead(200, { 'papayamoor-request-id': incoming.headers['papayamoor-request-id'] })
    response.end(`${incoming.method} ${incoming.url}`)
  }))
  const list = await listen(createServer((_incoming, response) => {
    response.end(JSON.stringify([{
      instanceId: 'upstream-1',
      role: 'upstream',
      address: upstream,
      dataCentre: 'south-a',
      region: 'south',
      rack: 'r1',
      state: 'live',
      service: 'permit-desk',
      slots: 8,
      connections: 64
    }]))
  }))
  const [listenPort] = await findFreePorts(1)
  const instance = EntryInstance.create({
    logger: silentLogger,
    tableService: MemoryTableService.create(),
    settings: {
      instanceId: 'entry-1',
      dataCentre: 'south-a',
      region: 'south',
      listenHost: '127.0.0.1',
      listenPort,
      tableServiceUrl: '',
      instanceListUrl: `http://${list}`,
      callerKeys: new Map(),
      tlsKeyFile: '',
      tlsCertificateFile: '',
      maxBodyBytes: 1000,
      maxConnections: 10,
      senderTimeoutMilliseconds: 1000,
      drainDelayMilliseconds: 0,
      linkBytesPerSecond: 1000
    }
  })
  await instance.start()
  const base = `http://127.0.0.1:${listenPort}`
  while ((await request(`${base}/readyz`)).statusCode !== 200) await new Promise(resolve => setTimeout(resolve, 5))
  const answered = await request(`${base}/services/permit-desk/limits?x=1`, { method: 'POST', body: 'hello' })
  assert.equal(await answered.body.text(), 'POST /limits?x=1')
  assert.equal(answered.headers['papayamoor-outcome'], 'answered')
  const record = await request(`${base}/requests/${String(answered.headers['papayamoor-request-id'])}`)
  assert.equal((await record.body.json() as { outcome: string }).outcome, 'answered')
  const tooLarge = await request(`${base}/services/permit-desk/limits`, { method: 'POST', body: 'x'.repeat(1001) })
  assert.equal(tooLarge.statusCode, 413)
  assert.equal(tooLarge.headers['papayamoor-outcome'], 'not-run')
  await tooLarge.body.dump()
  const unknown = await request(`${base}/services/other/limits`)
  assert.equal(unknown.statusCode, 404)
  await unknown.body.dump()
  await instance.stop()
})
