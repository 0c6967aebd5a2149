import { Agent } from 'undici'
import { isMatchingResponse } from '../../../stand-ins/upstreams/StandInUpstream.js'

/** A request of the load. */
export interface LoadRequest {
  url: string
  path: string
  kind: string
  method?: 'GET' | 'POST'
  body?: string
  key?: string
  caller?: string
  deadlineMilliseconds?: number
}

/** The outcome of a request. */
export interface LoadResult {
  request: LoadRequest
  /** The outcome that the router reported; `cut` if the connection broke without an outcome. */
  outcome: 'answered' | 'not-run' | 'unknown' | 'cut'
  statusCode: number
  reason: string
  milliseconds: number
  /** Whether a response that was reported as answered is complete and belongs to this request. */
  isOwnResponse: boolean
}

/** Sends requests and records their outcomes. */
export class RequestLoad {
  readonly results: LoadResult[] = []
  private readonly agent: Agent

  private constructor (connections: number) {
    this.agent = new Agent({ connections, pipelining: 1, headersTimeout: 60_000 })
  }

  /**
   * Creates a load without connections.
   * @param options The maximum number of connections to each URL.
   * @returns The load.
   */
  static create (options: { connections: number }): RequestLoad {
    return new RequestLoad(options.connections)
  }

  /**
   * Sends one request.
   * @param request The request.
   * @returns The outcome of the request.
   */
  async send (request: LoadRequest): Promise<LoadResult> {
    const startedAt = performance.now()
    const result: LoadResult = { request, outcome: 'cut', statusCode: 0, reason: '', milliseconds: 0, isOwnResponse: false }
    try {
      const response = await this.agent.request({
        origin: request.url,
        path: `/services/permit-desk${request.path}`,
        method: request.method ?? 'GET',
        headers: {
          'papayamoor-kind': request.kind,
          ...(request.key === undefined ? {} : { 'idempotency-key': request.key }),
          ...(request.caller === undefined ? {} : { 'papayamoor-caller': request.caller }),
          ...(request.deadlineMilliseconds === undefined
            ? {}
            : { 'papayamoor-deadline-milliseconds': String(request.deadlineMilliseconds) })
        },
        body: request.body
      })
      const text = await response.body.text()
      result.statusCode = response.statusCode
      result.outcome = response.headers['papayamoor-outcome'] as LoadResult['outcome']
      if (result.outcome === 'answered') {
        result.isOwnResponse = isMatchingResponse(text, request.method ?? 'GET', request.path, request.body ?? '')
      } else {
        result.reason = (JSON.parse(text) as { reason: string }).reason
      }
    } catch (error) {
      result.reason = (error as { code?: string }).code ?? (error as Error).message
    }
    result.milliseconds = performance.now() - startedAt
    this.results.push(result)
    return result
  }

  /**
   * Sends requests at a constant rate without waiting for responses, and then waits for all outcomes.
   * @param options The rate, the duration, and a function that creates the request with a given number.
   */
  async sendEvenly (options: {
    perSecond: number, durationMilliseconds: number, createRequest: (number: number) => LoadRequest
  }): Promise<void> {
    const { perSecond, durationMilliseconds, createRequest } = options
    const startedAt = performance.now()
    const total = Math.floor(perSecond * durationMilliseconds / 1000)
    const pending: Array<Promise<LoadResult>> = []
    while (pending.length < total) {
      const due = Math.min(total, Math.floor((performance.now() - startedAt) / 1000 * perSecond) + 1)
      while (pending.length < due) pending.push(this.send(createRequest(pending.length)))
      await new Promise(resolve => setTimeout(resolve, 1))
    }
    await Promise.all(pending)
  }

  /**
   * Counts the results that satisfy a predicate.
   * @param matches The predicate.
   * @returns The number of results.
   */
  count (matches: (result: LoadResult) => boolean): number {
    return this.results.filter(matches).length
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }
}

/**
 * Returns a quantile of measured values.
 * @param values The values.
 * @param share The quantile, from 0 to 1.
 * @returns The value below which this share of the values lies; 0 if there are no values.
 */
export function getQuantile (values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}
