import type { CancelTimer, Clock } from '../shared/Clock.js'
import { RetryBudget } from './RetryBudget.js'
import { createUnclaimedOutcome, type RequestOutcome, type RoutedRequest } from './RequestOutcome.js'
import type { Slot, SlotAllocator, SlotDemand } from './SlotAllocator.js'
import { LEASE_GRACE_MILLISECONDS } from './SlotAllocator.js'
import {
  createRequestState, isRetrySafe, stepRequest, type RequestEffect, type RequestEvent, type RequestRules,
  type RequestState
} from './stepRequest.js'
import type { SubmissionClaims } from './SubmissionClaims.js'
import type { Attempt, AttemptResult } from './UpstreamClient.js'
import type { UpstreamHealthTracker } from './UpstreamHealthTracker.js'

/** What an attempt showed of its upstream, for membership. */
export type UpstreamObservation = 'answered' | 'connection-refused' | 'close-notice'

/** Options of the router. */
export interface RequestRouterOptions {
  clock: Clock
  allocator: SlotAllocator
  health: UpstreamHealthTracker
  claims: Pick<SubmissionClaims, 'claim'>
  /** Sends an attempt; returns a function that abandons it. */
  send: (attempt: Attempt, settle: (result: AttemptResult) => void) => () => void
  isKnownService: (service: string) => boolean
  onUpstreamObservation: (upstreamId: string, observation: UpstreamObservation) => void
  onAttempt: (result: AttemptResult['kind']) => void
  onRetry: (reason: 'retry' | 'hedge') => void
  onLateResponse: (requestId: string, outcome: RequestOutcome) => void
  /** Replaces the rule of retries; tests pass broken ones. */
  mayRetry?: RequestRules['mayRetry']
}

/** In a full outage every request fails; with this share, attempts stay below 1.1 times the requests. */
const RETRY_RATIO = 0.08
const RETRY_RESERVE = 5
const HEDGE_RATIO = 0.03
const HEDGE_RESERVE = 10
/** An attempt is late beyond this multiple of the typical latency of its kind. */
const LATE_LATENCY_MULTIPLE = 3.5
/** Shorter delays are within the jitter of timers and scheduling. */
const MINIMUM_LATE_MILLISECONDS = 10
const DEFAULT_TYPICAL_MILLISECONDS = 1
const REFUSED_SLOT_HOLD_MILLISECONDS = 5
/** Requests that start with less time left than this multiple of the typical latency were often answered late. */
const EXPECTED_LATENCY_MULTIPLE = 1.25
const DEFAULT_RESPONSE_BYTES = 4000
const HEADER_BYTES = 500
const RESPONSE_BYTES_WEIGHT = 0.05
/** Errors that show that nothing accepts connections at the address; a timeout may be a stall of this process. */
const REFUSED_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'])
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT'

/** Takes requests of callers through claims, slots, attempts and retries to their outcomes. */
export class RequestRouter {
  private readonly retryBudget = RetryBudget.create({ ratio: RETRY_RATIO, reserve: RETRY_RESERVE })
  private readonly hedgeBudget = RetryBudget.create({ ratio: HEDGE_RATIO, reserve: HEDGE_RESERVE })
  private readonly rules: RequestRules
  private typicalResponseBytes = DEFAULT_RESPONSE_BYTES

  private constructor (private readonly options: RequestRouterOptions) {
    this.rules = {
      mayRetry: options.mayRetry ?? isRetrySafe,
      withdrawRetry: () => this.retryBudget.tryWithdraw(),
      // A hedge is an extra attempt too, so it is paid from both budgets.
      withdrawHedge: () => this.hedgeBudget.tryWithdraw() && this.retryBudget.tryWithdraw()
    }
  }

  /**
   * Creates a router.
   * @param options The parts that the router uses.
   * @returns The router.
   */
  static create (options: RequestRouterOptions): RequestRouter {
    return new RequestRouter(options)
  }

  /**
   * Routes one request.
   * @param request The request.
   * @returns What to tell the caller; the promise never rejects.
   */
  async route (request: RoutedRequest): Promise<RequestOutcome> {
    if (!this.options.isKnownService(request.service)) {
      const detail = `no upstream serves ${request.service}`
      return request.idempotencyKey === null
        ? { kind: 'notRun', reason: 'unknown-service', detail }
        : createUnclaimedOutcome(detail)
    }
    if (request.idempotencyKey === null) return await this.run(request)
    const claim = await this.options.claims.claim(request)
    if (claim.kind === 'settled') return claim.outcome
    // The policy may allow repeats of the kind, but a key says that this work runs at most once.
    const outcome = await this.run({ ...request, mayRepeat: false }, claim.record)
    claim.record(outcome)
    return outcome
  }

