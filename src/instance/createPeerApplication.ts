import type { IncomingMessage, ServerResponse } from 'node:http'
import polka, { type Polka } from 'polka'
import type { Registry } from 'prom-client'
import type { JobSubmission } from '../jobs/index.js'
import type { OwnerApi } from './OwnerPeer.js'

/**
 * Creates the server for peers and for the collection of metrics.
 * @param options The owner's answers and the metrics.
 * @returns The application, which is not listening yet.
 */
export function createPeerApplication (options: { ownerApi: OwnerApi, registry: Registry }): Polka {
  const { ownerApi, registry } = options
  const application = polka()
  application.get('/owner', (_request, response) => sendJson(response, ownerApi.probe()))
  application.get('/jobs/:jobId', (request, response) => {
    sendJson(response, { state: ownerApi.getJobState(request.params.jobId) })
  })
  application.get('/queues/:queueName', (request, response) => {
    sendJson(response, { waiting: ownerApi.countWaiting(decodeURIComponent(request.params.queueName)) })
  })
  application.post('/submissions', async (request, response) => {
    const submission = await readJson(request) as JobSubmission
    sendJson(response, { outcome: await ownerApi.storeSubmission(submission) })
  })
  application.post('/cancellations', async (request, response) => {
    const { jobId } = await readJson(request) as { jobId: string }
    sendJson(response, { outcome: await ownerApi.storeCancellation(jobId) })
  })
  application.get('/metrics', async (_request, response) => {
    response.setHeader('content-type', registry.contentType)
    response.end(await registry.metrics())
  })
  return application
}

function sendJson (response: ServerResponse, body: object): void {
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return JSON.parse(Buffer.concat(chunks).toString())
}
