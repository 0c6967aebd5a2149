import { buildConnector, Client, type Dispatcher } from 'undici'

/** Opens a connection to the host and port that it is given, and passes it or the error on. */
export type OpenConnection = buildConnector.connector

/** Options of a connection. */
export interface HttpConnectionOptions {
  /** The host and port. */
  address: string
  openConnection: OpenConnection
  /** Is told each time that the connection is opened. */
  onOpen (): void
  /** Is told each time that the connection is closed. */
  onClose (reason: string): void
}

/** Idle connections stay open this long; opening one costs round trips and is billed. */
const KEEP_ALIVE_MILLISECONDS = 60_000
/** A connection that takes longer to open goes to a machine that is off or cut off. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000

/** Opens plain TCP connections. */
export const openTcpConnection: OpenConnection = buildConnector({
  timeout: CONNECT_TIMEOUT_MILLISECONDS, noDelay: true
})

/** A connection for one call at a time, opened when a call needs it. */
export class HttpConnection {
  private readonly client: Client
  private isConnected = false

  private constructor (options: HttpConnectionOptions) {
    this.client = new Client(`http://${options.address}`, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      connect: options.openConnection
    })
    this.client.on('connect', () => {
      this.isConnected = true
      options.onOpen()
    })
    this.client.on('disconnect', (_origin, _targets, error) => {
      this.isConnected = false
      options.onClose(getErrorReason(error))
    })
  }

  /**
   * Creates a connection that is not yet open.
   * @param options Where it goes and who is told of it.
   * @returns The connection.
   */
  static create (options: HttpConnectionOptions): HttpConnection {
    return new HttpConnection(options)
  }

  /** Whether a call can be sent at once. */
  get isOpen (): boolean {
    return this.isConnected
  }

  /**
   * Sends a request as soon as the connection is open.
   * @param request The request.
   * @param handler Is told when it is sent, of its answer, and of its failure.
   */
  dispatch (request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(request, handler)
  }

  /** Closes the connection for good; the handler of a request that uses it is told of a failure. */
  destroy (): void {
    // The handlers report the outcome of each request; nothing else can fail here.
    this.client.destroy().catch(() => {})
  }
}

/**
 * Names the cause of a failure.
 * @param error The failure.
 * @returns The code of the system or library, or the message of an error without one.
 */
export function getErrorReason (error: Error & { code?: string }): string {
  return error.code ?? error.message
}
