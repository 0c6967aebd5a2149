import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { Server as NetServer, type Socket } from 'node:net'
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

/** Options of an entry server. */
export interface EntryServerOptions {
  instanceId: string
  clock: Clock
  metrics: EntryMetrics
  records: RequestRecords
  authenticator: CallerAuthenticator
  getPolicy: () => CompiledPolicy
  route: (request: RoutedRequest) => Promise<RequestOutcome>
  /** Finds the record of a request that another entry instance served. */
  findPeerRecord: (requestId: string) => Promise<RequestRecord | null>
  isReady: () => boolean
  handlePeerRequest: (request: IncomingMessage, response: ServerResponse) => void
  maxBodyBytes: number
  maxConnections: number
  senderTimeoutMilliseconds: number
  tls: { key: Buffer, cert: Buffer } | null
}

const DEADLINE_HEADER = 'papayamoor-deadline-milliseconds'
const KIND_HEADER = 'papayamoor-kind'
const KEY_HEADER = 'idempotency-key'
/** The deadline if neither the caller nor the policy sets one. Common clients time out after 30 s. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000
const MAXIMUM_DEADLINE_MILLISECONDS = 600_000
const MAX_HEADER_BYTES = 16_384
const MAXIMUM_KEY_LENGTH = 256
/** How often Node.js checks connections for the headers and request timeouts. */
const CONNECTIONS_CHECK_MILLISECONDS = 1000
/** The time that callers have, during a planned stop, to receive the rest of their responses. */
const RESPONSE_TIMEOUT_MILLISECONDS = 5000
/** Longer than the load balancer of the platform keeps idle connections, so that it closes them first. */
const KEEP_ALIVE_MILLISECONDS = 65_000
const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/
/** Headers that are meant for the entry instance or are generated anew for the upstream. */
const NOT_FORWARDED_HEADERS = new Set([
  'host', 'content-length', 'expect', 'authorization', 'papayamoor-request-id', DEADLINE_HEADER
])

/** Serves callers, health probes and peers over HTTP. */
export class EntryServer {
  readonly server: Server
  private isDraining = false
  private inFlightCount = 0
  private notifyIdle: (() => void) | null = null
  /** Responses that were handed to their connections and are not sent completely. */
  private readonly unsentResponses = new Set<ServerResponse>()

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
   * @param options The limits of the server and the functions that it calls.
   * @returns The server.
   */
  static create (options: EntryServerOptions): EntryServer {
    return new EntryServer(options)
  }

  /**
   * Starts listening.
   * @param port The TCP port.
   * @param host The IP address.
   */
  async listen (port: number, host: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  /** Fails readiness and asks callers to close their connections. Requests are still served. */
  startDraining (): void {
    this.isDraining = true
  }

  /** Stops listening and waits until every request in flight has ended and its response has been sent. */
  async stop (): Promise<void> {
    this.isDraining = true
    // The close method of an HTTP server would also cut connections whose response has been sent only in part.
    const closed = new Promise<void>(resolve => { NetServer.prototype.close.call(this.server, () => resolve()) })
    if (this.inFlightCount > 0) await new Promise<void>(resolve => { this.notifyIdle = resolve })
    await this.waitForUnsentResponses()
    this.server.close()
    await closed
  }

  private async waitForUnsentResponses (): Promise<void> {
    const sent = [...this.unsentResponses].map(response => new Promise<void>(resolve => { response.once('close', resolve) }))
    if (sent.length === 0) return
    let cancelTimer = () => {}
    const timeout = new Promise<void>(resolve => {
      cancelTimer = this.options.clock.setTimer(RESPONSE_TIMEOUT_MILLISECONDS, resolve)
    })
    await Promise.race([Promise.all(sent), timeout])
    cancelTimer()
  }

  private addRoutes (): void {
    const { metrics, records, isReady, handlePeerRequest, findPeerRecord } = this.options
    const application = polka({ server: this.server })
    application.use((_request, response, next) => {
      if (this.isDraining) response.setHeader('connection', 'close')
      next()
    })
    application.get('/healthz', (_request, response) => response.end('ok'))
    application.get('/readyz', (_request, response) => {
      const ready = !this.isDraining && isReady()
      response.writeHead(ready ? 200 : 503).end(ready ? 'ready' : 'not ready')
    })
    application.get('/metrics', async (_request, response) => {
      const text = await metrics.registry.metrics()
      response.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text)
    })
    application.get('/requests/:requestId', async (request, response) => {
      const { requestId } = request.params
      const record = records.get(requestId) ?? await findPeerRecord(requestId)
      response.writeHead(record === null ? 404 : 200, { 'content-type': 'application/json' })
      response.end(JSON.stringify(record ?? { requestId, outcome: null }))
    })
    application.all('/trpc/*', (request, response) => handlePeerRequest(request, response))
    application.all('/services/*', async (request, response) => await this.serveRequest(request, response))
    this.server.on('request', application.handler)
  }

