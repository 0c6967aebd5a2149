import { createServer } from 'node:http'
import { Agent } from 'undici'

/**
 * The naive router for comparison: round robin over all upstreams without concurrency limits, with up to three
 * attempts whatever the outcome of the previous one. `STAND_IN_ADDRESSES` is a JSON array of addresses.
 */
const ATTEMPTS = 3
const addresses = JSON.parse(process.env.STAND_IN_ADDRESSES ?? '[]') as string[]
const agent = new Agent({ pipelining: 1 })
let turn = 0
let attempts = 0

createServer(async (request, response) => {
  if (request.url === '/attempts') return response.end(String(attempts))
  if (request.url === '/readyz') return response.end()
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const path = request.url?.replace('/services/permit-desk', '') ?? '/'
  for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
    attempts++
    try {
      const upstreamResponse = await agent.request({
        origin: `http://${addresses[turn++ % addresses.length]}`,
        path,
        method: request.method as 'GET',
        headers: { 'papayamoor-kind': String(request.headers['papayamoor-kind']), 'papayamoor-request-id': `n${turn}` },
        body: chunks.length === 0 ? null : Buffer.concat(chunks)
      })
      const body = Buffer.from(await upstreamResponse.body.arrayBuffer())
      if (upstreamResponse.statusCode === 503 && attempt < ATTEMPTS) continue
      response.writeHead(upstreamResponse.statusCode, {
        'papayamoor-outcome': upstreamResponse.statusCode === 200 ? 'answered' : 'not-run'
      })
      response.end(upstreamResponse.statusCode === 200 ? body : '{"reason":"refused"}')
      return
    } catch {}
  }
  response.writeHead(502, { 'papayamoor-outcome': 'not-run' }).end('{"reason":"failed"}')
}).listen(Number(process.env.STAND_IN_PORT), '127.0.0.1')
