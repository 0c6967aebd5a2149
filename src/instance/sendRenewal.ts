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

/**
 * Sends a renewal, and repeats it without a wait beside the earlier sends while none of them has a response. It ends
 * with the first response, and at the latest when the first send has failed.
 * @param options The worker, the request and when it may be repeated.
 * @returns The outcome.
 */
export async function sendRenewal (options: RenewalOptions): Promise<RenewalResult> {
  const { worker, client, clock, request, lateMilliseconds, sendLimit, mayRepeat, onLateOutcome } = options
  const sends: RenewalSend[] = []
  let isOver = false
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
    if (outcome.kind === 'reported' && sent.waitMilliseconds === 0) {
      worker.responseTime.record(clock.monotonicMilliseconds() - sentAt)
    }
    if (isOver && isResponse(outcome)) onLateOutcome({ outcome, sentAt, hasTimedOut: false })
    return send
  }
  const last = await repeatCall({
    clock,
    send: sendOnce,
    isSettled: ({ index, outcome }) => index === 0 || isResponse(outcome),
    getDelayMilliseconds: () =>
      Math.max(100, worker.responseTime.milliseconds) + (sends.length === 0 ? request.waitMilliseconds : 0),
    mayRepeat,
    sendLimit
  })
  isOver = true
  const awaited = sends.filter(isAwaited).map(({ sentAt }) => sentAt + lateMilliseconds)
  return { outcome: last.outcome!, sentAt: last.sentAt, awaitedUntil: Math.max(-Infinity, ...awaited) }
}

function isResponse (outcome: HoldOutcome | null): boolean {
  return outcome !== null && outcome.kind !== 'unknown' && outcome.kind !== 'not-sent'
}

/** Returns whether a response to a send may still arrive. */
function isAwaited ({ outcome }: RenewalSend): boolean {
  return outcome === null || (outcome.kind === 'unknown' && outcome.isAwaited === true)
}
