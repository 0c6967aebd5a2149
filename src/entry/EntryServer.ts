import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { Socket } from 'node:net'
import polka, { type Request } from 'polka'
import { createIdentifier, type Clock } from '../shared/index.js'
import type { CompiledPolicy } from '../policy/index.js'
import { createUnclaimedOutcome, type RequestOutcome, type RoutedRequest } from '../routing/RequestOutcome.js'
import { isHopByHopHeader } from '../routing/UpstreamClient.js'
import type { CallerAuthenticator } from './CallerAuthenticator.js'
import type { EntryMetrics } from './EntryMetrics.js'
import { readBody } from './readBody.js'
import type { RequestRecord, RequestRecords } from './RequestRecords.js'
import { getOutcomeName, sendOutcome } from './sendOutcome.js'

/** Options of the server. */
export interface EntryServerOptions {
  instanceId: string
  clock: Clock
  metrics: EntryMetrics
  records: RequestRecords
  authenticator: CallerAuthenticator
  getPolicy: () => CompiledPolicy
  route: (request: RoutedRequest) => Promise<RequestOutcome>
  /** Looks for a request of another entry instance. */
  findRecord: (requestId: string) => Promise<RequestRecord | null>
  isReady: () => boolean
  handlePeer: (request: IncomingMessage, response: ServerResponse) => void
  maxBodyBytes: number
  maxConnections: number
  senderTimeoutMilliseconds: number
  tls: { key: Buffer, cert: Buffer } | null
}

const DEADLINE_HEADER = 'papayamoor-deadline-milliseconds'
const KIND_HEADER = 'papayamoor-kind'
const KEY_HEADER = 'idempotency-key'
/** Work that may wait and names no deadline waits this long; common clients give up after 30 s. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000
const LONGEST_DEADLINE_MILLISECONDS = 600_000
const MAX_HEADER_BYTES = 16_384
const LONGEST_KEY = 256
/** How often Node.js looks for connections whose headers are late. */
const CONNECTIONS_CHECK_MILLISECONDS = 1000
/** Idle connections are kept longer than the platform's load balancer keeps them. */
const KEEP_ALIVE_MILLISECONDS = 65_000
const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/
/** Headers that are ours or are made anew for the upstream. */
const OWN_HEADERS = new Set([
  'host', 'content-length', 'expect', 'authorization', 'papayamoor-request-id', DEADLINE_HEADER
])

/** Serves callers, probes and peers over HTTP. */
export class EntryServer {
  readonly server: Server
  private draining = false
  private inFlight = 0
  private onIdle: (() => void) | null = null

  private constructor (private readonly options: EntryServerOptions) {
    const serverOptions = {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: options.senderTimeoutMilliseconds,
      requestTimeout: options.senderTimeoutMilliseconds,
      connectionsCheckingInterval: CONNECTIONS_CHECK_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS
    }
    this.server = options.tls === null
      ? createServer(serverOptions)
      : createTlsServer({ ...serverOptions, ...options.tls })
    this.server.maxConnections = options.maxConnections
    this.server.on('clientError', (error, socket) => this.rejectMalformed(error, socket as Socket))
    this.server.on('drop', () => options.metrics.rejected.inc({ limit: 'connections' }))
    this.addRoutes()
  }

  /**
   * Creates a server that does not listen yet.
   * @param options What the server calls.
   * @returns The server.
   */
  static create (options: EntryServerOptions): EntryServer {
    return new EntryServer(options)
  }

  /**
   * Starts to listen.
   * @param port The TCP port.
   * @param host The IP address.
   */
  async listen (port: number, host: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  /** Fails readiness and asks callers to close their connections; requests are still served. */
  startDraining (): void {
    this.draining = true
  }

  /** Stops listening and waits for every request in flight. */
  async stop (): Promise<void> {
    this.draining = true
    const closed = new Promise<void>(resolve => { this.server.close(() => resolve()) })
    if (this.inFlight > 0) await new Promise<void>(resolve => { this.onIdle = resolve })
    this.server.closeIdleConnections()
    await closed
  }

  private addRoutes (): void {
    const { metrics, records, isReady, handlePeer, findRecord } = this.options
    const application = polka({ server: this.server })
    application.use((_request, response, next) => {
      if (this.draining) response.setHeader('connection', 'close')
      next()
    })
    application.get('/healthz', (_request, response) => response.end('ok'))
    application.get('/readyz', (_request, response) => {
      const ready = !this.draining && isReady()
      response.writeHead(ready ? 200 : 503).end(ready ? 'ready' : 'not ready')
    })
    application.get('/metrics', async (_request, response) => {
      const text = await metrics.registry.metrics()
      response.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text)
    })
    application.get('/requests/:requestId', async (request, response) => {
      const { requestId } = request.params
      const record = records.get(requestId) ?? await findRecord(requestId)
      response.writeHead(record === null ? 404 : 200, { 'content-type': 'application/json' })
      response.end(JSON.stringify(record ?? { requestId, outcome: null }))
    })
    application.all('/trpc/*', (request, response) => handlePeer(request, response))
    application.all('/services/*', async (request, response) => await this.serve(request, response))
    this.server.on('request', application.handler)
  }

