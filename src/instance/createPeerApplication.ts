import type { IncomingMessage, ServerResponse } from 'node:http'
import polka, { type Polka, type Request } from 'polka'
import type { Registry } from 'prom-client'
import { BodyNotReadError } from '../http/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Logger } from '../shared/Logger.js'
import { decodeSubmission } from './jobRows.js'
import type { OwnerApi } from './OwnerPeer.js'

/** Options of the application for peers. */
export interface PeerApplicationOptions {
  /** The calls that the owner handles. */
  ownerApi: OwnerApi
  registry: Registry
  logger: Logger
  /**
   * Reads and decodes the body of a request, within limits; rejects with `BodyNotReadError` after answering the
   * request where that is not possible. By default the body has no limit.
   */
  readJson? (request: IncomingMessage, response: ServerResponse): Promise<JsonValue>
}

/** The path of a request may have thousands of characters. */
const LOGGED_PATH_LENGTH = 200

/**
 * Creates the HTTP application that serves peers and metrics.
 * @param options The calls that the owner handles, the metrics and the logger.
 * @returns The application, which does not listen yet.
 */
export function createPeerApplication (options: PeerApplicationOptions): Polka {
  const { ownerApi, registry, logger, readJson = readWholeJson } = options
  /** Sends what `respond` returns, or status 400 when the request cannot be read: null or an error. */
  const handle = (respond: (request: Request, response: ServerResponse) => object | null | Promise<object | null>) =>
    async (request: Request, response: ServerResponse): Promise<void> => {
      const path = (request.url ?? '').slice(0, LOGGED_PATH_LENGTH)
      try {
        const body = await respond(request, response)
        if (body !== null) return sendJson(response, body)
        logger.warn('malformed request of a peer rejected', { path })
      } catch (error) {
        if (error instanceof BodyNotReadError) return
        logger.warn('request of a peer failed', { path, reason: (error as Error).message })
      }
      response.writeHead(400)
      response.end()
    }
  const application = polka()
  application.get('/owner', handle(() => ownerApi.probe()))
  application.get('/jobs/:jobId', handle(request => (
    { state: ownerApi.getJobState(request.params.jobId, getText(request.query.account)) })))
  application.get('/queues/:queueName', handle(request => (
    { waiting: ownerApi.countWaiting(decodeURIComponent(request.params.queueName)) })))
  application.post('/submissions', handle(async (request, response) => {
    const submission = decodeSubmission(await readJson(request, response))
    return submission === null ? null : { outcome: await ownerApi.storeSubmission(submission) }
  }))
  application.post('/cancellations', handle(async (request, response) => {
    const body = await readJson(request, response) as { jobId?: JsonValue, accountName?: JsonValue } | null
    if (typeof body?.jobId !== 'string') return null
    return { outcome: await ownerApi.storeCancellation(body.jobId, getText(body.accountName)) }
  }))
  application.get('/accounts', (_request, response) => {
    const answer = ownerApi.describeAccounts()
    if (answer.kind === 'owner') return sendJson(response, { accounts: answer.accounts })
    sendJson(response, { ownerAddress: answer.ownerAddress }, 503)
  })
  application.get('/metrics', async (_request, response) => {
    response.setHeader('content-type', registry.contentType)
    response.end(await registry.metrics())
  })
  return application
}

function getText (value: unknown): string | null {
  return typeof value === 'string' ? value : null
}

function sendJson (response: ServerResponse, body: object, status = 200): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

async function readWholeJson (request: IncomingMessage): Promise<JsonValue> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return JSON.parse(Buffer.concat(chunks).toString()) as JsonValue
}