  private async serveRequest (request: Request, response: ServerResponse): Promise<void> {
    const { clock, metrics, records, instanceId } = this.options
    const startedAt = clock.monotonicMilliseconds()
    const requestId = `${instanceId}.${createIdentifier()}`
    this.inFlightCount++
    metrics.inFlight.set(this.inFlightCount)
    try {
      const parsed = await this.parseRequest(request, requestId, startedAt)
      let outcome: RequestOutcome
      if ('kind' in parsed) {
        outcome = parsed
      } else {
        records.recordOutcome(requestId, null)
        outcome = await this.options.route(parsed.request)
      }
      records.recordOutcome(requestId, outcome)
      const workClass = 'kind' in parsed ? 'may-wait' : parsed.request.workClass
      metrics.requests.inc({ outcome: outcome.kind, class: workClass })
      if (outcome.kind === 'notRun') metrics.notRun.inc({ reason: outcome.reason })
      metrics.duration.observe(
        { outcome: getOutcomeName(outcome.kind) }, (clock.monotonicMilliseconds() - startedAt) / 1000)
      // The connection is closed, so that an unread part of the body is not parsed as the next request.
      if (!request.complete) response.setHeader('connection', 'close')
      sendOutcome(response, requestId, outcome)
      if (!request.complete) request.resume()
    } finally {
      this.trackUntilSent(response)
      this.inFlightCount--
      metrics.inFlight.set(this.inFlightCount)
      if (this.inFlightCount === 0) this.notifyIdle?.()
    }
  }

  private trackUntilSent (response: ServerResponse): void {
    if (response.closed || response.socket === null || response.socket.destroyed) return
    this.unsentResponses.add(response)
    response.once('close', () => this.unsentResponses.delete(response))
  }

  private async parseRequest (
    request: Request,
    requestId: string,
    startedAt: number
  ): Promise<{ request: RoutedRequest } | RequestOutcome> {
    const { metrics, authenticator, maxBodyBytes, senderTimeoutMilliseconds, getPolicy, isReady } = this.options
    const pathMatch = SERVICE_PATH.exec(request.originalUrl)
    if (pathMatch === null) return createNotRunOutcome('malformed', 'expected /services/SERVICE/PATH')
    const caller = authenticator.identify(request.headers)
    if (caller === null) {
      metrics.rejected.inc({ limit: 'authentication' })
      return createNotRunOutcome('not-authenticated', 'expected a known bearer key in the authorization header')
    }
    if (!isReady()) {
      const detail = 'no configuration has been read yet'
      return request.headers[KEY_HEADER] === undefined
        ? createNotRunOutcome('no-configuration', detail)
        : createUnclaimedOutcome(detail)
    }
    const kind = String(request.headers[KIND_HEADER] ?? pathMatch[1])
    const policy = getPolicy().getKindPolicy(kind)
    const deadline = parseDeadline(request.headers[DEADLINE_HEADER])
    const key = request.headers[KEY_HEADER] ?? null
    if (deadline === undefined || (key !== null && (key === '' || key.length > MAXIMUM_KEY_LENGTH))) {
      metrics.rejected.inc({ limit: 'malformed' })
      return createNotRunOutcome('malformed', deadline === undefined
        ? `${DEADLINE_HEADER}: expected milliseconds from 1 to ${MAXIMUM_DEADLINE_MILLISECONDS}`
        : `${KEY_HEADER}: expected 1 to ${MAXIMUM_KEY_LENGTH} characters`)
    }
    const body = await readBody(request, { maxBodyBytes, timeoutMilliseconds: senderTimeoutMilliseconds })
    if (body.kind === 'failed') {
      metrics.rejected.inc({ limit: body.failure })
      return body.failure === 'body-too-large'
        ? createNotRunOutcome('body-too-large', `expected at most ${maxBodyBytes} bytes`)
        : createNotRunOutcome('body-too-slow', `expected the whole body within ${senderTimeoutMilliseconds} ms`)
    }
    const allowedMilliseconds = deadline ?? policy.withinMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS
    return {
      request: {
        requestId,
        service: pathMatch[1],
        method: request.method ?? 'GET',
        path: `${pathMatch[2] ?? '/'}${pathMatch[3] ?? ''}`,
        headers: selectForwardedHeaders(request.rawHeaders),
        body: body.value,
        caller,
        kind,
        workClass: policy.workClass,
        mayRepeat: policy.mayRepeat,
        idempotencyKey: key === null ? null : String(key),
        deadlineAt: startedAt + allowedMilliseconds
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

function createNotRunOutcome (reason: (RequestOutcome & { kind: 'notRun' })['reason'], detail: string) {
  return { kind: 'notRun', reason, detail } as const
}

/** Returns the deadline, null if the header is absent, or undefined if it is malformed. */
function parseDeadline (text: string | string[] | undefined): number | null | undefined {
  if (text === undefined) return null
  const deadline = Number(text)
  return Number.isInteger(deadline) && deadline >= 1 && deadline <= MAXIMUM_DEADLINE_MILLISECONDS ? deadline : undefined
}

function selectForwardedHeaders (rawHeaders: string[]): string[] {
  const headers: string[] = []
  for (let position = 0; position < rawHeaders.length; position += 2) {
    const name = rawHeaders[position].toLowerCase()
    if (!NOT_FORWARDED_HEADERS.has(name) && !isHopByHopHeader(name)) headers.push(name, rawHeaders[position + 1])
  }
  return headers
}
