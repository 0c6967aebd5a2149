import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CancelTimer, Clock } from '../shared/Clock.js'
import type { BodyBlocks } from './BodyBlocks.js'
import type { ByteBudget } from './ByteBudget.js'
import { ClientBody } from './ClientBody.js'
import type { BodyOutcome, ClientCall } from './ClientCall.js'
import { ClientConnection, type ConnectionPhase } from './ClientConnection.js'
import type { ClientLimits } from './ClientLimits.js'

/** A limit that clients have reached; also the value of a metric label. */
export type ReachedLimit =
  'connections' | 'budget' | 'pipelined-requests' | 'header-fields' | 'head' | 'slow-request' | 'unread-response'

/** Options of a server. */
export interface ClientServerOptions {
  limits: ClientLimits
  /** Shared by the servers of the process. */
  budget: ByteBudget
  /** Shared by the servers of the process. */
  blocks: BodyBlocks
  clock: Clock
  /** Handles a request; it must respond with `ClientServer.respond` unless the request is complete. */
  handle (request: IncomingMessage, response: ServerResponse): void
  onLimitReached (limit: ReachedLimit): void
  /** Called with the number of bytes that become garbage with requests, bodies and decoded values. */
  onReceived (bytes: number): void
}

/** A response. */
export interface ClientResponse {
  status: number
  headers?: Record<string, string | number>
  body?: string
}

/** How often connections are checked; responses that are not read are counted that often. */
const CHECK_MILLISECONDS = 250
/** A body up to this length is discarded after a response so that the connection can be reused. */
const SMALL_BODY_BYTES = 16_384
/**
 * How long the rest of a longer body is discarded before the connection is closed. Without it the client could lose the
 * response, because a connection that is closed with unread bytes is reset.
 */
const DISCARD_MILLISECONDS = 500
/** How much is discarded: the whole of a body that is hardly longer than allowed, and little of others. */
const LONGEST_DISCARDED_BODY_BYTES = 524_288
const DISCARDED_BYTES = 65_536
/** What each part of a body takes beside its bytes. */
const PART_BYTES = 512
/** What Node.js takes for a request and its response. */
const REQUEST_BYTES = 3072
/** The memory of a request and its response beside the header fields. */
const CALL_BYTES = 8192
const HEADER_FIELD_BYTES = 128
/** What the system may hold for a connection whose client does not read, beside the response. */
const UNREAD_CONNECTION_BYTES = 65_536
const RETRY_AFTER_SECONDS = 1
/**
 * After this many requests in one turn of the event loop the other connections are not read for a while. Node.js parses
 * all requests of a read, up to 2,500 of 3 KB each, and releases those of a closed connection at the end of the turn.
 */
const REQUESTS_IN_TURN = 200
/** With 25 ms an ordinary request got no response within 20 s after 600 clients had pipelined requests. */
const READ_PAUSE_MILLISECONDS = 2
/** Which connections are closed first when there are too many; those that serve a request are not closed. */
const CLOSING_ORDER: ConnectionPhase[] = ['closing', 'receiving', 'idle']

/**
 * An HTTP server for clients that may send anything at any speed. Load addressed: crowds of connections with unfinished
 * requests or unread responses, which must not take the memory or the descriptors of the process.
 */
export class ClientServer {
  readonly server: Server
  private readonly connections = new Map<Socket, ClientConnection>()
  private readonly calls = new WeakMap<IncomingMessage, ClientCall>()
  private cancelCheck: CancelTimer | null = null
  private requestsInTurn = 0
  /** The connections that are not read for a while; null while all are read. */
  private pausedSockets: Socket[] | null = null

