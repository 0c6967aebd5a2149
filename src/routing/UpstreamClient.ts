import { Pool, type Dispatcher } from 'undici'
import type { UnknownReason, UpstreamResponse } from './RequestOutcome.js'

/** Carries the identifier of an attempt to the upstream, which echoes it. */
export const REQUEST_ID_HEADER = 'papayamoor-request-id'
/** An upstream that refuses a request before it starts sets this header to `refused`, with status 503. */
export const UPSTREAM_OUTCOME_HEADER = 'upstream-outcome'

/** What became of one attempt at one upstream. */
export type AttemptResult =
  | { kind: 'answered', response: UpstreamResponse, closing: boolean }
  /** The upstream certainly did not run it. */
  | { kind: 'refused', closing: boolean }
  /** No byte of it was handed to a connection. */
  | { kind: 'not-sent', reason: string }
  /** It was sent and may have run. */
  | { kind: 'lost', reason: UnknownReason, detail: string }

/** One attempt to send. */
export interface Attempt {
  /** Host and port of the upstream. */
  address: string
  /** Unique for each attempt. */
  attemptId: string
  method: string
  path: string
  /** Names and values by turns. */
  headers: string[]
  body: Buffer | null
}

/** Options of the client. */
export interface UpstreamClientOptions {
  /** The greatest number of connections to one upstream. */
  connections: number
  /** The greatest length of an answer in bytes; a longer one counts as incomplete. */
  maxResponseBytes: number
  /** How long an attempt may take in milliseconds before its connection is closed. */
  attemptTimeoutMilliseconds: number
  /** Replaces the check that an answer belongs to its attempt; tests pass broken ones. */
  isOwnAnswer?: (echoedId: string | undefined, attemptId: string) => boolean
}

/** A connection that takes longer than this on a local network points to a dead upstream. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000

/** Headers that describe one connection and are not passed on (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
])

/**
 * Tells whether a header holds for one connection only.
 * @param name The name in lower case.
 * @returns True when it must not be passed on.
 */
export function isHopByHopHeader (name: string): boolean {
  return HOP_BY_HOP_HEADERS.has(name)
}

/** Sends attempts to upstreams and checks that answers are whole and belong to the attempt. */
export class UpstreamClient {
  private readonly pools = new Map<string, Pool>()

  private constructor (private readonly options: UpstreamClientOptions) {}

  /**
   * Creates a client without connections.
   * @param options Limits of connections, lengths and times.
   * @returns The client.
   */
  static create (options: UpstreamClientOptions): UpstreamClient {
    return new UpstreamClient(options)
  }

  /**
   * Sends one attempt; it is never sent twice.
   * @param attempt The attempt.
   * @param settle Receives what became of it, once.
   * @returns Closes the connection of an attempt whose answer is of no more use.
   */
  send (attempt: Attempt, settle: (result: AttemptResult) => void): () => void {
    const handler = new AttemptHandler(attempt, this.options, settle)
    try {
      this.getPool(attempt.address).dispatch({
        method: attempt.method as Dispatcher.HttpMethod,
        path: attempt.path,
        headers: [...attempt.headers, REQUEST_ID_HEADER, attempt.attemptId],
        body: attempt.body,
        idempotent: false
      }, handler)
    } catch (error) {
      handler.onResponseError(null, error as Error)
    }
    return () => handler.abort()
  }

  /**
   * Closes the connections to an upstream once its attempts have ended.
   * @param address Host and port of the upstream.
   */
  closePool (address: string): void {
    const pool = this.pools.get(address)
    this.pools.delete(address)
    pool?.close().catch(() => {})
  }

  /** Closes all connections once their attempts have ended. */
  async close (): Promise<void> {
    const pools = [...this.pools.values()]
    this.pools.clear()
    await Promise.all(pools.map(pool => pool.close()))
  }

  private getPool (address: string): Pool {
    let pool = this.pools.get(address)
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: this.options.connections,
        pipelining: 1,
        connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
        headersTimeout: this.options.attemptTimeoutMilliseconds,
        bodyTimeout: this.options.attemptTimeoutMilliseconds
      })
      this.pools.set(address, pool)
    }
    return pool
  }
}

