import { buildConnector, Pool, type Dispatcher } from 'undici'

/** One call of an HTTP service. */
export interface HttpCall {
  /** The host and port, for example `10.0.0.1:8080`. */
  address: string
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: string | Buffer
  /** After this time the connection is dropped, so that a silent one is not used again. */
  timeoutMilliseconds: number
}

/** What came back of a call. */
export type HttpAnswer =
  | { kind: 'answered', statusCode: number, body: Buffer }
  /** The service received nothing: the connection was refused. */
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

/** Opens a connection to the host and port that it is given, and passes it or the error on. */
export type OpenConnection = buildConnector.connector

/** Options of a caller. */
export interface HttpCallerOptions {
  /** The greatest number of connections to one address. */
  connections: number
  observer?: HttpCallerObserver
  /** Opens plain TCP connections when absent. */
  openConnection?: OpenConnection
}

/** Idle connections stay open this long; opening one costs round trips and is billed. */
const KEEP_ALIVE_MILLISECONDS = 60_000
/** A connection that takes longer to open goes to a machine that is off or cut off. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000

const openTcpConnection = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS, noDelay: true })

/** Makes HTTP calls over kept connections, without the cost of the stream interfaces. */
export class HttpCaller {
  private readonly pools = new Map<string, Pool>()

  private constructor (private readonly options: HttpCallerOptions) {}

  /**
   * Creates a caller.
   * @param options The limit of connections.
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
    const pool = this.getPool(call.address)
    return new Promise(resolve => {
      const collector = AnswerCollector.create(call.timeoutMilliseconds, (answer, end) => {
        this.options.observer?.callEnded(call.address, end)
        resolve(answer)
      })
      pool.dispatch({
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        // The collector's own timer applies; the timers of the library are too coarse.
        headersTimeout: 0,
        bodyTimeout: 0
      }, collector)
    })
  }

  /** Closes the connections to an address that is not called any more. */
  forget (address: string): void {
    const pool = this.pools.get(address)
    this.pools.delete(address)
    // The answers of calls in flight are reported as lost by their own handlers.
    pool?.destroy().catch(() => {})
  }

  /** Closes all connections. */
  close (): void {
    for (const address of [...this.pools.keys()]) this.forget(address)
  }

  private getPool (address: string): Pool {
    const known = this.pools.get(address)
    if (known !== undefined) return known
    const pool = new Pool(`http://${address}`, {
      connections: this.options.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      connect: this.options.openConnection ?? openTcpConnection
    })
    const { observer } = this.options
    if (observer !== undefined) {
      pool.on('connect', () => observer.connectionOpened(address))
      pool.on('disconnect', (_origin, _targets, error) => observer.connectionClosed(address, getReason(error)))
    }
    this.pools.set(address, pool)
    return pool
  }
}

type Settle = (answer: HttpAnswer, end: HttpCallEnd) => void

/** Collects one answer and drops the connection when the time is over. */
class AnswerCollector implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | null = null
  private statusCode = 0
  private chunks: Buffer[] = []
  private timedOut = false
  private readonly timer: NodeJS.Timeout

  private constructor (timeoutMilliseconds: number, private readonly settle: Settle) {
    this.timer = setTimeout(() => this.expire(), timeoutMilliseconds)
  }

  static create (timeoutMilliseconds: number, settle: Settle): AnswerCollector {
    return new AnswerCollector(timeoutMilliseconds, settle)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.timedOut) controller.abort(new Error('timeout'))
  }

  onResponseStart (_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.statusCode = statusCode
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk)
  }

  onResponseEnd (): void {
    clearTimeout(this.timer)
    const body = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks)
    this.settle({ kind: 'answered', statusCode: this.statusCode, body }, 'answered')
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.timedOut) return
    clearTimeout(this.timer)
    const reason = getReason(error)
    const isRefused = reason === 'ECONNREFUSED' || reason === 'UND_ERR_CONNECT_TIMEOUT'
    const isClosed = reason === 'UND_ERR_DESTROYED'
    this.settle(
      { kind: isRefused ? 'not-sent' : 'lost', reason },
      isRefused ? 'refused' : isClosed ? 'closed' : 'broken'
    )
  }

  private expire (): void {
    this.timedOut = true
    const isWaiting = this.controller === null
    this.settle(
      { kind: isWaiting ? 'not-sent' : 'lost', reason: 'timeout' },
      isWaiting ? 'expired-waiting' : 'expired-in-flight'
    )
    this.controller?.abort(new Error('timeout'))
  }
}

function getReason (error: Error & { code?: string }): string {
  return error.code ?? error.message
}
