import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../../src/shared/Clock.js'
import { readBody } from '../shared/http.js'

/** The faults of an upstream; each share is the fraction of requests, 0 to 1, that the fault affects. */
export interface UpstreamFaults {
  /** Factor on the service time. */
  slowFactor: number
  /** Accepts requests and sends no responses until the fault is switched off. */
  frozen: boolean
  /** Share of the responses whose connection is closed in the middle of the body. */
  truncatedShare: number
  /** Share of the responses that are sent `lateMilliseconds` after the work is done. */
  lateShare: number
  lateMilliseconds: number
  /** Share of the responses that are sent twice on the connection. */
  duplicatedShare: number
  /** Share of the requests that get the request ID and the body of another request's response. */
  foreignShare: number
}

/** Counters of an upstream. */
export interface UpstreamCounters {
  /** Number of requests whose work was started. */
  run: number
  refusedOverSlots: number
  refusedLeaving: number
  connectionsRefused: number
  concurrentMaximum: number
  /** Number of requests started with each idempotency key. */
  runsByKey: Record<string, number>
  /** Number of requests started with each method and path, for example `GET /limits/7`. */
  runsByRequest: Record<string, number>
}

/** Options of an upstream. */
export interface StandInUpstreamOptions {
  upstreamId: string
  clock: Clock
  random: () => number
  slots?: number
  connections?: number
  /** Service time by value of the header `papayamoor-kind`. */
  serviceMilliseconds?: Record<string, number>
}

/** The body of a response; it identifies the request, so that the caller can check that the response is its own. */
export interface UpstreamBody {
  upstreamId: string
  method: string
  path: string
  /** SHA-256 digest of the request body, in hexadecimal. */
  requestDigest: string
  padding: string
}

const DEFAULT_SLOT_COUNT = 8
const DEFAULT_CONNECTION_LIMIT = 64
const DEFAULT_SERVICE_MILLISECONDS = 10
/** A body of this size takes more than one packet, so that faults can interrupt it in the middle. */
const DEFAULT_RESPONSE_BYTES = 2000

/** Emulates an HTTP upstream of the platform, with slots, a connection limit, faults and counters. */
export class StandInUpstream {
  readonly faults: UpstreamFaults = {
    slowFactor: 1,
    frozen: false,
    truncatedShare: 0,
    lateShare: 0,
    lateMilliseconds: 0,
    duplicatedShare: 0,
    foreignShare: 0
  }

  readonly counters: UpstreamCounters = {
    run: 0,
    refusedOverSlots: 0,
    refusedLeaving: 0,
    connectionsRefused: 0,
    concurrentMaximum: 0,
    runsByKey: {},
    runsByRequest: {}
  }

  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private isLeaving = false
  private activeCount = 0
  private pendingResponses: ServerResponse[] = []
  private frozenWaiters: Array<() => void> = []
  private previousResponse: { requestId: string, body: string } | null = null

