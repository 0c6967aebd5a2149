import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import type { CallQueue, QueuedCall } from './CallQueue.js'
import type { Clock } from './Clock.js'
import type { HttpResult, HttpCall, HttpCallEndReason } from './HttpCaller.js'
import { getErrorReason, type HttpConnection } from './HttpConnection.js'
import { runAfterPendingReads } from './runAfterPendingReads.js'
import { TimeLimit } from './TimeLimit.js'

/** The reason of a call that expired in the queue behind other calls, which says nothing about the service's health. */
export const QUEUE_TIMEOUT_REASON = 'queue-timeout'

/** The reason of a call that was sent and got no whole response in time. */
export const TIMEOUT_REASON = 'timeout'

/** The reason of a call whose response has a longer body than the call accepts. */
export const TOO_LARGE_REASON = 'too-large'

/** Options of an HTTP exchange. */
export interface HttpExchangeOptions {
  call: HttpCall
  queue: CallQueue<HttpConnection>
  clock: Clock
  /** Called once with the result of the call. */
  settle (result: HttpResult, end: HttpCallEndReason): void
}

/** One call, from queueing for a connection to its response. */
export class HttpExchange implements QueuedCall<HttpConnection>, Dispatcher.DispatchHandler {
  private connection: HttpConnection | null = null
  /** Set once the request is sent. */
  private controller: Dispatcher.DispatchController | null = null
  private statusCode = 0
  private readonly chunks: Buffer[] = []
  private receivedBytes = 0
  private isSettled = false
  /** Whether the call has timed out and its connection is kept for a late response. */
  private isLate = false
  private readonly timeLimit: TimeLimit

  private constructor (private readonly options: HttpExchangeOptions) {
    this.timeLimit = TimeLimit.create({
      clock: options.clock, runAfterPendingReads, onExpire: () => this.handleTimeout()
    })
    this.timeLimit.start(options.call.queueTimeoutMilliseconds ?? options.call.timeoutMilliseconds)
  }

  /**
   * Starts a call, or queues it until a connection is free.
   * @param options The call, its queue and the callback for its result.
   */
  static start (options: HttpExchangeOptions): void {
    options.queue.add(new HttpExchange(options))
  }

  start (connection: HttpConnection): void {
    this.connection = connection
    const { method, path, headers, body } = this.options.call
    // The timers of undici are too coarse, so the time limit of the exchange is used instead.
    connection.dispatch({ method, path, headers, body, headersTimeout: 0, bodyTimeout: 0 }, this)
  }

  /** Ends a queued call whose address is closed. */
  close (): void {
    this.settle({ kind: 'not-sent', reason: 'closed' }, 'closed')
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    // An error thrown here leaves the connection open, unlike an abort.
    if (this.isSettled) throw new Error('the call ended before its connection was open')
    this.controller = controller
    this.timeLimit.start(this.options.call.timeoutMilliseconds)
  }

  onResponseStart (
    _controller: Dispatcher.DispatchController, statusCode: number, headers: IncomingHttpHeaders
  ): void {
    this.statusCode = statusCode
    this.limitSilence()
    this.limitBody(Number(headers['content-length'] ?? 0))
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.receivedBytes += chunk.length
    this.chunks.push(chunk)
    this.limitSilence()
    this.limitBody(this.receivedBytes)
  }

  onResponseEnd (): void {
    const body = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks)
    const response = { statusCode: this.statusCode, body }
    this.timeLimit.cancel()
    this.settle({ kind: 'answered', ...response }, 'answered')
    this.releaseConnection()
    if (this.isLate) this.options.call.lateResponse?.onResponse(response)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.timeLimit.cancel()
    const reason = getErrorReason(error)
    const isSent = this.controller !== null
    const isClosed = reason === 'UND_ERR_DESTROYED'
    this.settle({ kind: isSent ? 'lost' : 'not-sent', reason }, isClosed ? 'closed' : isSent ? 'broken' : 'refused')
    // undici accepts no request on a connection while it reports the failure of that connection.
    queueMicrotask(() => this.releaseConnection())
  }

  private handleTimeout (): void {
    if (this.controller === null) {
      this.options.queue.remove(this)
      const reason = this.connection === null ? QUEUE_TIMEOUT_REASON : 'connect-timeout'
      this.settle({ kind: 'not-sent', reason }, 'expired-waiting')
      return
    }
    if (!this.isLate && this.awaitLateResponse()) return
    this.settle({ kind: 'lost', reason: TIMEOUT_REASON }, 'expired-in-flight')
    // Aborting closes the connection, so that an unresponsive one is not reused.
    this.controller.abort(new Error(TIMEOUT_REASON))
  }

  private awaitLateResponse (): boolean {
    const { call: { lateResponse }, queue } = this.options
    if (lateResponse === undefined || !queue.keepForLateResponse(this.connection!)) return false
    this.isLate = true
    this.settle({ kind: 'lost', reason: TIMEOUT_REASON, isAwaited: true }, 'expired-in-flight')
    this.timeLimit.start(lateResponse.milliseconds)
    return true
  }

  private limitSilence (): void {
    const { silenceTimeoutMilliseconds } = this.options.call
    if (silenceTimeoutMilliseconds !== undefined && !this.isSettled) this.timeLimit.start(silenceTimeoutMilliseconds)
  }

  /** Ends the call when its body exceeds the limit. Closing the connection stops the rest of the body. */
  private limitBody (bodyBytes: number): void {
    const { maximumBodyBytes = Infinity } = this.options.call
    if (bodyBytes <= maximumBodyBytes) return
    this.settle({ kind: 'too-large', reason: TOO_LARGE_REASON }, 'too-large')
    this.controller?.abort(new Error(TOO_LARGE_REASON))
  }

  private settle (result: HttpResult, end: HttpCallEndReason): void {
    if (this.isSettled) return
    this.isSettled = true
    this.timeLimit.cancel()
    this.options.settle(result, end)
  }

  private releaseConnection (): void {
    const { connection } = this
    if (connection === null) return
    this.connection = null
    this.options.queue.release(connection)
  }
}
