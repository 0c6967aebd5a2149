import assert from 'node:assert/strict'
import { once } from 'node:events'
import { get, type IncomingMessage } from 'node:http'
import { test } from 'node:test'
import { EntryDeployment } from '../../tools/bench/deployments/EntryDeployment.js'

const site = { dataCentre: 'south-a', region: 'south' }
/** Longer than the socket buffers of both ends together. */
const BODY_BYTES = 12_000_000

async function runWithPartialResponse (
  run: (deployment: EntryDeployment, response: IncomingMessage) => Promise<void>
): Promise<void> {
  const deployment = await EntryDeployment.start({ seed: 1, entries: [site], upstreams: [site] })
  try {
    const path = `/services/permit-desk/long?bytes=${BODY_BYTES}`
    const [response] = await once(get(`${deployment.urls[0]}${path}`), 'response') as [IncomingMessage]
    response.on('error', () => {})
    await run(deployment, response)
    response.destroy()
  } finally {
    await deployment.stop()
  }
}

test('a planned stop sends the rest of a response that the caller has received in part', async () => {
  await runWithPartialResponse(async (deployment, response) => {
    let receivedBytes = 0
    const stopped = deployment.entries[0].stop()
    await new Promise(resolve => setTimeout(resolve, 200))
    response.on('data', (chunk: Buffer) => { receivedBytes += chunk.length })
    await new Promise(resolve => response.once('close', resolve))
    assert.equal(receivedBytes, Number(response.headers['content-length']))
    await stopped
  })
})

test('a planned stop ends within six seconds although a caller reads no more of its response', async () => {
  await runWithPartialResponse(async deployment => {
    const startedAt = performance.now()
    await deployment.entries[0].stop()
    assert.ok(performance.now() - startedAt < 6000)
  })
})