  private run (request: RoutedRequest, recordLateResponse?: (outcome: RequestOutcome) => void): Promise<RequestOutcome> {
    this.retryBudget.deposit()
    this.hedgeBudget.deposit()
    return new Promise(resolve => {
      const execution = new RequestExecution(this, request, this.options, this.rules, resolve, recordLateResponse)
      execution.begin()
    })
  }

  /**
   * Describes what a request asks of the allocator.
   * @param request The request.
   * @param avoided Upstreams that failed it.
   * @returns The demand.
   */
  createDemand (request: RoutedRequest, avoided: string[]): SlotDemand {
    const { health, clock } = this.options
    const typical = health.getTypicalLatencyMilliseconds(request.kind, clock.monotonicMilliseconds())
    return {
      service: request.service,
      caller: request.caller,
      workClass: request.workClass,
      mayRepeat: request.mayRepeat,
      deadlineAt: request.deadlineAt,
      expectedMilliseconds: (typical ?? DEFAULT_TYPICAL_MILLISECONDS) * EXPECTED_LATENCY_MULTIPLE,
      avoided,
      linkBytes: (request.body?.length ?? 0) + HEADER_BYTES + this.typicalResponseBytes
    }
  }

  /**
   * Learns from the result of an attempt.
   * @param kind The kind of work.
   * @param upstreamId The upstream.
   * @param result The result.
   * @param milliseconds How long the attempt took.
   */
  recordAttemptResult (kind: string, upstreamId: string, result: AttemptResult, milliseconds: number): void {
    const { health, clock, onUpstreamObservation, onAttempt } = this.options
    const now = clock.monotonicMilliseconds()
    onAttempt(result.kind)
    if (result.kind === 'answered') {
      health.recordSample(upstreamId, { kind: 'answered', workKind: kind, milliseconds }, now)
      this.typicalResponseBytes += RESPONSE_BYTES_WEIGHT * (result.response.body.length + HEADER_BYTES - this.typicalResponseBytes)
      onUpstreamObservation(upstreamId, 'answered')
    } else if (result.kind === 'refused') {
      if (result.closing) onUpstreamObservation(upstreamId, 'close-notice')
    } else if (result.kind === 'not-sent') {
      if (result.reason === CONNECT_TIMEOUT_CODE) health.recordSample(upstreamId, { kind: 'failed' }, now)
      if (!REFUSED_CODES.has(result.reason)) return
      health.recordSample(upstreamId, { kind: 'refused-connection' }, now)
      onUpstreamObservation(upstreamId, 'connection-refused')
    } else {
      health.recordSample(upstreamId, { kind: 'failed' }, now)
    }
  }

  /**
   * Returns after what time an attempt counts as late.
   * @param kind The kind of work.
   * @returns Milliseconds, or null before anything is known of the kind.
   */
  getLateThresholdMilliseconds (kind: string): number | null {
    const { health, clock } = this.options
    const typical = health.getTypicalLatencyMilliseconds(kind, clock.monotonicMilliseconds())
    return typical === undefined ? null : Math.max(MINIMUM_LATE_MILLISECONDS, typical * LATE_LATENCY_MULTIPLE)
  }
}

/** Carries out the effects of one request. */
class RequestExecution {
  private readonly state: RequestState
  private readonly slots = new Map<number, Slot>()
  private readonly abortFunctions = new Map<number, () => void>()
  private grantedSlot: Slot | null = null
  private stopAcquiring: () => void = () => {}
  private cancelDeadlineTimer: CancelTimer = () => {}
  private cancelLateTimer: CancelTimer = () => {}

  constructor (
    private readonly router: RequestRouter,
    private readonly request: RoutedRequest,
    private readonly options: RequestRouterOptions,
    private readonly rules: RequestRules,
    private readonly resolveOutcome: (outcome: RequestOutcome) => void,
    private readonly recordLateResponse?: (outcome: RequestOutcome) => void
  ) {
    this.state = createRequestState(request.mayRepeat)
  }

