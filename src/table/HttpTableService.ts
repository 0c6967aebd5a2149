import { Pool } from 'undici'
import type {
  JsonValue, ObjectStore, ReadOutcome, Row, RowKey, ScanOptions, TableService, Transaction, TransactionOutcome
} from './TableService.js'

/** Options of the client. */
export interface HttpTableServiceOptions {
  /** Where the service listens, for example `http://127.0.0.1:7000`. */
  url: string
  /** How long a call may take, in milliseconds, before its outcome counts as unknown. */
  timeoutMilliseconds?: number
}

/** Slow answers of the store are common; shorter timeouts turn them into unknown outcomes to settle. */
const DEFAULT_TIMEOUT_MILLISECONDS = 2000
const CONNECTIONS = 8

/** Errors of the connection that prove that the service received nothing. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

type CallResult =
  | { kind: 'answered', statusCode: number, body: Buffer }
  | { kind: 'not-sent', reason: string }
  | { kind: 'lost', reason: string }

/** The client of the platform's table service and object store over HTTP. */
export class HttpTableService implements TableService, ObjectStore {
  private constructor (
    private readonly pool: Pool,
    private readonly timeoutMilliseconds: number
  ) {}

  /**
   * Creates a client.
   * @param options The address and timeout.
   * @returns The client.
   */
  static create (options: HttpTableServiceOptions): HttpTableService {
    const pool = new Pool(options.url, { connections: CONNECTIONS, pipelining: 1 })
    return new HttpTableService(pool, options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS)
  }

  async transact (transaction: Transaction): Promise<TransactionOutcome> {
    const result = await this.call('POST', '/transactions', transaction)
    if (result.kind === 'not-sent') return { kind: 'unavailable', reason: result.reason }
    if (result.kind === 'lost') return { kind: 'unknown', reason: result.reason }
    if (result.statusCode === 200 || result.statusCode === 409) {
      return JSON.parse(result.body.toString()) as TransactionOutcome
    }
    // 429 and 503 are sent before the service looks at the transaction; any other status proves nothing.
    const isRejected = result.statusCode === 429 || result.statusCode === 503 || result.statusCode === 400
    const reason = `table service answered ${result.statusCode}`
    return isRejected ? { kind: 'unavailable', reason } : { kind: 'unknown', reason }
  }

  async read (row: RowKey): Promise<ReadOutcome<Row | null>> {
    const rows = await this.readMany([row])
    return rows.kind === 'ok' ? { kind: 'ok', value: rows.value[0] } : rows
  }

  async readMany (rows: RowKey[]): Promise<ReadOutcome<Array<Row | null>>> {
    return await this.query('/reads', { rows })
  }

  async scan (table: string, options: ScanOptions = {}): Promise<ReadOutcome<Row[]>> {
    return await this.query('/scans', { table, ...options })
  }

  async putObject (key: string, bytes: Uint8Array): Promise<ReadOutcome<null>> {
    const result = await this.call('PUT', `/objects/${encodeURIComponent(key)}`, bytes)
    return result.kind === 'answered' && result.statusCode === 204 ? { kind: 'ok', value: null } : toUnavailable(result)
  }

  async getObject (key: string): Promise<ReadOutcome<Uint8Array | null>> {
    const result = await this.call('GET', `/objects/${encodeURIComponent(key)}`)
    if (result.kind !== 'answered') return toUnavailable(result)
    if (result.statusCode === 404) return { kind: 'ok', value: null }
    return result.statusCode === 200 ? { kind: 'ok', value: result.body } : toUnavailable(result)
  }

  async deleteObject (key: string): Promise<ReadOutcome<null>> {
    const result = await this.call('DELETE', `/objects/${encodeURIComponent(key)}`)
    return result.kind === 'answered' && result.statusCode === 204 ? { kind: 'ok', value: null } : toUnavailable(result)
  }

  /** Closes the connections after the calls in flight have ended. */
  async close (): Promise<void> {
    await this.pool.close()
  }

  private async query<Value> (path: string, body: object): Promise<ReadOutcome<Value>> {
    const result = await this.call('POST', path, body)
    if (result.kind !== 'answered' || result.statusCode !== 200) return toUnavailable(result)
    return { kind: 'ok', value: JSON.parse(result.body.toString()) as Value }
  }

  private async call (
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body?: object | Uint8Array
  ): Promise<CallResult> {
    const isBytes = body instanceof Uint8Array
    try {
      const response = await this.pool.request({
        method,
        path,
        body: body === undefined ? null : isBytes ? Buffer.from(body) : JSON.stringify(body as JsonValue),
        headers: body === undefined ? {} : { 'content-type': isBytes ? 'application/octet-stream' : 'application/json' },
        signal: AbortSignal.timeout(this.timeoutMilliseconds)
      })
      const bytes = Buffer.from(await response.body.arrayBuffer())
      return { kind: 'answered', statusCode: response.statusCode, body: bytes }
    } catch (error) {
      const failure = error as { code?: string, message: string }
      const reason = failure.code ?? failure.message
      return NOT_SENT_CODES.has(failure.code ?? '') ? { kind: 'not-sent', reason } : { kind: 'lost', reason }
    }
  }
}

function toUnavailable (result: CallResult): { kind: 'unavailable', reason: string } {
  const reason = result.kind === 'answered' ? `table service answered ${result.statusCode}` : result.reason
  return { kind: 'unavailable', reason }
}
