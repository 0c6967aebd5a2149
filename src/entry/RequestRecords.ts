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
const RECORD_LIMIT = 20_000

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
  note (requestId: string, outcome: RequestOutcome | null): void {
    const known = this.records.get(requestId)
    if (known !== undefined && known.outcome !== 'pending' && known.outcome !== 'unknown') return
    if (known === undefined && this.records.size >= RECORD_LIMIT) {
      this.records.delete(this.records.keys().next().value as string)
    }
    this.records.set(requestId, describe(requestId, outcome))
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

function describe (requestId: string, outcome: RequestOutcome | null): RequestRecord {
  if (outcome === null) return { requestId, outcome: 'pending', reason: null, statusCode: null }
  if (outcome.kind === 'answered') {
    return { requestId, outcome: 'answered', reason: null, statusCode: outcome.response.statusCode }
  }
  const name = outcome.kind === 'notRun' ? 'not-run' : 'unknown'
  return { requestId, outcome: name, reason: outcome.reason, statusCode: null }
}