  private constructor (private readonly options: ClientServerOptions) {
    const { limits } = options
    this.server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headMilliseconds,
      requestTimeout: limits.requestMilliseconds,
      connectionsCheckingInterval: CHECK_MILLISECONDS,
      keepAliveTimeout: limits.idleMilliseconds
    })
    // One more than allowed, so that a request with too many is noticed.
    this.server.maxHeadersCount = limits.headerFields + 1
    this.server.on('connection', socket => this.addConnection(socket))
    this.server.on('request', (request, response) => this.accept(request, response, false))
    this.server.on('checkContinue', (request, response) => this.accept(request, response, true))
    this.server.on('clientError', (error, socket) => this.rejectMalformed(error, socket as Socket))
  }

  /**
   * Creates a server; `server.listen` starts it.
   * @param options The limits and the function that handles requests.
   * @returns The server.
   */
  static create (options: ClientServerOptions): ClientServer {
    return new ClientServer(options)
  }

  /**
   * Receives the body of a request.
   * @param request The request.
   * @param maximumBytes The longest body.
   * @returns The body, which the caller decodes or discards, or why there is none.
   */
  async readBody (request: IncomingMessage, maximumBytes: number): Promise<BodyOutcome> {
    const call = this.calls.get(request)
    if (call === undefined || request.destroyed) return { kind: 'ended' }
    if (Number(request.headers['content-length'] ?? 0) > maximumBytes) return { kind: 'too-long' }
    const connection = this.connections.get(request.socket)
    if (connection === undefined) return { kind: 'ended' }
    if (call.awaitsContinue) call.response.writeContinue()
    call.awaitsContinue = false
    const { budget, blocks } = this.options
    const body = ClientBody.create(
      blocks, bytes => budget.hold(connection, bytes), bytes => budget.release(connection, bytes))
    return await new Promise(resolve => {
      const settle = (outcome: BodyOutcome) => {
        if (call.endBody === null) return
        call.endBody = null
        request.off('data', onData)
        if (outcome.kind !== 'received') body.discard()
        resolve(outcome)
      }
      const onData = (chunk: Buffer) => {
        this.options.onReceived(chunk.length + PART_BYTES)
        if (body.length + chunk.length > maximumBytes) settle({ kind: 'too-long' })
        // Without room, this connection has been refused unless there is nothing else to refuse either.
        else if (!body.append(chunk) && call.endBody !== null) this.refuse(connection, 'budget')
      }
      call.endBody = () => settle({ kind: 'ended' })
      request.on('data', onData)
      request.once('end', () => settle({ kind: 'received', body }))
      request.once('error', () => settle({ kind: 'ended' }))
      request.once('close', () => settle({ kind: 'ended' }))
    })
  }

  /**
   * Takes memory for a request until its response is complete, and marks it as passed on: from then on it is not
   * refused as not run.
   * @param request The request.
   * @param bytes The bytes that its decoded body takes.
   * @returns False if there is no memory; the request is then not passed on, and the caller responds with 503.
   */
  passOn (request: IncomingMessage, bytes: number): boolean {
    const call = this.calls.get(request)
    const connection = this.connections.get(request.socket)
    if (call === undefined || connection === undefined) return false
    this.options.onReceived(bytes)
    call.isPassedOn = true
    if (this.options.budget.hold(connection, bytes)) {
      call.heldBytes += bytes
      return true
    }
    call.isPassedOn = false
    this.options.onLimitReached('budget')
    return false
  }

  /**
   * Responds to a request. If a long part of its body has not arrived, the connection is closed afterwards.
   * @param request The request.
   * @param response Its response.
   * @param answer What is sent.
   */
  respond (request: IncomingMessage, response: ServerResponse, answer: ClientResponse): void {
    if (response.headersSent || response.destroyed) return
    const { status, headers, body = '' } = answer
    const call = this.calls.get(request)
    const mustClose = !request.complete && (!hasSmallBody(request) || call?.awaitsContinue === true)
    const closing = mustClose ? { connection: 'close' } : {}
    response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body), ...closing })
    if (!mustClose || call === undefined) {
      response.end(body)
      return
    }
    if (body === '') response.flushHeaders()
    else response.write(body)
    const connection = this.connections.get(request.socket)
    if (connection === undefined) return
    connection.isClosing = true
    this.discardRest(call, connection)
  }

  /** Discards the rest of a body for a while before the response ends, and with it the connection. */
  private discardRest (call: ClientCall, connection: ClientConnection): void {
    const { request, response } = call
    const announcedBytes = Number(request.headers['content-length'] ?? Infinity)
    const limitBytes = announcedBytes <= LONGEST_DISCARDED_BODY_BYTES ? announcedBytes : DISCARDED_BYTES
    let discardedBytes = 0
    const end = () => {
      connection.cancelClosing?.()
      response.end()
    }
    connection.cancelClosing = this.options.clock.setTimer(DISCARD_MILLISECONDS, end)
    request.on('data', (chunk: Buffer) => {
      this.options.onReceived(chunk.length + PART_BYTES)
      discardedBytes += chunk.length
      if (discardedBytes > limitBytes) this.close(connection)
    })
    request.once('end', end)
  }

  private addConnection (socket: Socket): void {
    const { limits, clock, onLimitReached } = this.options
    if (this.connections.size >= limits.connections) {
      onLimitReached('connections')
      const closed = this.findConnectionToClose()
      if (closed === null) {
        socket.destroy()
        return
      }
      this.close(closed)
    }
    const connection = ClientConnection.create(
      socket, clock.monotonicMilliseconds(), refused => this.refuse(refused, 'budget'))
    this.connections.set(socket, connection)
    this.pauseReading(socket)
    socket.once('close', () => this.release(connection))
    this.cancelCheck ??= clock.setTimer(CHECK_MILLISECONDS, () => this.check())
  }

  /** Returns the connection that has been open for longest among those that may be closed. */
  private findConnectionToClose (): ClientConnection | null {
    const found = new Map<ConnectionPhase, ClientConnection>()
    for (const connection of this.connections.values()) {
      const phase = connection.getPhase()
      if (!found.has(phase)) found.set(phase, connection)
    }
    for (const phase of CLOSING_ORDER) {
      const connection = found.get(phase)
      if (connection !== undefined) return connection
    }
    return null
  }

  private accept (request: IncomingMessage, response: ServerResponse, awaitsContinue: boolean): void {
    const { limits, budget, handle, onLimitReached, onReceived } = this.options
    this.countRequest()
    onReceived(REQUEST_BYTES + request.rawHeaders.length * HEADER_FIELD_BYTES)
    const connection = this.connections.get(request.socket)
    if (connection === undefined || connection.isClosing) return
    if (connection.calls.size >= limits.pipelinedRequests) {
      onLimitReached('pipelined-requests')
      this.close(connection)
      return
    }
    const heldBytes = CALL_BYTES + request.rawHeaders.length / 2 * HEADER_FIELD_BYTES
    const call: ClientCall = { request, response, isPassedOn: false, heldBytes, awaitsContinue, endBody: null }
    this.calls.set(request, call)
    connection.calls.add(call)
    response.once('close', () => this.finish(connection, call))
    if (request.rawHeaders.length / 2 > limits.headerFields) {
      onLimitReached('header-fields')
      this.respond(request, response, { status: 431, headers: { connection: 'close' } })
      connection.isClosing = true
      return
    }
    if (!budget.hold(connection, heldBytes)) return this.refuse(connection, 'budget')
    handle(request, response)
  }

  /** Defers reading from the other connections when very many requests have arrived in a turn of the event loop. */
  private countRequest (): void {
    this.requestsInTurn++
    if (this.requestsInTurn === 1) setImmediate(() => { this.requestsInTurn = 0 })
    if (this.requestsInTurn < REQUESTS_IN_TURN || this.pausedSockets !== null) return
    this.pausedSockets = []
    for (const socket of this.connections.keys()) this.pauseReading(socket)
    this.options.clock.setTimer(READ_PAUSE_MILLISECONDS, () => {
      const paused = this.pausedSockets ?? []
      this.pausedSockets = null
      for (const socket of paused) socket.resume()
    })
  }

  private pauseReading (socket: Socket): void {
    if (this.pausedSockets === null || socket.isPaused()) return
    socket.pause()
    this.pausedSockets.push(socket)
  }

  /** Releases what a request holds when its response is complete or its connection is closed. */
  private finish (connection: ClientConnection, call: ClientCall): void {
    if (!connection.calls.delete(call)) return
    connection.hasBeenServed = true
    call.endBody?.()
    this.options.budget.release(connection, call.heldBytes)
  }

  /** Answers the unfinished request of a connection as not run, or closes the connection where that is not certain. */
  private refuse (connection: ClientConnection, limit: ReachedLimit): void {
    if (connection.isClosing) return this.close(connection)
    this.options.onLimitReached(limit)
    const [call] = connection.calls
    if (connection.calls.size !== 1 || call.isPassedOn || call.response.headersSent) return this.close(connection)
    call.endBody?.()
    const headers = { 'retry-after': RETRY_AFTER_SECONDS, connection: 'close' }
    this.respond(call.request, call.response, { status: 503, headers })
    connection.isClosing = true
  }

  /** Closes a connection at once; the outcome of its requests is then unknown to the client. */
  private close (connection: ClientConnection): void {
    connection.isClosing = true
    connection.socket.destroy()
    // The socket reports its end later; until then the connection would count.
    this.release(connection)
  }

  private release (connection: ClientConnection): void {
    connection.cancelClosing?.()
    this.connections.delete(connection.socket)
    for (const call of connection.calls) this.finish(connection, call)
    this.options.budget.release(connection)
  }

  /** Counts responses that are not read, and closes the connections of clients that do not read for too long. */
  private check (): void {
    this.cancelCheck = null
    const { limits, clock, budget, onLimitReached } = this.options
    const now = clock.monotonicMilliseconds()
    for (const connection of this.connections.values()) {
      if (connection.getStalledMilliseconds(now) > limits.responseMilliseconds) {
        onLimitReached('unread-response')
        this.close(connection)
        continue
      }
      const { writableLength } = connection.socket
      const unreadBytes = writableLength === 0 ? 0 : writableLength + UNREAD_CONNECTION_BYTES
      const growth = unreadBytes - connection.unreadBytes
      connection.unreadBytes = unreadBytes
      if (growth > 0) budget.hold(connection, growth)
      else budget.release(connection, -growth)
    }
    if (this.connections.size > 0) this.cancelCheck = clock.setTimer(CHECK_MILLISECONDS, () => this.check())
  }

  /** Answers a request that could not be parsed or was too slow, unless an earlier one awaits its response. */
  private rejectMalformed (error: Error, socket: Socket): void {
    const { code } = error as { code?: string }
    const connection = this.connections.get(socket)
    const isTooSlow = code === 'ERR_HTTP_REQUEST_TIMEOUT'
    if (isTooSlow) this.options.onLimitReached('slow-request')
    if (code === 'HPE_HEADER_OVERFLOW') this.options.onLimitReached('head')
    const [call] = connection?.calls ?? []
    const isAnswerable = connection !== undefined && connection.calls.size <= 1 && call?.isPassedOn !== true &&
      call?.response.headersSent !== true
    if (isAnswerable && socket.writable && code !== 'ECONNRESET') {
      const status = isTooSlow
        ? '408 Request Timeout'
        : code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
      socket.write(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
    }
    socket.destroy()
  }
}

/**
 * Returns whether the body of a request is announced as small.
 * @param request The request.
 * @returns True also without a body.
 */
export function hasSmallBody (request: IncomingMessage): boolean {
  return request.headers['transfer-encoding'] === undefined &&
    Number(request.headers['content-length'] ?? 0) <= SMALL_BODY_BYTES
}
