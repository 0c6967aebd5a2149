import type { RequestOutcome } from '../routing/RequestOutcome.js'

/** What is known of a request by its identifier. */
export interface RequestRecord {
  requestId: string
  /** `pending` until the caller has been told an outcome. */
  outcome: 'pending' | 'answered' | 'not-run' | 'unknown'
  reason: string | null
  /** The status of the upstream's answer, when there is one. */
  statusCode: number | null
}

/** Records of about one minute at full load; older ones are dropped first. */
const MAXIMUM_RECORDS = 20_000

/** Keeps the outcomes of recent requests of this entry instance. */
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
   * Notes an outcome; a later answer replaces an unknown outcome, and nothing replaces an answer.
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
   * Looks up a request.
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
