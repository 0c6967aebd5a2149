import { hasSlowPath, recordFailure, type OrderOutcome, type WorkerRecord } from '../dispatch/index.js'
import type { Clock } from '../shared/Clock.js'
import { repeatCall } from '../shared/repeatCall.js'
import type { RepeatBudget } from '../shared/RepeatBudget.js'

/** Options of an order that is repeated while it gets no response. */
export interface RepeatedOrderOptions {
  worker: WorkerRecord
  clock: Clock
  /** The budget of the sends beside earlier ones. */
  repeats: RepeatBudget
  /** The number of sends one after another, of which each but the first follows when no earlier one is in flight. */
  serialSendLimit: number
  /** Whether the order is sent again after, or beside, sends that get no response although no connection breaks. */
  repeatsUnanswered: boolean
  /** Whether the order is sent beside earlier sends also while the responses of the worker arrive late. */
  repeatsOverSlowPath: boolean
  /** Sends the order once more; all sends are the same order. */
  send (): Promise<OrderOutcome>
  /** Returns whether the order may be sent again. */
  isNeeded (): boolean
  /** Called when the order is sent beside earlier sends, whose responses are overdue. */
  onOverdue (): void
  /** Called before each send after the first. */
  onRepeat (): void
}

/** The share of the budget that is left to renewals of leases, since a lost lease ends all runs of its worker. */
const KEPT_SHARE_FOR_RENEWALS = 0.5
/** The maximum number of sends of one order. */
const SEND_LIMIT = 12
/** An order is sent beside earlier sends for this time; a worker rejects starts that arrive after 1.8 s. */
const REPEAT_WINDOW_MILLISECONDS = 1000

/**
 * Sends an order to a worker, and sends it again while it gets no response: beside the earlier sends when the time is
 * over that responses of the worker usually take, and otherwise when they have timed out.
 *
 * Each lost send that is not made good within its time limit counts as a failure of the worker, except for the last
 * one: whoever applies the outcome counts that.
 * @param options The order, and when it may be repeated.
 * @returns The first response, or the outcome of the last send that ended.
 */
export function repeatOrder (options: RepeatedOrderOptions): Promise<OrderOutcome> {
  const { worker, clock, repeats, serialSendLimit, repeatsUnanswered, repeatsOverSlowPath } = options
  const { send, isNeeded, onOverdue, onRepeat } = options
  const firstSentAt = clock.monotonicMilliseconds()
  let inFlightCount = 0
  let sendCount = 0
  let failureAt = -Infinity
  let isFailureUncounted = false
  let isUnsendable = false
  let isUnanswered = false
  const sendOnce = async (): Promise<OrderOutcome> => {
    const sentAt = clock.monotonicMilliseconds()
    sendCount++
    if (sendCount > 1) onRepeat()
    if (isFailureUncounted) recordFailure(worker, sentAt)
    isFailureUncounted = false
    inFlightCount++
    try {
      const outcome = await send()
      if (outcome.kind === 'not-sent') isUnsendable = true
      if (outcome.kind === 'unknown' && outcome.isConnectionBroken !== true) isUnanswered = true
      // Sends that were in flight at the same time are lost together and count as one failure.
      if (outcome.kind === 'unknown' && sentAt >= failureAt) {
        failureAt = clock.monotonicMilliseconds()
        isFailureUncounted = true
      }
      return outcome
    } finally {
      inFlightCount--
    }
  }
  const mayRepeat = (): boolean => {
    if (isUnsendable || !isNeeded()) return false
    if (!repeatsUnanswered && (isUnanswered || inFlightCount > 0)) return false
    if (inFlightCount === 0) return sendCount < serialSendLimit
    const now = clock.monotonicMilliseconds()
    if (now - firstSentAt > REPEAT_WINDOW_MILLISECONDS) return false
    if (!repeatsOverSlowPath && hasSlowPath(worker, now)) return false
    if (!repeats.tryWithdraw(KEPT_SHARE_FOR_RENEWALS)) return false
    onOverdue()
    return true
  }
  return repeatCall({
    clock,
    send: sendOnce,
    // An order that was not sent says nothing about earlier sends, which may still get a response.
    isSettled: ({ kind }) => kind !== 'unknown' && (kind !== 'not-sent' || inFlightCount === 0),
    getDelayMilliseconds: () => worker.responseTime.milliseconds,
    mayRepeat,
    sendLimit: SEND_LIMIT
  })
}