  begin (): void {
    const remaining = this.request.deadlineAt - this.options.clock.monotonicMilliseconds()
    this.cancelDeadlineTimer = this.options.clock.setTimer(Math.max(0, remaining), () => this.endAtDeadline())
    this.step({ kind: 'begin' })
  }

  private step (event: RequestEvent): void {
    for (const effect of stepRequest(this.state, event, this.rules)) this.apply(effect)
  }

  private apply (effect: RequestEffect): void {
    switch (effect.kind) {
      case 'acquire': return this.acquire(effect.avoided)
      case 'acquire-hedge': return this.acquireHedge(effect.avoided)
      case 'send': return this.send(effect.attempt)
      case 'return-slot':
        this.grantedSlot?.release()
        this.grantedSlot = null
        return
      case 'stop-acquiring': return this.stopAcquiring()
      case 'tell': return this.finish(effect.outcome)
      case 'note-late-answer':
        this.options.onLateResponse(this.request.requestId, effect.outcome)
        this.recordLateResponse?.(effect.outcome)
    }
  }

  private acquire (avoided: string[]): void {
    if (this.state.attempts > 0) this.options.onRetry('retry')
    const demand = this.router.createDemand(this.request, avoided)
    this.stopAcquiring = this.options.allocator.acquire(demand, outcome => {
      if (outcome.kind === 'denied') return this.step({ kind: 'slot-denied', reason: outcome.reason, detail: outcome.detail })
      this.takeSlot(outcome.slot)
    })
  }

  private acquireHedge (avoided: string[]): void {
    const slot = this.options.allocator.tryTakeHomeSlot(this.router.createDemand(this.request, avoided))
    if (slot !== null && !avoided.includes(slot.site.upstreamId)) {
      this.options.onRetry('hedge')
      return this.takeSlot(slot)
    }
    slot?.release()
    this.step({ kind: 'slot-denied', reason: 'overloaded', detail: 'no slot for a hedge' })
  }

  private takeSlot (slot: Slot): void {
    this.grantedSlot = slot
    this.step({ kind: 'slot-granted', upstreamId: slot.site.upstreamId })
  }

  private send (attempt: number): void {
    const slot = this.grantedSlot
    if (slot === null) throw new Error('an attempt is sent without a slot')
    this.grantedSlot = null
    this.slots.set(attempt, slot)
    const { clock, send } = this.options
    const { requestId, method, path, headers, body, kind } = this.request
    const sentAt = clock.monotonicMilliseconds()
    const settle = (result: AttemptResult) => {
      this.router.recordAttemptResult(kind, slot.site.upstreamId, result, clock.monotonicMilliseconds() - sentAt)
      this.slots.delete(attempt)
      this.abortFunctions.delete(attempt)
      this.step({ kind: 'attempt-ended', attempt, result })
      // An upstream that refuses has not yet noticed the end of an earlier request; its slot stays taken meanwhile.
      if (result.kind === 'refused') clock.setTimer(REFUSED_SLOT_HOLD_MILLISECONDS, () => slot.release())
      else slot.release()
    }
    const abort = send(
      { address: slot.site.address, attemptId: `${requestId}.${attempt}`, method, path, headers, body }, settle)
    if (this.slots.has(attempt)) this.abortFunctions.set(attempt, abort)
    const late = this.router.getLateThresholdMilliseconds(kind)
    if (late !== null) {
      this.cancelLateTimer()
      this.cancelLateTimer = clock.setTimer(late, () => this.handleLateAttempts(sentAt))
    }
  }

  private handleLateAttempts (sentAt: number): void {
    const now = this.options.clock.monotonicMilliseconds()
    const sample = { kind: 'late', workKind: this.request.kind, milliseconds: now - sentAt } as const
    for (const slot of this.slots.values()) this.options.health.recordSample(slot.site.upstreamId, sample, now)
    this.step({ kind: 'hedge-due' })
  }

  private endAtDeadline (): void {
    this.step({ kind: 'deadline' })
  }

  private finish (outcome: RequestOutcome): void {
    this.cancelDeadlineTimer()
    this.cancelLateTimer()
    this.resolveOutcome(outcome)
    if (this.slots.size === 0) return
    // An abandoned attempt keeps its slot for a while: the upstream is still at work on it.
    this.options.clock.setTimer(LEASE_GRACE_MILLISECONDS / 2, () => {
      for (const abort of this.abortFunctions.values()) abort()
    })
  }
}
