import { createHash } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, type Dispatcher } from 'undici'
import { isMatchingResponse, type UpstreamCounters } from '../../stand-ins/upstreams/StandInUpstream.js'

/**
 * Counts of the outcomes that callers received and of the outcomes that were incorrect. The comparison with the
 * upstreams' counters fills in the last two fields at the end.
 */
export interface RequestTally {
  requests: number
  answered: number
  notRun: number
  unknown: number
  /** Responses reported as answered that were incomplete or belonged to another request. */
  wrongAnswers: number
  /** Requests whose connection broke before the response was complete. */
  cutRequests: number
  /** Requests for which no entry instance accepted a connection. */
  notConnected: number
  /** Requests reported as not run that an upstream ran. */
  notRunButRan: number
  /** Submissions that ran more than once. */
  repeatedSubmissions: number
}

/** A request of a caller. */
export interface CallerRequest {
  method: 'GET' | 'POST'
  kind: string
  deadlineMilliseconds: number
  /** How long the upstream works on the request; by default the service time of the kind. */
  serviceMilliseconds?: number
  /** The key of a submission that is never repeated. */
  idempotencyKey?: string
  body?: string
}

/** The options of callers. */
export interface RequestCallersOptions {
  service: string
  /** The URLs of the entry instances. */
  entryUrls: string[]
  /** The name of the callers, which makes the names of their requests unique. */
  name: string
}

const READINESS_INTERVAL_MILLISECONDS = 200
/** How long callers wait beyond the deadline of a request, so that the entry instance ends it first. */
const RESPONSE_GRACE_MILLISECONDS = 5000
const CONNECTIONS_PER_ENTRY = 64
/** Errors that occur while connecting, before any part of the request is sent. */
const NOT_CONNECTED_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'])
/** The maximum number of fault descriptions that are kept. */
const MAXIMUM_RECORDED_FAULTS = 20

/** Simulates callers behind the platform's load balancer, which sends requests to the ready entry instances in turn. */
export class RequestCallers {
  readonly tally: RequestTally = {
    requests: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    wrongAnswers: 0,
    cutRequests: 0,
    notConnected: 0,
    notRunButRan: 0,
    repeatedSubmissions: 0
  }

  /** The durations of answered requests by kind, in milliseconds. */
  readonly durations = new Map<string, number[]>()
  /** Descriptions of the first faults, for logs and assertion messages. */
  readonly faults: string[] = []
  private readonly agent = new Agent({ connections: CONNECTIONS_PER_ENTRY, pipelining: 1 })
  private readonly notRunRequests: string[] = []
  private readonly inFlight = new Set<Promise<void>>()
  private readyUrls: string[]
  private nextOrigin = 0
  private nextNumber = 1
  private isWatchingReadiness = true

  private constructor (private readonly options: RequestCallersOptions) {
    this.readyUrls = [...options.entryUrls]
  }

  /**
   * Creates callers that have sent no request, and starts to poll the readiness of the entry instances.
   * @param options The options of the callers.
   * @returns The callers.
   */
  static create (options: RequestCallersOptions): RequestCallers {
    const callers = new RequestCallers(options)
    callers.watchReadiness().catch(error => callers.recordFault(`load balancer: ${error.message}`))
    return callers
  }

  /**
   * Sends requests at a constant rate without waiting for responses.
   * @param createRequest Creates the request with a given number.
   * @param perSecond The number of requests per second.
   * @param durationMilliseconds How long to send requests.
   */
  async sendEvenly (
    createRequest: (number: number) => CallerRequest,
    perSecond: number,
    durationMilliseconds: number
  ): Promise<void> {
    const startedAt = performance.now()
    for (let sent = 0; ; sent++) {
      const dueAt = startedAt + sent * 1000 / perSecond
      if (dueAt >= startedAt + durationMilliseconds) return
      if (dueAt > performance.now()) await delay(dueAt - performance.now())
      this.startRequest(createRequest(sent))
    }
  }

  /**
   * Sends one request without waiting for its outcome, which is recorded later.
   * @param request The request.
   */
  startRequest (request: CallerRequest): void {
    const name = `${request.idempotencyKey ?? `${this.options.name}-${this.nextNumber++}`}`
    const sending = this.send(name, request).finally(() => this.inFlight.delete(sending))
    this.inFlight.add(sending)
  }

  /** Waits until the outcome of every request that was sent is recorded. */
  async waitForOutcomes (): Promise<void> {
    while (this.inFlight.size > 0) await Promise.all(this.inFlight)
  }

  /** Stops polling readiness, waits for all outcomes and closes the connections. */
  async close (): Promise<void> {
    this.isWatchingReadiness = false
    await this.waitForOutcomes()
    await this.agent.destroy()
  }