  private constructor (private readonly options: StandInUpstreamOptions) {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy())
    })
    this.server.maxConnections = options.connections ?? DEFAULT_CONNECTION_LIMIT
    this.server.on('drop', () => this.counters.connectionsRefused++)
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
  }

  /**
   * Creates an upstream that does not listen yet.
   * @param options The options of the upstream.
   * @returns The upstream.
   */
  static create (options: StandInUpstreamOptions): StandInUpstream {
    return new StandInUpstream(options)
  }

  /**
   * Listens on loopback.
   * @param port The TCP port.
   */
  async listen (port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, '127.0.0.1', resolve)
    })
  }

  /**
   * Changes faults and keeps those that are not given.
   * @param faults The faults to change.
   */
  setFaults (faults: Partial<UpstreamFaults>): void {
    Object.assign(this.faults, faults)
    if (!this.faults.frozen) this.frozenWaiters.splice(0).forEach(resolve => resolve())
  }

  /**
   * Sets whether the upstream is leaving; a leaving upstream refuses new requests and finishes those in flight.
   * @param leaving Whether the upstream is leaving.
   */
  setLeaving (leaving: boolean): void {
    this.isLeaving = leaving
  }

  /** Emulates a crash: responses in flight are cut off in the middle, and the upstream stops listening. */
  async kill (): Promise<void> {
    for (const response of this.pendingResponses.filter(response => !response.headersSent)) {
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': DEFAULT_RESPONSE_BYTES })
      response.write('{"upstreamId":')
    }
    // The written bytes must leave before the connections are destroyed.
    await new Promise(resolve => setImmediate(resolve))
    for (const socket of this.sockets) socket.destroy()
    await new Promise(resolve => this.server.close(resolve))
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(request.headers['papayamoor-request-id'] ?? '')
    response.setHeader('papayamoor-request-id', requestId)
    if (this.isLeaving || this.activeCount >= (this.options.slots ?? DEFAULT_SLOT_COUNT)) return this.refuse(response)
    this.countRun(request)
    this.pendingResponses.push(response)
    try {
      const body = await this.performWork(request)
      await this.send(response, requestId, body)
    } finally {
      this.pendingResponses = this.pendingResponses.filter(other => other !== response)
      this.activeCount--
    }
  }

  private refuse (response: ServerResponse): void {
    if (this.isLeaving) this.counters.refusedLeaving++
    else this.counters.refusedOverSlots++
    if (this.isLeaving) response.setHeader('connection', 'close')
    response.writeHead(503, { 'upstream-outcome': 'refused', 'content-length': 0 }).end()
  }

  private countRun (request: IncomingMessage): void {
    const { counters } = this
    counters.run++
    counters.concurrentMaximum = Math.max(counters.concurrentMaximum, ++this.activeCount)
    const key = request.headers['idempotency-key']
    if (typeof key === 'string') counters.runsByKey[key] = (counters.runsByKey[key] ?? 0) + 1
    const name = `${request.method} ${request.url}`
    counters.runsByRequest[name] = (counters.runsByRequest[name] ?? 0) + 1
  }

  private async performWork (request: IncomingMessage): Promise<string> {
    const { upstreamId, serviceMilliseconds = {} } = this.options
    const bytes = await readBody(request)
    const path = request.url ?? ''
    const query = new URL(path, 'http://upstream').searchParams
    const byKind = serviceMilliseconds[String(request.headers['papayamoor-kind'])] ?? DEFAULT_SERVICE_MILLISECONDS
    await this.wait(Number(query.get('milliseconds') ?? byKind) * this.faults.slowFactor)
    while (this.faults.frozen) await new Promise<void>(resolve => { this.frozenWaiters.push(resolve) })
    if (this.options.random() < this.faults.lateShare) await this.wait(this.faults.lateMilliseconds)
    const body: UpstreamBody = {
      upstreamId,
      method: request.method ?? '',
      path,
      requestDigest: createHash('sha256').update(bytes).digest('hex'),
      padding: 'x'.repeat(Number(query.get('bytes') ?? DEFAULT_RESPONSE_BYTES))
    }
    return JSON.stringify(body)
  }

  private async send (response: ServerResponse, requestId: string, body: string): Promise<void> {
    if (response.closed) return
    const { random } = this.options
    const other = this.previousResponse
    this.previousResponse = { requestId, body }
    const isForeign = other !== null && random() < this.faults.foreignShare
    const sent = isForeign ? other : { requestId, body }
    response.setHeader('papayamoor-request-id', sent.requestId)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(sent.body) })
    if (random() < this.faults.truncatedShare) {
      response.write(sent.body.slice(0, sent.body.length / 2), () => response.destroy())
      return
    }
    const socket = response.socket
    await new Promise<void>(resolve => {
      response.once('close', resolve)
      response.end(sent.body, () => {
        if (random() < this.faults.duplicatedShare) socket?.write(formatResponse(sent.requestId, sent.body))
      })
    })
  }

  private async wait (milliseconds: number): Promise<void> {
    if (milliseconds > 0) await new Promise<void>(resolve => this.options.clock.setTimer(milliseconds, resolve))
  }
}

/**
 * Checks that a response body is complete and belongs to the request.
 * @param text The body of the response.
 * @param method The method of the request.
 * @param path The path and query as the upstream received them.
 * @param requestBody The body of the request.
 * @returns Whether the body is the complete response to this request.
 */
export function isMatchingResponse (text: string, method: string, path: string, requestBody: string): boolean {
  try {
    const body = JSON.parse(text) as UpstreamBody
    return body.method === method && body.path === path &&
      body.requestDigest === createHash('sha256').update(requestBody).digest('hex')
  } catch {
    return false
  }
}

function formatResponse (requestId: string, body: string): string {
  return [
    'HTTP/1.1 200 OK',
    'content-type: application/json',
    `papayamoor-request-id: ${requestId}`,
    `content-length: ${Buffer.byteLength(body)}`,
    '',
    body
  ].join('\r\n')
}
