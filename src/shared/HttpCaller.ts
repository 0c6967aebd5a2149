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
export type HttpAnswer =
  | { kind: 'answered', statusCode: number, body: Buffer }
  /** The service received nothing. */
  | { kind: 'not-sent', reason: string }
  /** The service may have received the call. */
  | { kind: 'lost', reason: string }

/**
 * How a call ended: `refused` when no connection could be opened, `broken` when one failed under the call,
 * `closed` when the caller gave the address up first.
 */
export type HttpCallEnd = 'answered' | 'expired-waiting' | 'expired-in-flight' | 'refused' | 'broken' | 'closed'

/** Is told of the connections and calls of a caller. */
export interface HttpCallerObserver {
  connectionOpened (address: string): void
  connectionClosed (address: string, reason: string): void
  callEnded (address: string, end: HttpCallEnd): void
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
interface Service {
  queue: CallQueue<HttpConnection>
  connections: HttpConnection[]
}

/** Makes HTTP calls over kept connections, without the cost of the stream interfaces. */
export class HttpCaller {
  private readonly services = new Map<string, Service>()

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
  call (call: HttpCall): Promise<HttpAnswer> {
    const { queue } = this.getService(call.address)
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
  forget (address: string): void {
    const service = this.services.get(address)
    if (service === undefined) return
    this.services.delete(address)
    service.queue.close()
    for (const connection of service.connections) connection.destroy()
  }

  /** Closes all connections and ends all calls. */
  close (): void {
    for (const address of [...this.services.keys()]) this.forget(address)
  }

  private getService (address: string): Service {
    const known = this.services.get(address)
    if (known !== undefined) return known
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
    const service = { queue, connections }
    this.services.set(address, service)
    return service
  }

  private createConnection (address: string): HttpConnection {
    const { observer, openConnection = openTcpConnection } = this.options
    return HttpConnection.create({
      address,
      openConnection,
      opened: () => observer?.connectionOpened(address),
      closed: reason => observer?.connectionClosed(address, reason)
    })
  }
}
