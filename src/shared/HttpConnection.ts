import type { buildConnector as BuildConnector, Dispatcher } from 'undici'
import buildConnector from 'undici/lib/core/connect.js'
import Client from 'undici/lib/dispatcher/client.js'

/** Opens a connection to the given host and port, and passes the connection or the error to the callback. */
export type OpenConnection = BuildConnector.connector

/** Options of an HTTP connection. */
export interface HttpConnectionOptions {
  /** The host and port, for example `10.0.0.1:8080`. */
  address: string
  openConnection: OpenConnection
  /** Called each time the connection is opened. */
  onOpen (): void
  /** Called each time the connection is closed. */
  onClose (reason: string): void
}

/** How long idle connections stay open. Opening a connection costs round trips and is billed. */
const KEEP_ALIVE_MILLISECONDS = 60_000
/** The time limit for opening a connection. A machine that takes longer is powered off or cut off from the network. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000

/**
 * Creates a function that opens plain TCP connections.
 * @param timeoutMilliseconds The time limit for opening a connection.
 * @returns The function.
 */
export function createTcpConnector (timeoutMilliseconds: number): OpenConnection {
  return buildConnector({ timeout: timeoutMilliseconds, noDelay: true })
}

/** Opens plain TCP connections. */
export const openTcpConnection: OpenConnection = createTcpConnector(CONNECT_TIMEOUT_MILLISECONDS)

/** A connection that carries one call at a time and is opened when a call needs it. */
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
   * @param options The address, how the connection is opened, and the callbacks.
   * @returns The connection.
   */
  static create (options: HttpConnectionOptions): HttpConnection {
    return new HttpConnection(options)
  }

  /** Whether a call can be sent without opening the connection first. */
  get isOpen (): boolean {
    return this.isConnected
  }

  /**
   * Sends a request as soon as the connection is open.
   * @param request The request.
   * @param handler Receives the start, the response and the failure of the request.
   */
  dispatch (request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(request, handler)
  }

  /** Closes the connection permanently; a request in flight fails with an error passed to its handler. */
  destroy (): void {
    // The handlers receive the failures of requests; no other failure is possible here.
    this.client.destroy().catch(() => {})
  }
}

/**
 * Returns whether an address is a host with an optional port, and nothing else; a connection to it can then be created.
 * @param address The address.
 * @returns Whether the address is valid.
 */
export function isValidAddress (address: string): boolean {
  const url = `http://${address}`
  if (!URL.canParse(url)) return false
  const { pathname, search, hash, username, password } = new URL(url)
  return [pathname, search, hash, username, password].join('') === '/'
}

/**
 * Returns the cause of a failure.
 * @param error The failure.
 * @returns The error code of the system or library, or the message if the error has no code.
 */
export function getErrorReason (error: Error & { code?: string }): string {
  return error.code ?? error.message
}
