import { Agent } from 'undici'
import type { ExchangeOutcome, WorkerAnswer, WorkerClient, WorkerExchange } from './WorkerProtocol.js'

/** A worker that takes longer than this counts as unreachable until it responds again; a lease lasts far longer. */
const DEFAULT_TIMEOUT_MILLISECONDS = 2000

/** Connection errors after which the worker cannot have received the request. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends exchanges to workers over HTTP: `POST /workers/<workerId>/exchange`. */
export class HttpWorkerClient implements WorkerClient {
  private constructor (
    private readonly agent: Agent,
    private readonly timeoutMilliseconds: number
  ) {}

  /**
   * Creates a client.
   * @param options How long an exchange may take before its outcome counts as unknown.
   * @returns The client.
   */
  static create (options: { timeoutMilliseconds?: number } = {}): HttpWorkerClient {
    const agent = new Agent({ connections: 1, pipelining: 1, keepAliveTimeout: 15_000 })
    return new HttpWorkerClient(agent, options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS)
  }

  async exchange (workerId: string, address: string, exchange: WorkerExchange): Promise<ExchangeOutcome> {
    try {
      const response = await this.agent.request({
        origin: `http://${address}`,
        path: `/workers/${encodeURIComponent(workerId)}/exchange`,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(exchange),
        signal: AbortSignal.timeout(this.timeoutMilliseconds)
      })
      const text = await response.body.text()
      if (response.statusCode !== 200 && response.statusCode !== 409) {
        return { kind: 'unknown', reason: `worker answered ${response.statusCode}` }
      }
      return { kind: 'answered', answer: JSON.parse(text) as WorkerAnswer }
    } catch (error) {
      const failure = error as { code?: string, message: string }
      const reason = failure.code ?? failure.message
      return { kind: NOT_SENT_CODES.has(failure.code ?? '') ? 'not-sent' : 'unknown', reason }
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }
}
