import type { NotRunReason, RequestOutcome } from './RequestOutcome.js'
import type { AttemptResult } from './UpstreamClient.js'

/** The progress of one request of a caller. */
export interface RequestState {
  mayRepeat: boolean
  /** Attempts sent so far; also the number of the latest attempt. */
  attempts: number
  /** The upstreams of the attempts in flight, by the number of the attempt. */
  openAttempts: Map<number, string>
  /** Whether the request waits for a slot. */
  acquiring: boolean
  hedged: boolean
  /** Upstreams of failed attempts, which further attempts avoid. */
  avoided: string[]
  /** The outcome to report after an attempt that may have run was lost, or null while there is no such attempt. */
  uncertainOutcome: RequestOutcome & { kind: 'unknown' } | null
  outcome: RequestOutcome | null
}

/** An event that changes the state of a request. */
export type RequestEvent =
  | { kind: 'begin' }
  | { kind: 'slot-granted', upstreamId: string }
  | { kind: 'slot-denied', reason: NotRunReason, detail: string }
  | { kind: 'attempt-ended', attempt: number, result: AttemptResult }
  | { kind: 'hedge-due' }
  | { kind: 'deadline' }

/** An action that the router carries out for a request. */
export type RequestEffect =
  | { kind: 'acquire', avoided: string[] }
  /** Takes a slot for a hedge, but only one that is free immediately. */
  | { kind: 'acquire-hedge', avoided: string[] }
  | { kind: 'send', attempt: number, upstreamId: string }
  | { kind: 'return-slot', upstreamId: string }
  | { kind: 'stop-acquiring' }
  | { kind: 'finish', outcome: RequestOutcome }
  /** Stores a response that arrived after the outcome `unknown` was reported, in the record of the request. */
  | { kind: 'record-late-response', outcome: RequestOutcome & { kind: 'answered' } }

/** The retry rules and budgets of a step; tests pass faulty rules. */
export interface RequestRules {
  /** Returns whether another attempt may follow this result. */
  mayRetry: (state: RequestState, result: AttemptResult) => boolean
  /** Withdraws one retry from the retry budget; returns whether the budget allows it. */
  withdrawRetry: () => boolean
  /** Withdraws one hedge from the hedge budget; returns whether the budget allows it. */
  withdrawHedge: () => boolean
}

/** The maximum number of attempts of one request, hedges included. */
const MAXIMUM_ATTEMPTS = 4

/**
 * Creates the state of a request that has not begun.
 * @param mayRepeat Whether the policy allows the work to run more than once.
 * @returns The state.
 */
export function createRequestState (mayRepeat: boolean): RequestState {
  return {
    mayRepeat,
    attempts: 0,
    openAttempts: new Map(),
    acquiring: false,
    hedged: false,
    avoided: [],
    uncertainOutcome: null,
    outcome: null
  }
}

/**
 * Returns whether another attempt is safe after a result: the work may be repeated, or provably did not run.
 * @param state The state of the request.
 * @param result The result of an attempt.
 * @returns Whether another attempt is safe.
 */
export function isRetrySafe (state: RequestState, result: AttemptResult): boolean {
  return state.mayRepeat || result.kind === 'refused' || result.kind === 'not-sent'
}

/**
 * Applies an event to the state of a request.
 * @param state The state, which is updated in place.
 * @param event The event.
 * @param rules The retry rules and their budgets.
 * @returns The effects to carry out, in this order.
 */
export function stepRequest (state: RequestState, event: RequestEvent, rules: RequestRules): RequestEffect[] {
  switch (event.kind) {
    case 'begin': return acquire(state)
    case 'slot-granted': return send(state, event.upstreamId)
    case 'slot-denied': return handleSlotDenied(state, event.reason, event.detail)
    case 'attempt-ended': return endAttempt(state, event.attempt, event.result, rules)
    case 'hedge-due': return hedge(state, rules)
    case 'deadline': return endAtDeadline(state)
  }
}

function acquire (state: RequestState): RequestEffect[] {
  state.acquiring = true
  return [{ kind: 'acquire', avoided: [...state.avoided] }]
}

function send (state: RequestState, upstreamId: string): RequestEffect[] {
  state.acquiring = false
  if (state.outcome !== null) return [{ kind: 'return-slot', upstreamId }]
  const attempt = ++state.attempts
  state.openAttempts.set(attempt, upstreamId)
  return [{ kind: 'send', attempt, upstreamId }]
}

function handleSlotDenied (state: RequestState, reason: NotRunReason, detail: string): RequestEffect[] {
  state.acquiring = false
  if (state.outcome !== null || state.openAttempts.size > 0) return []
  return finish(state, state.uncertainOutcome ?? { kind: 'notRun', reason, detail })
}

function endAttempt (
  state: RequestState,
  attempt: number,
  result: AttemptResult,
  rules: RequestRules
): RequestEffect[] {
  const upstreamId = state.openAttempts.get(attempt)
  if (upstreamId === undefined) return []
  state.openAttempts.delete(attempt)
  if (result.kind === 'answered') {
    const outcome = { kind: 'answered', response: result.response } as const
    if (state.outcome?.kind === 'unknown') return [{ kind: 'record-late-response', outcome }]
    return state.outcome === null ? finish(state, outcome) : []
  }
  if (state.outcome !== null) return []
  state.avoided.push(upstreamId)
  if (result.kind === 'lost') state.uncertainOutcome = { kind: 'unknown', reason: result.reason, detail: result.detail }
  if (state.openAttempts.size > 0 || state.acquiring) return []
  if (state.attempts < MAXIMUM_ATTEMPTS && rules.mayRetry(state, result) && rules.withdrawRetry()) {
    return acquire(state)
  }
  return finish(state, state.uncertainOutcome ?? createNotRunOutcome(result))
}

function hedge (state: RequestState, rules: RequestRules): RequestEffect[] {
  const allowed = state.mayRepeat && !state.hedged && state.outcome === null && state.openAttempts.size === 1 &&
    !state.acquiring && state.attempts < MAXIMUM_ATTEMPTS
  if (!allowed || !rules.withdrawHedge()) return []
  state.hedged = true
  state.acquiring = true
  return [{ kind: 'acquire-hedge', avoided: [...state.avoided, ...state.openAttempts.values()] }]
}

function endAtDeadline (state: RequestState): RequestEffect[] {
  if (state.outcome !== null) return []
  const mayHaveRun = state.openAttempts.size > 0 || state.uncertainOutcome !== null
  const detail = mayHaveRun ? 'no whole answer arrived before the deadline' : 'no slot was free before the deadline'
  const effects = finish(state, { kind: mayHaveRun ? 'unknown' : 'notRun', reason: 'deadline-passed', detail })
  return state.acquiring ? [{ kind: 'stop-acquiring' }, ...effects] : effects
}

function finish (state: RequestState, outcome: RequestOutcome): RequestEffect[] {
  state.outcome = outcome
  return [{ kind: 'finish', outcome }]
}

function createNotRunOutcome (result: AttemptResult): RequestOutcome {
  return result.kind === 'refused'
    ? { kind: 'notRun', reason: 'refused-by-upstreams', detail: 'every upstream that was tried refused the request' }
    : { kind: 'notRun', reason: 'not-sent', detail: result.kind === 'not-sent' ? result.reason : '' }
}