  private async serve (request: Request, response: ServerResponse): Promise<void> {
    const { clock, metrics, records, instanceId } = this.options
    const startedAt = clock.monotonicMilliseconds()
    const requestId = `${instanceId}.${createIdentifier()}`
    this.inFlight++
    metrics.inFlight.set(this.inFlight)
    try {
      const prepared = await this.prepare(request, requestId, startedAt)
      let outcome: RequestOutcome
      if ('kind' in prepared) {
        outcome = prepared
      } else {
        records.note(requestId, null)
        outcome = await this.options.route(prepared.request)
      }
      records.note(requestId, outcome)
      const workClass = 'kind' in prepared ? 'may-wait' : prepared.request.workClass
      metrics.requests.inc({ outcome: outcome.kind, class: workClass })
      if (outcome.kind === 'notRun') metrics.notRun.inc({ reason: outcome.reason })
      metrics.duration.observe(
        { outcome: getOutcomeName(outcome.kind) }, (clock.monotonicMilliseconds() - startedAt) / 1000)
      // The rest of a body that was not read must not be taken for the next request.
      if (!request.complete) response.setHeader('connection', 'close')
      sendOutcome(response, requestId, outcome)
      if (!request.complete) request.resume()
    } finally {
      this.inFlight--
      metrics.inFlight.set(this.inFlight)
      if (this.inFlight === 0) this.onIdle?.()
    }
  }

  private async prepare (
    request: Request,
    requestId: string,
    startedAt: number
  ): Promise<{ request: RoutedRequest } | RequestOutcome> {
    const { metrics, authenticator, maxBodyBytes, senderTimeoutMilliseconds, getPolicy, isReady } = this.options
    const parts = SERVICE_PATH.exec(request.originalUrl)
    if (parts === null) return notRun('malformed', 'expected /services/SERVICE/PATH')
    const caller = authenticator.identify(request.headers)
    if (caller === null) {
      metrics.rejected.inc({ limit: 'authentication' })
      return notRun('not-authenticated', 'expected a known bearer key in the authorization header')
    }
    if (!isReady()) {
      const detail = 'no configuration has been read yet'
      return request.headers[KEY_HEADER] === undefined
        ? notRun('no-configuration', detail)
        : createUnclaimedOutcome(detail)
    }
    const kind = String(request.headers[KIND_HEADER] ?? parts[1])
    const policy = getPolicy().getKindPolicy(kind)
    const deadline = readDeadline(request.headers[DEADLINE_HEADER])
    const key = request.headers[KEY_HEADER] ?? null
    if (deadline === undefined || (key !== null && (key === '' || key.length > LONGEST_KEY))) {
      metrics.rejected.inc({ limit: 'malformed' })
      return notRun('malformed', deadline === undefined
        ? `${DEADLINE_HEADER}: expected milliseconds from 1 to ${LONGEST_DEADLINE_MILLISECONDS}`
        : `${KEY_HEADER}: expected 1 to ${LONGEST_KEY} characters`)
    }
    const body = await readBody(request, { maxBodyBytes, timeoutMilliseconds: senderTimeoutMilliseconds })
    if (body.kind === 'failed') {
      metrics.rejected.inc({ limit: body.failure })
      return body.failure === 'body-too-large'
        ? notRun('body-too-large', `expected at most ${maxBodyBytes} bytes`)
        : notRun('body-too-slow', `expected the whole body within ${senderTimeoutMilliseconds} ms`)
    }
    const allowed = deadline ?? policy.withinMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS
    return {
      request: {
        requestId,
        service: parts[1],
        method: request.method ?? 'GET',
        path: `${parts[2] ?? '/'}${parts[3] ?? ''}`,
        headers: selectHeaders(request.rawHeaders),
        body: body.value,
        caller,
        kind,
        workClass: policy.workClass,
        mayRepeat: policy.mayRepeat,
        idempotencyKey: key === null ? null : String(key),
        deadlineAt: startedAt + allowed
      }
    }
  }

  private rejectMalformed (error: Error, socket: Socket): void {
    const code = (error as { code?: string }).code
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const [limit, status] = code === 'HPE_HEADER_OVERFLOW'
      ? ['headers-too-large', '431 Request Header Fields Too Large']
      : code === 'ERR_HTTP_REQUEST_TIMEOUT'
        ? ['sender-too-slow', '408 Request Timeout']
        : ['malformed', '400 Bad Request']
    this.options.metrics.rejected.inc({ limit })
    socket.end(`HTTP/1.1 ${status}\r\npapayamoor-outcome: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
  }
}

function notRun (reason: (RequestOutcome & { kind: 'notRun' })['reason'], detail: string) {
  return { kind: 'notRun', reason, detail } as const
}

/** Returns null without a deadline and undefined for a malformed one. */
function readDeadline (text: string | string[] | undefined): number | null | undefined {
  if (text === undefined) return null
  const deadline = Number(text)
  return Number.isInteger(deadline) && deadline >= 1 && deadline <= LONGEST_DEADLINE_MILLISECONDS ? deadline : undefined
}

function selectHeaders (rawHeaders: string[]): string[] {
  const headers: string[] = []
  for (let position = 0; position < rawHeaders.length; position += 2) {
    const name = rawHeaders[position].toLowerCase()
    if (!OWN_HEADERS.has(name) && !isHopByHopHeader(name)) headers.push(name, rawHeaders[position + 1])
  }
  return headers
}
