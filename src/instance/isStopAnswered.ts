import type { OrderOutcome } from '../dispatch/index.js'

/** Outcomes of a stop after which the worker may still run the task. */
const UNSETTLED_OUTCOMES: ReadonlySet<string> = new Set(['unknown', 'unhealthy', 'not-sent', 'withdrawn'])

/**
 * Returns whether a worker has answered a stop, so that it rejects the attempt from then on.
 * @param outcome The outcome of the stop, or that it was withdrawn before it was sent.
 * @returns Whether only a report is needed to know that the run is over.
 */
export function isStopAnswered (outcome: OrderOutcome | { kind: 'withdrawn' }): boolean {
  return !UNSETTLED_OUTCOMES.has(outcome.kind)
}