  /**
   * Compares the outcomes that callers received with the counters of the upstreams, and records contradictions.
   * @param counters The counters of all upstreams.
   */
  compareWithUpstreams (counters: Record<string, UpstreamCounters>): void {
    const all = Object.values(counters)
    const countRuns = (request: string) =>
      all.reduce((sum, { runsByRequest }) => sum + (runsByRequest[request] ?? 0), 0)
    for (const request of this.notRunRequests) {
      if (countRuns(request) === 0) continue
      this.tally.notRunButRan++
      this.recordFault(`reported as not run but ran: ${request}`)
    }
    const keys = new Set(all.flatMap(({ runsByKey }) => Object.keys(runsByKey)))
    for (const key of keys) {
      const runs = all.reduce((sum, { runsByKey }) => sum + (runsByKey[key] ?? 0), 0)
      if (runs < 2) continue
      this.tally.repeatedSubmissions++
      this.recordFault(`submission ${key} ran ${runs} times`)
    }
  }

  private async send (name: string, request: CallerRequest): Promise<void> {
    this.tally.requests++
    const startedAt = performance.now()
    const query = request.serviceMilliseconds === undefined ? '' : `?milliseconds=${request.serviceMilliseconds}`
    const path = `/${name}${query}`
    for (const origin of this.getOrigins()) {
      try {
        const response = await this.agent.request(this.createOptions(origin, path, request))
        const text = await response.body.text()
        this.recordOutcome(path, request, response, text, performance.now() - startedAt)
        return
      } catch (error) {
        const { code, message } = error as { code?: string, message: string }
        if (NOT_CONNECTED_CODES.has(code ?? '')) continue
        this.tally.cutRequests++
        this.recordFault(`${path} at ${origin}: connection broke: ${code ?? message}`)
        return
      }
    }
    this.tally.notConnected++
  }

  private recordOutcome (
    path: string,
    request: CallerRequest,
    response: Dispatcher.ResponseData,
    text: string,
    milliseconds: number
  ): void {
    const outcome = response.headers['papayamoor-outcome']
    if (outcome === 'answered') {
      this.tally.answered++
      if (response.statusCode !== 200 || !isMatchingResponse(text, request.method, path, request.body ?? '')) {
        this.tally.wrongAnswers++
        this.recordFault(`${path}: status ${response.statusCode}, incorrect response ${describeBody(text)}`)
      }
      const durations = this.durations.get(request.kind) ?? []
      durations.push(milliseconds)
      this.durations.set(request.kind, durations)
    } else if (outcome === 'not-run') {
      this.tally.notRun++
      // A duplicate of a submission counts too, since its caller is also told that the work did not run.
      this.notRunRequests.push(`${request.method} ${path}`)
      this.recordFault(`${path}: not run: ${text.slice(0, 200)}`)
    } else {
      this.tally.unknown++
      this.recordFault(`${path}: status ${response.statusCode}: ${text.slice(0, 200)}`)
    }
  }

  private createOptions (origin: string, path: string, request: CallerRequest): Dispatcher.DispatchOptions & {
    origin: string
  } {
    return {
      origin,
      path: `/services/${this.options.service}${path}`,
      method: request.method,
      headers: {
        'papayamoor-kind': request.kind,
        'papayamoor-caller': this.options.name,
        'papayamoor-deadline-milliseconds': String(request.deadlineMilliseconds),
        ...(request.idempotencyKey === undefined ? {} : { 'idempotency-key': request.idempotencyKey })
      },
      body: request.body ?? null,
      headersTimeout: request.deadlineMilliseconds + RESPONSE_GRACE_MILLISECONDS,
      bodyTimeout: request.deadlineMilliseconds + RESPONSE_GRACE_MILLISECONDS
    }
  }

  /** Returns the ready entry instances, or all of them if none is ready, starting with the next in turn. */
  private getOrigins (): string[] {
    const origins = this.readyUrls.length > 0 ? this.readyUrls : this.options.entryUrls
    const first = this.nextOrigin++ % origins.length
    return [...origins.slice(first), ...origins.slice(0, first)]
  }

  private async watchReadiness (): Promise<void> {
    while (this.isWatchingReadiness) {
      const states = await Promise.all(this.options.entryUrls.map(async url => {
        try {
          const signal = AbortSignal.timeout(1000)
          const response = await this.agent.request({ origin: url, path: '/readyz', method: 'GET', signal })
          await response.body.dump()
          return response.statusCode === 200
        } catch {
          return false
        }
      }))
      this.readyUrls = this.options.entryUrls.filter((_url, index) => states[index])
      await delay(READINESS_INTERVAL_MILLISECONDS)
    }
  }

  private recordFault (fault: string): void {
    if (this.faults.length < MAXIMUM_RECORDED_FAULTS) this.faults.push(fault)
  }
}

function describeBody (text: string): string {
  return `${text.length} bytes, SHA-256 ${createHash('sha256').update(text).digest('hex').slice(0, 8)}`
}
