import { CallQueue } from './CallQueue.js'
import { SystemClock, type Clock } from './Clock.js'
import { ConnectionOpener } from './ConnectionOpener.js'
import { HttpConnection, isValidAddress, openTcpConnection, type OpenConnection } from './HttpConnection.js'
import { HttpExchange } from './HttpExchange.js'

/** One call to an HTTP service. */
export interface HttpCall {
  /** The host and port, for example `10.0.0.1:8080`. */
  address: string
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: string | Buffer
  /**
   * How long the response may take after the call is sent; on a timeout the connection is closed and not reused, unless
   * it is kept for a late response.
   */
  timeoutMilliseconds: number
  /**
   * How long a response that has begun may pause: each received part starts this limit anew. `timeoutMilliseconds` then
   * limits the time until the response begins.
   */
  silenceTimeoutMilliseconds?: number
  /** The longest body that is received; a longer one ends the call at once, and its connection is closed. */
  maximumBodyBytes?: number
  /** How long the call may wait before it is sent; defaults to `timeoutMilliseconds`. */
  queueTimeoutMilliseconds?: number
  /** Receives the response if it arrives after the call has timed out; by default, such a response is discarded. */
  lateResponse?: LateResponse
}

/** How a response is received that arrives after its call has timed out. */
export interface LateResponse {
  /** How long the connection of the call is kept for the response after the timeout. */
  milliseconds: number
  onResponse (response: HttpResponse): void
}

/** The response to a call. */
export interface HttpResponse {
  statusCode: number
  body: Buffer
}

/** The result of a call. */
export type HttpResult =
  | { kind: 'answered' } & HttpResponse
  /** The service received nothing. */
  | { kind: 'not-sent', reason: string }
  /** The service may have received the call; a late response may be awaited. */
  | { kind: 'lost', reason: string, isAwaited?: boolean }
  /** The service responded with a body of more than `maximumBodyBytes`, which was not received as a whole. */
  | { kind: 'too-large', reason: string }

/**
 * How a call ended: `refused` when no connection could be opened, `broken` when the connection failed during the call,
 * `too-large` when the body exceeded the limit of the call, `closed` when `closeAddress` or `close` ended the call.
 */
export type HttpCallEndReason =
  | 'answered' | 'expired-waiting' | 'expired-in-flight' | 'refused' | 'broken' | 'too-large' | 'closed'

/** Observes the connections and calls of an `HttpCaller`. */
export interface HttpCallerObserver {
  connectionOpened (address: string): void
  connectionClosed (address: string, reason: string): void
  callEnded (address: string, end: HttpCallEndReason): void
}

/** Options of an `HttpCaller`. */
export interface HttpCallerOptions {
  /** The maximum number of connections to one address. */
  connections: number
  /** The maximum number of further connections to one address on which late responses are awaited; none by default. */
  lateConnections?: number
  observer?: HttpCallerObserver
  /** Opens a connection; defaults to plain TCP. */
  openConnection?: OpenConnection
  /** The time limit for opening a connection, shorter than that of `openConnection`. */
  connectTimeoutMilliseconds?: number
  /**
   * How long one opening to each address goes on after `connectTimeoutMilliseconds`, so that a later call uses its
   * connection; 0 by default.
   */
  lateOpeningMilliseconds?: number
}

/** The reason of a call to an address that is not a host with an optional port. */
export const INVALID_ADDRESS_REASON = 'invalid-address'

/** The calls and connections of one address. */
interface AddressPool {
  queue: CallQueue<HttpConnection>
  connections: HttpConnection[]
  opener: ConnectionOpener | null
}

/** Makes HTTP calls over persistent connections, without the overhead of the stream interfaces. */
export class HttpCaller {
  private readonly pools = new Map<string, AddressPool>()

  private readonly clock: Clock = SystemClock.create()

  private constructor (private readonly options: HttpCallerOptions) {}

  /**
   * Creates an HTTP caller without connections.
   * @param options The connection limit and an optional observer.
   * @returns The HTTP caller.
   */
  static create (options: HttpCallerOptions): HttpCaller {
    return new HttpCaller(options)
  }

  /**
   * Makes a call; the promise never rejects. A call to an invalid address ends as `not-sent`.
   * @param call The call.
   * @returns The response, or whether the service may have received the call.
   */
  call (call: HttpCall): Promise<HttpResult> {
    if (!this.pools.has(call.address) && !isValidAddress(call.address)) {
      this.options.observer?.callEnded(call.address, 'refused')
      return Promise.resolve({ kind: 'not-sent', reason: INVALID_ADDRESS_REASON })
    }
    const { queue } = this.getPool(call.address)
    return new Promise(resolve => HttpExchange.start({
      call,
      queue,
      clock: this.clock,
      settle: (result, end) => {
        this.options.observer?.callEnded(call.address, end)
        resolve(result)
      }
    }))
  }

  /** Closes the connections to an address that is no longer needed, and ends its calls. */
  closeAddress (address: string): void {
    const pool = this.pools.get(address)
    if (pool === undefined) return
    this.pools.delete(address)
    pool.queue.close()
    pool.opener?.close()
    for (const connection of pool.connections) connection.destroy()
  }

  /** Closes all connections and ends all calls. */
  close (): void {
    for (const address of [...this.pools.keys()]) this.closeAddress(address)
  }

  private getPool (address: string): AddressPool {
    const existing = this.pools.get(address)
    if (existing !== undefined) return existing
    const connections: HttpConnection[] = []
    const opener = this.createOpener()
    const queue = CallQueue.create<HttpConnection>({
      connections: this.options.connections,
      lateConnections: this.options.lateConnections ?? 0,
      createConnection: () => {
        const connection = this.createConnection(address, opener)
        connections.push(connection)
        return connection
      },
      isOpen: connection => connection.isOpen
    })
    const pool = { queue, connections, opener }
    this.pools.set(address, pool)
    return pool
  }

  /** Returns null if only the system limits the time to open a connection. */
  private createOpener (): ConnectionOpener | null {
    const { openConnection = openTcpConnection, connectTimeoutMilliseconds, lateOpeningMilliseconds = 0 } = this.options
    if (connectTimeoutMilliseconds === undefined) return null
    return ConnectionOpener.create({
      openConnection,
      clock: this.clock,
      limitMilliseconds: connectTimeoutMilliseconds,
      lateMilliseconds: lateOpeningMilliseconds
    })
  }

  private createConnection (address: string, opener: ConnectionOpener | null): HttpConnection {
    const { observer, openConnection = openTcpConnection } = this.options
    return HttpConnection.create({
      address,
      openConnection: opener?.open ?? openConnection,
      onOpen: () => observer?.connectionOpened(address),
      onClose: reason => observer?.connectionClosed(address, reason)
    })
  }
}
