import type { RunRecord } from '../jobs/index.js'
import type { OrderOutcome } from './WorkerProtocol.js'
import { hasSlowPath, type WorkerRecord } from './WorkerRecord.js'

/** The distance between the epochs of two owners, so that an owner may raise its fencing token this often less one. */
export const EPOCH_STEP = 4096
/** Time after the last send of a start without a response in which a response to its stop usually settles it. */
const UNSETTLED_START_LIMIT_MILLISECONDS = 3000

/**
 * Returns the fencing token for calls of an owner to a worker.
 * @param worker The worker.
 * @param epoch The epoch of the owner.
 * @returns The token, which is lower than the epoch of any successor.
 */
export function getFencingToken (worker: WorkerRecord, epoch: number): number {
  return epoch + worker.tokenRaiseCount
}

/**
 * Raises the fencing token for a worker when its process may have been replaced, or when a start and its stops got no
 * response for too long. The worker then executes no earlier call any more, so a report to a call with the new token
 * settles the starts without a response.
 *
 * A call to an earlier process may be executed by any later one, which has seen no token and whose clock starts anew.
 * @param worker The worker, to which no report call is in flight.
 * @param now The monotonic time, at which the next report call is sent.
 * @returns The runs that the next report settles; none when the token was not raised.
 */
export function raiseFencingToken (worker: WorkerRecord, now: number): RunRecord[] {
  const unsettled = [...worker.runs.values()].filter(run => isUnsettledStart(run) && run.sentAt >= worker.tokenRaisedAt)
  const isOverdue = worker.syncState === 'synchronized' &&
    unsettled.some(run => now - run.sentAt >= UNSETTLED_START_LIMIT_MILLISECONDS)
  if (!isOverdue && !(worker.mayHaveRestarted && mayBeReplaced(worker, now))) return []
  worker.mayHaveRestarted = false
  if (worker.tokenRaiseCount >= EPOCH_STEP - 1) return []
  worker.tokenRaiseCount++
  worker.tokenRaisedAt = now
  return unsettled.filter(run => run.sentAt < now)
}

/**
 * Returns whether a worker whose calls have failed may have another process. Over a slow path the responses of the same
 * process arrive late, and stops on other connections would arrive after calls with a higher token.
 */
function mayBeReplaced (worker: WorkerRecord, now: number): boolean {
  return worker.hasProcessEnded || worker.syncState === 'unknown' || !hasSlowPath(worker, now)
}

/**
 * Marks the starts without a response as known to the worker that it refuses since it has seen a higher token, so that
 * they are over unless its report lists them.
 * @param worker The worker.
 * @param sentAt Monotonic time at which the call was sent to which the worker has responded.
 */
export function settleFencedStarts (worker: WorkerRecord, sentAt: number): void {
  if (sentAt < worker.tokenRaisedAt) return
  for (const run of worker.runs.values()) {
    if (isUnsettledStart(run) && run.sentAt < worker.tokenRaisedAt) run.confirmedAt = run.sentAt
  }
}

/**
 * Replaces the refusal of an order whose fencing token this owner has raised since, which shows no newer owner.
 * @param outcome The outcome of the order.
 * @param token The token of the order.
 * @param currentToken The current token for the worker.
 * @returns The outcome, `not-sent` for a refusal of that kind.
 */
export function replaceOwnFence (outcome: OrderOutcome, token: number, currentToken: number): OrderOutcome {
  if (outcome.kind !== 'fenced' || token >= currentToken) return outcome
  return { kind: 'not-sent', reason: 'refused for a higher fencing token of this owner' }
}

/**
 * Returns whether a start had no response and neither a stop nor a report has settled it yet.
 * @param run The run.
 * @returns Whether its worker may still begin it.
 */
export function isUnsettledStart (run: RunRecord): boolean {
  return run.startUncertain && run.confirmedAt === null
}
