import type { ServerResponse } from 'node:http'
import { REQUEST_ID_HEADER } from '../routing/UpstreamClient.js'
import type { NotRunReason, RequestOutcome } from '../routing/RequestOutcome.js'

/** Tells callers which of the three outcomes their request had. */
export const OUTCOME_HEADER = 'papayamoor-outcome'

const OUTCOME_NAMES = { answered: 'answered', notRun: 'not-run', unknown: 'unknown' } as const

/** Statuses of requests that did not run; all others are 503. */
const NOT_RUN_STATUS: Partial<Record<NotRunReason, number>> = {
  'unknown-service': 404,
  'not-authenticated': 401,
  malformed: 400,
  'body-too-large': 413,
  'body-too-slow': 408,
  'key-reused-for-other-request': 422,
  overloaded: 429,
  'deadline-too-short': 504,
  'deadline-passed': 504
}

/**
 * Returns the name that callers see of an outcome.
 * @param kind The kind of the outcome.
 * @returns The value of the header `papayamoor-outcome`.
 */
export function getOutcomeName (kind: RequestOutcome['kind']): string {
  return OUTCOME_NAMES[kind]
}

/**
 * Sends the outcome of a request to its caller.
 * @param response The response of the caller's request.
 * @param requestId The identifier of the request.
 * @param outcome The outcome.
 */
export function sendOutcome (response: ServerResponse, requestId: string, outcome: RequestOutcome): void {
  if (response.destroyed || response.headersSent) return
  if (outcome.kind === 'answered') {
    const { statusCode, headers, body } = outcome.response
    const hasNoBody = statusCode === 204 || statusCode === 304 || response.req.method === 'HEAD'
    const length = hasNoBody ? [] : ['content-length', String(body.length)]
    response.writeHead(statusCode, [
      ...headers, ...length, OUTCOME_HEADER, OUTCOME_NAMES.answered, REQUEST_ID_HEADER, requestId
    ])
    response.end(hasNoBody ? undefined : body)
    return
  }
  const status = outcome.kind === 'notRun' ? NOT_RUN_STATUS[outcome.reason] ?? 503 : 502
  const problem = {
    type: 'about:blank',
    title: outcome.kind === 'notRun' ? 'The request did not run' : 'The outcome of the request is not known',
    status,
    detail: outcome.detail,
    outcome: OUTCOME_NAMES[outcome.kind],
    reason: outcome.reason,
    requestId
  }
  const body = Buffer.from(JSON.stringify(problem))
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': body.length,
    [OUTCOME_HEADER]: OUTCOME_NAMES[outcome.kind],
    [REQUEST_ID_HEADER]: requestId
  })
  response.end(body)
}
