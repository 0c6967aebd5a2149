import { Pool, type Dispatcher } from 'undici'

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

/** Options of a caller. */
export interface HttpCallerOptions {
  /** The greatest number of connections to one address. */
  connections: number
}

/** Idle connections stay open this long; opening one costs round trips and is billed. */
const KEEP_ALIVE_MILLISECONDS = 60_000
/** A connection that takes longer to open goes to a machine that is off or cut off. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000

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
      const collector = AnswerCollector.create(resolve, call.timeoutMilliseconds)
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
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS, noDelay: true }
    })
    this.pools.set(address, pool)
    return pool
  }
}

/** Collects one answer and drops the connection when the time is over. */
class AnswerCollector implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | null = null
  private statusCode = 0
  private chunks: Buffer[] = []
  private timedOut = false
  private readonly timer: NodeJS.Timeout

  private constructor (private readonly resolve: (answer: HttpAnswer) => void, timeoutMilliseconds: number) {
    this.timer = setTimeout(() => this.expire(), timeoutMilliseconds)
  }

  static create (resolve: (answer: HttpAnswer) => void, timeoutMilliseconds: number): AnswerCollector {
    return new AnswerCollector(resolve, timeoutMilliseconds)
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
    const body = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks)
    this.settle({ kind: 'answered', statusCode: this.statusCode, body })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error & { code?: string }): void {
    const reason = this.timedOut ? 'timeout' : error.code ?? error.message
    const isRefused = reason === 'ECONNREFUSED' || reason === 'UND_ERR_CONNECT_TIMEOUT'
    this.settle({ kind: isRefused ? 'not-sent' : 'lost', reason })
  }

  private expire (): void {
    this.timedOut = true
    this.settle({ kind: this.controller === null ? 'not-sent' : 'lost', reason: 'timeout' })
    this.controller?.abort(new Error('timeout'))
  }

  private settle (answer: HttpAnswer): void {
    clearTimeout(this.timer)
    this.resolve(answer)
  }
}
