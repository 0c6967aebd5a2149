import { CallQueue } from './CallQueue.js'
import { SystemClock, type Clock } from './Clock.js'
import { HttpConnection, openTcpConnection, type OpenConnection } from './HttpConnection.js'
import { HttpExchange } from './HttpExchange.js'

/** One call of an HTTP service. */
export interface HttpCall {
  /** The host and port, for example `10.0.0.1:8080`. */
  address: string
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: string | Buffer
  /** Runs from the moment the call is sent; then the connection is dropped, so that a silent one is not used again. */
  timeoutMilliseconds: number
  /** How long the call may wait before it is sent; the same as `timeoutMilliseconds` when absent. */
  queueTimeoutMilliseconds?: number
}

/** What came back of a call. */
export type HttpResult =
  | { kind: 'answered', statusCode: number, body: Buffer }
  /** The service received nothing. */
  | { kind: 'not-sent', reason: string }
  /** The service may have received the call. */
  | { kind: 'lost', reason: string }

/**
 * How a call ended: `refused` when no connection could be opened, `broken` when one failed under the call,
 * `closed` when the caller gave the address up first.
 */
export type HttpCallEndReason = 'answered' | 'expired-waiting' | 'expired-in-flight' | 'refused' | 'broken' | 'closed'

/** Is told of the connections and calls of a caller. */
export interface HttpCallerObserver {
  connectionOpened (address: string): void
  connectionClosed (address: string, reason: string): void
  callEnded (address: string, end: HttpCallEndReason): void
}

/** Options of a caller. */
export interface HttpCallerOptions {
  /** The greatest number of connections to one address. */
  connections: number
  observer?: HttpCallerObserver
  /** Opens plain TCP connections when absent. */
  openConnection?: OpenConnection
}

/** The calls and connections of one address. */
interface AddressPool {
  queue: CallQueue<HttpConnection>
  connections: HttpConnection[]
}

/** Makes HTTP calls over kept connections, without the cost of the stream interfaces. */
export class HttpCaller {
  private readonly pools = new Map<string, AddressPool>()

  private readonly clock: Clock = SystemClock.create()

  private constructor (private readonly options: HttpCallerOptions) {}

  /**
   * Creates a caller.
   * @param options The limit of connections, and who is told of them.
   * @returns The caller.
   */
  static create (options: HttpCallerOptions): HttpCaller {
    return new HttpCaller(options)
  }

  /**
   * Makes a call; it never rejects.
   * @param call The call.
   * @returns The answer, or whether the service may have received the call.
   */
  call (call: HttpCall): Promise<HttpResult> {
    const { queue } = this.getPool(call.address)
    return new Promise(resolve => HttpExchange.start({
      call,
      queue,
      clock: this.clock,
      settle: (answer, end) => {
        this.options.observer?.callEnded(call.address, end)
        resolve(answer)
      }
    }))
  }

  /** Closes the connections to an address that is not called any more, and ends its calls. */
  closeAddress (address: string): void {
    const pool = this.pools.get(address)
    if (pool === undefined) return
    this.pools.delete(address)
    pool.queue.close()
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
    const queue = CallQueue.create<HttpConnection>({
      connections: this.options.connections,
      createConnection: () => {
        const connection = this.createConnection(address)
        connections.push(connection)
        return connection
      },
      isOpen: connection => connection.isOpen
    })
    const pool = { queue, connections }
    this.pools.set(address, pool)
    return pool
  }

  private createConnection (address: string): HttpConnection {
    const { observer, openConnection = openTcpConnection } = this.options
    return HttpConnection.create({
      address,
      openConnection,
      onOpen: () => observer?.connectionOpened(address),
      onClose: reason => observer?.connectionClosed(address, reason)
    })
  }
}
