import { Pool } from 'undici'
import type {
  JsonValue, ObjectStore, ReadOutcome, Row, RowKey, ScanOptions, TableService, Transaction, TransactionOutcome
} from './TableService.js'

/** Options of the client. */
export interface HttpTableServiceOptions {
  /** The base URL of the service, for example `http://127.0.0.1:7000`. */
  url: string
  /** The time limit of a call in milliseconds; the outcome of a transaction that exceeds it is unknown. */
  timeoutMilliseconds?: number
}

/** Slow responses of the service are common; a shorter timeout turns them into unknown outcomes. */
const DEFAULT_TIMEOUT_MILLISECONDS = 2000
const CONNECTIONS = 8

/** Connection errors which prove that the service did not receive the request. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

type CallResult =
  | { kind: 'answered', statusCode: number, body: Buffer }
  | { kind: 'not-sent', reason: string }
  | { kind: 'lost', reason: string }

/** HTTP client of the platform's table service and object store. */
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
    // The service sends 400, 429 and 503 without applying the transaction; any other status leaves that open.
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

  /** Waits for the calls in flight, then closes the connections. */
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
        headers: body === undefined
          ? {}
          : { 'content-type': isBytes ? 'application/octet-stream' : 'application/json' },
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
