import type { WorkClass } from '../policy/CompiledPolicy.js'

/** Why a request did not run. */
export type NotRunReason =
  | 'unknown-service' | 'no-upstream' | 'deadline-too-short' | 'deadline-passed' | 'overloaded' | 'refused-by-upstreams'
  | 'not-sent' | 'key-reused-for-other-request' | 'not-authenticated' | 'malformed'
  | 'body-too-large' | 'body-too-slow' | 'no-configuration' | 'stopping'

/** Why the outcome of a request is unknown. */
export type UnknownReason = 'connection-lost' | 'incomplete-answer' | 'foreign-answer' | 'deadline-passed'
  | 'claimed-elsewhere' | 'key-not-claimed'

/** A complete response of an upstream that echoed the identifier of the attempt. */
export interface UpstreamResponse {
  statusCode: number
  /** Alternating names and values, without headers that apply to one connection only. */
  headers: string[]
  body: Buffer
}

/** The outcome of a request that is reported to its caller. */
export type RequestOutcome =
  | { kind: 'answered', response: UpstreamResponse }
  | { kind: 'notRun', reason: NotRunReason, detail: string }
  | { kind: 'unknown', reason: UnknownReason, detail: string }

/** A request of a caller as the entry program has read it. */
export interface RoutedRequest {
  /** The identifier with which the caller can query the outcome. */
  requestId: string
  service: string
  method: string
  /** The path and query after the name of the service. */
  path: string
  /** Alternating names and values. */
  headers: string[]
  body: Buffer | null
  caller: string
  kind: string
  workClass: WorkClass
  mayRepeat: boolean
  idempotencyKey: string | null
  /** When the caller stops waiting, on the monotonic clock of this process, in milliseconds. */
  deadlineAt: number
}

/**
 * Creates the outcome of a request whose idempotency key could not be claimed.
 *
 * This request was not sent, but an earlier request under the same key may have run at any entry instance. For the
 * caller both are the same work, so the outcome must not be `notRun`.
 * @param cause Why the key was not claimed.
 * @returns The outcome.
 */
export function createUnclaimedOutcome (cause: string): RequestOutcome & { kind: 'unknown' } {
  const detail = `this request was not sent; an earlier one under its key may have run (${cause})`
  return { kind: 'unknown', reason: 'key-not-claimed', detail }
}
