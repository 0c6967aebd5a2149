import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import { EntryDeployment } from '../../tools/bench/deployments/EntryDeployment.js'

const site = { dataCentre: 'south-a', region: 'south' }
const key = 'a-long-random-key'
let deployment: EntryDeployment

before(async () => {
  deployment = await EntryDeployment.start({
    seed: 1,
    entries: [site],
    upstreams: [site],
    serviceMilliseconds: {},
    settings: {
      maxBodyBytes: 100,
      senderTimeoutMilliseconds: 500,
      maxConnections: 20,
      callerKeys: new Map([[createHash('sha256').update(key).digest('hex'), 'desk']])
    }
  })
})
after(async () => { await deployment.stop() })

/** Sends raw bytes and returns the received data once it contains complete headers or the connection ends. */
function sendRawRequest (text: string): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(Number(new URL(deployment.urls[0]).port), '127.0.0.1')
    let received = ''
    const end = () => {
      socket.destroy()
      resolve(received)
    }
    socket.on('data', data => {
      received += data.toString()
      if (received.includes('\r\n\r\n')) setTimeout(end, 50)
    })
    socket.on('error', end)
    socket.on('close', end)
    socket.write(text)
  })
}

const requestHead = 'POST /services/permit-desk/x HTTP/1.1\r\nhost: e\r\n'
const knownKeyHeader = `authorization: Bearer ${key}\r\n`
const cases: Array<{ name: string, text: string, status: number, limit: string | null }> = [
  { name: 'a known key', text: `${requestHead}${knownKeyHeader}content-length: 2\r\n\r\nhi`, status: 200, limit: null },
  { name: 'no key', text: `${requestHead}content-length: 2\r\n\r\nhi`, status: 401, limit: 'authentication' },
  { name: 'an unknown key', text: `${requestHead}authorization: Bearer x\r\n\r\n`, status: 401, limit: 'authentication' },
  { name: 'a content-length beyond the limit', text: `${requestHead}${knownKeyHeader}content-length: 101\r\n\r\n`, status: 413, limit: 'body-too-large' },
  {
    name: 'a chunked body beyond the limit',
    text: `${requestHead}${knownKeyHeader}transfer-encoding: chunked\r\n\r\n80\r\n${'x'.repeat(128)}\r\n`,
    status: 413,
    limit: 'body-too-large'
  },
  { name: 'a slow body', text: `${requestHead}${knownKeyHeader}content-length: 50\r\n\r\nhi`, status: 408, limit: 'body-too-slow' },
  { name: 'slow headers', text: `${requestHead}x: `, status: 408, limit: 'sender-too-slow' },
  { name: 'headers beyond the size limit', text: `${requestHead}x: ${'x'.repeat(20_000)}\r\n\r\n`, status: 431, limit: 'headers-too-large' },
  { name: 'bytes that are not HTTP', text: 'hello\r\n\r\n', status: 400, limit: 'malformed' },
  { name: 'a malformed deadline', text: `${requestHead}${knownKeyHeader}papayamoor-deadline-milliseconds: soon\r\n\r\n`, status: 400, limit: 'malformed' },
  { name: 'an unknown service', text: `GET /services/other/x HTTP/1.1\r\nhost: e\r\n${knownKeyHeader}\r\n`, status: 404, limit: null }
]

for (const { name, text, status, limit } of cases) {
  test(`${name}: responds with status ${status} and the outcome, and counts rejections`, async () => {
    const runs = deployment.upstreams[0].counters.run
    const received = await sendRawRequest(text)
    assert.match(received, new RegExp(`^HTTP/1.1 ${status} `))
    assert.match(received, status === 200 ? /papayamoor-outcome: answered/ : /papayamoor-outcome: not-run/)
    assert.equal(deployment.upstreams[0].counters.run, runs + (status === 200 ? 1 : 0))
    if (limit === null) return
    const metrics = await (await fetch(`${deployment.urls[0]}/metrics`)).text()
    assert.match(metrics, new RegExp(`papayamoor_entry_rejected_total\\{limit="${limit}"\\} [1-9]`))
  })
}

test('connections beyond the limit are dropped and counted', async () => {
  const port = Number(new URL(deployment.urls[0]).port)
  const sockets = Array.from({ length: 30 }, () => connect(port, '127.0.0.1').on('error', () => {}))
  await new Promise(resolve => setTimeout(resolve, 200))
  sockets.forEach(socket => socket.destroy())
  await new Promise(resolve => setTimeout(resolve, 100))
  const metrics = await (await fetch(`${deployment.urls[0]}/metrics`)).text()
  assert.match(metrics, /papayamoor_entry_rejected_total\{limit="connections"\} [1-9]/)
})
