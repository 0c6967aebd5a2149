import type { RequestOutcome } from '../routing/RequestOutcome.js'

/** The recorded outcome of a request. */
export interface RequestRecord {
  requestId: string
  /** `pending` until an outcome is determined for the caller. */
  outcome: 'pending' | 'answered' | 'not-run' | 'unknown'
  reason: string | null
  /** The status code of the upstream's response, or null without a response. */
  statusCode: number | null
}

/** About one minute of requests at full load. The oldest record is removed first. */
const MAXIMUM_RECORDS = 20_000

/** Stores the outcomes of recent requests of this entry instance in memory. */
export class RequestRecords {
  private readonly records = new Map<string, RequestRecord>()

  private constructor () {}

  /**
   * Creates an empty store of records.
   * @returns The store.
   */
  static create (): RequestRecords {
    return new RequestRecords()
  }

  /**
   * Records an outcome. It replaces a pending or unknown outcome; any other recorded outcome is kept.
   * @param requestId The identifier of the request.
   * @param outcome The outcome, or null while the request is in flight.
   */
  recordOutcome (requestId: string, outcome: RequestOutcome | null): void {
    const existing = this.records.get(requestId)
    if (existing !== undefined && existing.outcome !== 'pending' && existing.outcome !== 'unknown') return
    if (existing === undefined && this.records.size >= MAXIMUM_RECORDS) {
      this.records.delete(this.records.keys().next().value as string)
    }
    this.records.set(requestId, createRecord(requestId, outcome))
  }

  /**
   * Returns the record of a request.
   * @param requestId The identifier of the request.
   * @returns The record, or null when there is none.
   */
  get (requestId: string): RequestRecord | null {
    return this.records.get(requestId) ?? null
  }
}

function createRecord (requestId: string, outcome: RequestOutcome | null): RequestRecord {
  if (outcome === null) return { requestId, outcome: 'pending', reason: null, statusCode: null }
  if (outcome.kind === 'answered') {
    return { requestId, outcome: 'answered', reason: null, statusCode: outcome.response.statusCode }
  }
  const name = outcome.kind === 'notRun' ? 'not-run' : 'unknown'
  return { requestId, outcome: name, reason: outcome.reason, statusCode: null }
}
