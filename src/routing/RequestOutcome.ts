import type { WorkClass } from '../policy/CompiledPolicy.js'

/** Why a request did not run. */
export type NotRunReason =
  | 'unknown-service' | 'no-upstream' | 'deadline-too-short' | 'deadline-passed' | 'overloaded' | 'refused-by-upstreams'
  | 'not-sent' | 'key-reused-for-other-request' | 'not-authenticated' | 'malformed'
  | 'body-too-large' | 'body-too-slow' | 'no-configuration' | 'stopping'

/** Why the outcome of a request is not known. */
export type UnknownReason = 'connection-lost' | 'incomplete-answer' | 'foreign-answer' | 'deadline-passed'
  | 'claimed-elsewhere' | 'key-not-claimed'

/** A whole response of an upstream that echoed the identifier of the attempt. */
export interface UpstreamResponse {
  statusCode: number
  /** Names and values by turns, without headers that hold for one connection only. */
  headers: string[]
  body: Buffer
}

/** What a caller is told of its request. */
export type RequestOutcome =
  | { kind: 'answered', response: UpstreamResponse }
  | { kind: 'notRun', reason: NotRunReason, detail: string }
  | { kind: 'unknown', reason: UnknownReason, detail: string }

/** A request as the entry program has read it. */
export interface RoutedRequest {
  /** The identifier by which the outcome can be asked for. */
  requestId: string
  service: string
  method: string
  /** The path and query behind the name of the service. */
  path: string
  /** Names and values by turns. */
  headers: string[]
  body: Buffer | null
  caller: string
  kind: string
  workClass: WorkClass
  mayRepeat: boolean
  idempotencyKey: string | null
  /** When the caller stops waiting, by the monotonic clock of this process, in milliseconds. */
  deadlineAt: number
}

/**
 * Creates the outcome of a request whose idempotency key could not be claimed.
 *
 * It was not sent, but an earlier request under the same key may have run at any entry instance, and for the
 * caller both are the same work; so this must not be reported as not run.
 * @param cause Why the key was not claimed.
 * @returns The outcome.
 */
export function createUnclaimedOutcome (cause: string): RequestOutcome & { kind: 'unknown' } {
  const detail = `this request was not sent; an earlier one under its key may have run (${cause})`
  return { kind: 'unknown', reason: 'key-not-claimed', detail }
}