class AttemptHandler implements Dispatcher.DispatchHandler {
  private started = false
  private aborted = false
  private settled = false
  private controller: Dispatcher.DispatchController | null = null
  private statusCode = 0
  private headers: string[] = []
  private echoedId: string | undefined
  private refused = false
  private closing = false
  private expectedBytes: number | null = null
  private isBodyEndMarked = false
  private receivedBytes = 0
  private readonly chunks: Buffer[] = []

  constructor (
    private readonly attempt: Attempt,
    private readonly options: UpstreamClientOptions,
    private readonly resolve: (result: AttemptResult) => void
  ) {}

  /** Runs right before the first byte is written; unlike an abort, an error thrown here leaves the connection open. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.started) {
      // undici may resend a request whose connection it reset itself; the first sending may have run.
      this.settle({ kind: 'lost', reason: 'connection-lost', detail: 'connection reset' })
      throw new Error('an attempt is sent once')
    }
    if (this.aborted) throw new Error('abandoned before it was sent')
    this.started = true
    this.controller = controller
  }

  abort (): void {
    this.aborted = true
    this.controller?.abort(new Error('abandoned'))
  }

  onResponseStart (
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[] | undefined>
  ): void {
    if (statusCode < 200) return
    this.statusCode = statusCode
    for (const name in headers) {
      const value = headers[name]
      if (value === undefined) continue
      this.readHeader(name, value)
      if (HOP_BY_HOP_HEADERS.has(name) || name === REQUEST_ID_HEADER) continue
      if (name === 'content-length' && this.attempt.method !== 'HEAD') continue
      if (typeof value === 'string') this.headers.push(name, value)
      else for (const item of value) this.headers.push(name, item)
    }
    const hasNoBody = this.attempt.method === 'HEAD' || statusCode === 204 || statusCode === 304
    if (hasNoBody) {
      this.isBodyEndMarked = true
      this.expectedBytes = null
    }
    if ((this.expectedBytes ?? 0) > this.options.maxResponseBytes) {
      this.settle({ kind: 'lost', reason: 'incomplete-answer', detail: 'the answer is longer than the limit' })
      controller.abort(new Error('answer too long'))
    }
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.receivedBytes += chunk.length
    if (this.receivedBytes > this.options.maxResponseBytes) {
      this.settle({ kind: 'lost', reason: 'incomplete-answer', detail: 'the answer is longer than the limit' })
      controller.abort(new Error('answer too long'))
      return
    }
    this.chunks.push(chunk)
  }

  onResponseEnd (): void {
    this.settle(this.evaluateResponse())
  }

  onResponseError (_controller: Dispatcher.DispatchController | null, error: Error): void {
    const code = (error as { code?: string }).code ?? error.message
    if (!this.started) this.settle({ kind: 'not-sent', reason: code })
    else if (this.statusCode !== 0) this.settle({ kind: 'lost', reason: 'incomplete-answer', detail: code })
    else this.settle({ kind: 'lost', reason: 'connection-lost', detail: code })
  }

  private readHeader (name: string, value: string | string[]): void {
    if (name === REQUEST_ID_HEADER) this.echoedId = String(value)
    else if (name === UPSTREAM_OUTCOME_HEADER) this.refused = value === 'refused'
    else if (name === 'connection') this.closing = String(value).toLowerCase() === 'close'
    else if (name === 'transfer-encoding') this.isBodyEndMarked = String(value).toLowerCase().endsWith('chunked')
    else if (name === 'content-length') {
      this.expectedBytes = Number(value)
      this.isBodyEndMarked = true
    }
  }

  private evaluateResponse (): AttemptResult {
    const isOwn = this.options.isOwnAnswer ?? ((echoedId, attemptId) => echoedId === attemptId)
    if (!isOwn(this.echoedId, this.attempt.attemptId)) {
      return { kind: 'lost', reason: 'foreign-answer', detail: `the answer names request ${this.echoedId ?? 'none'}` }
    }
    if (!this.isBodyEndMarked || (this.expectedBytes !== null && this.expectedBytes !== this.receivedBytes)) {
      return { kind: 'lost', reason: 'incomplete-answer', detail: 'the length of the answer cannot be confirmed' }
    }
    if (this.statusCode === 503 && this.refused) return { kind: 'refused', closing: this.closing }
    const body = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks)
    return {
      kind: 'answered',
      response: { statusCode: this.statusCode, headers: this.headers, body },
      closing: this.closing
    }
  }

  private settle (result: AttemptResult): void {
    if (this.settled) return
    this.settled = true
    this.resolve(result)
  }
}
