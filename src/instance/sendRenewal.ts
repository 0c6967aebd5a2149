import type { HoldOutcome, HoldRequest, WorkerClient, WorkerRecord } from '../dispatch/index.js'
import type { Clock } from '../shared/Clock.js'
import { repeatCall } from '../shared/repeatCall.js'

/** Options of one renewal. */
export interface RenewalOptions {
  worker: WorkerRecord
  client: WorkerClient
  clock: Clock
  request: HoldRequest
  /** How long after each send its response is received. */
  lateMilliseconds: number
  /** The maximum number of sends. */
  sendLimit: number
  /** Whether the renewal is repeated also after its first send has failed before its response was overdue. */
  repeatsFailures: boolean
  /** Returns whether the call may be sent once more. */
  mayRepeat (): boolean
  /** Handles the response to a send that arrives after the outcome of the renewal. */
  onLateOutcome (late: LateOutcome): void
}

/** A response that arrives after the outcome of its renewal. */
export interface LateOutcome {
  outcome: HoldOutcome
  /** Monotonic time at which the send was made that has the response. */
  sentAt: number
  /** Whether the send itself had exceeded its time limit. */
  hasTimedOut: boolean
}

/** The outcome of a renewal. */
export interface RenewalResult {
  outcome: HoldOutcome
  /** Monotonic time at which the send was made that had the outcome. */
  sentAt: number
  /** Monotonic time until which a response to any of the sends may arrive; -Infinity when none is awaited. */
  awaitedUntil: number
}

/** A send, which is pending until it has an outcome. */
interface RenewalSend {
  index: number
  sentAt: number
  outcome: HoldOutcome | null
}

/** The time after a first send that failed before its response was overdue in which the renewal is repeated. */
const FAILURE_WINDOW_MILLISECONDS = 600
/** The time between sends that fail before their responses are overdue, as those to a process that has ended do. */
const FAILURE_DELAY_MILLISECONDS = 200
const SHORTEST_DELAY_MILLISECONDS = 100

/**
 * Sends a renewal, and repeats it without a wait beside the earlier sends while none of them has a response. It ends
 * with the first response, and at the latest when the first send has failed. If that fails before its response is
 * overdue, because its connection has failed, the renewal is repeated for a further time.
 * @param options The worker, the request and when it may be repeated.
 * @returns The outcome.
 */
export async function sendRenewal (options: RenewalOptions): Promise<RenewalResult> {
  const { worker, client, clock, request, lateMilliseconds, sendLimit, onLateOutcome } = options
  const sends: RenewalSend[] = []
  let isOver = false
  let failedAt: number | null = null
  const getDelayMilliseconds = () => Math.max(SHORTEST_DELAY_MILLISECONDS, worker.responseTime.milliseconds)
  const isWindowOver = () =>
    failedAt !== null && clock.monotonicMilliseconds() - failedAt >= FAILURE_WINDOW_MILLISECONDS
  const sendOnce = async (index: number): Promise<RenewalSend> => {
    const sentAt = clock.monotonicMilliseconds()
    const send: RenewalSend = { index, sentAt, outcome: null }
    sends.push(send)
    // A new incarnation of the worker, which numbers its ended runs from 1, may respond to a repeat.
    const sent = index === 0 ? request : { ...request, acknowledgedCompletion: 0, waitMilliseconds: 0 }
    const outcome = await client.hold(sent, {
      milliseconds: lateMilliseconds,
      onOutcome: late => onLateOutcome({ outcome: late, sentAt, hasTimedOut: true })
    })
    send.outcome = outcome
    const isOverdue = clock.monotonicMilliseconds() - sentAt >= sent.waitMilliseconds + getDelayMilliseconds()
    const mayRepeatFailure = options.repeatsFailures && !hasFailedToConnect(outcome)
    if (index === 0 && mayRepeatFailure && !isOverdue) failedAt = clock.monotonicMilliseconds()
    if (outcome.kind === 'reported' && sent.waitMilliseconds === 0) {
      worker.responseTime.record(clock.monotonicMilliseconds() - sentAt)
    }
    if (isOver && isResponse(outcome)) onLateOutcome({ outcome, sentAt, hasTimedOut: false })
    return send
  }
  const last = await repeatCall({
    clock,
    send: sendOnce,
    isSettled: ({ index, outcome }) =>
      isResponse(outcome) || hasFailedToConnect(outcome) || (failedAt === null ? index === 0 : isWindowOver()),
    getDelayMilliseconds: () => getDelayMilliseconds() + (sends.length === 0 ? request.waitMilliseconds : 0),
    getFailureDelayMilliseconds: () => FAILURE_DELAY_MILLISECONDS,
    mayRepeat: () => !isWindowOver() && options.mayRepeat(),
    sendLimit
  })
  isOver = true
  const awaited = sends.filter(isAwaited).map(({ sentAt }) => sentAt + lateMilliseconds)
  return { outcome: last.outcome!, sentAt: last.sentAt, awaitedUntil: Math.max(-Infinity, ...awaited) }
}

function isResponse (outcome: HoldOutcome | null): boolean {
  return outcome !== null && outcome.kind !== 'unknown' && outcome.kind !== 'not-sent'
}

/** Returns whether no connection could be opened, as to a process that has ended. */
function hasFailedToConnect (outcome: HoldOutcome | null): boolean {
  return outcome !== null && outcome.kind === 'unknown' && outcome.hasConnectionFailed === true
}

/** Returns whether a response to a send may still arrive. */
function isAwaited ({ outcome }: RenewalSend): boolean {
  return outcome === null || (outcome.kind === 'unknown' && outcome.isAwaited === true)
}
