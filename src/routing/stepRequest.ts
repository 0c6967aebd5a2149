import type { NotRunReason, RequestOutcome } from './RequestOutcome.js'
import type { AttemptResult } from './UpstreamClient.js'

/** What has happened with one request of a caller. */
export interface RequestState {
  mayRepeat: boolean
  /** Attempts begun so far; also the number of the last one. */
  attempts: number
  /** Upstreams of the attempts that have not ended, by the number of the attempt. */
  openAttempts: Map<number, string>
  /** Whether a slot is being waited for. */
  acquiring: boolean
  hedged: boolean
  /** Upstreams that further attempts avoid. */
  avoided: string[]
  /** Why an ended attempt left it open whether the work ran, when one did. */
  uncertainOutcome: RequestOutcome & { kind: 'unknown' } | null
  outcome: RequestOutcome | null
}

/** What a request can learn. */
export type RequestEvent =
  | { kind: 'begin' }
  | { kind: 'slot-granted', upstreamId: string }
  | { kind: 'slot-denied', reason: NotRunReason, detail: string }
  | { kind: 'attempt-ended', attempt: number, result: AttemptResult }
  | { kind: 'hedge-due' }
  | { kind: 'deadline' }

/** What the rim does for a request. */
export type RequestEffect =
  | { kind: 'acquire', avoided: string[] }
  /** Takes a slot only when one is free at once. */
  | { kind: 'acquire-hedge', avoided: string[] }
  | { kind: 'send', attempt: number, upstreamId: string }
  | { kind: 'return-slot', upstreamId: string }
  | { kind: 'stop-acquiring' }
  | { kind: 'tell', outcome: RequestOutcome }
  /** An answer that came after the caller was told `unknown`; it goes into the record of the request. */
  | { kind: 'note-late-answer', outcome: RequestOutcome & { kind: 'answered' } }

/** The rules that a step decides by; tests pass broken ones. */
export interface RequestRules {
  /** Whether another attempt may follow this result. */
  mayRetry: (state: RequestState, result: AttemptResult) => boolean
  /** Takes a retry from the budget. */
  withdrawRetry: () => boolean
  /** Takes a hedge from its budget. */
  withdrawHedge: () => boolean
}

/** The greatest number of attempts of one request, hedges included. */
const MAXIMUM_ATTEMPTS = 4

/**
 * Creates the state of a request that has not begun.
 * @param mayRepeat Whether the policy lets the work be repeated.
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
 * Tells whether another attempt is safe after a result: the work may be repeated, or provably did not run.
 * @param state The state of the request.
 * @param result The result of an attempt.
 * @returns Whether it is safe.
 */
export function isRetrySafe (state: RequestState, result: AttemptResult): boolean {
  return state.mayRepeat || result.kind === 'refused' || result.kind === 'not-sent'
}

/**
 * Decides what follows from a message.
 * @param state The state, which is updated in place.
 * @param event What happened.
 * @param rules The rules of retries and their budgets.
 * @returns What to do, in this order.
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
    if (state.outcome?.kind === 'unknown') return [{ kind: 'note-late-answer', outcome }]
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
  return [{ kind: 'tell', outcome }]
}

function createNotRunOutcome (result: AttemptResult): RequestOutcome {
  return result.kind === 'refused'
    ? { kind: 'notRun', reason: 'refused-by-upstreams', detail: 'every upstream that was tried refused the request' }
    : { kind: 'notRun', reason: 'not-sent', detail: result.kind === 'not-sent' ? result.reason : '' }
}
