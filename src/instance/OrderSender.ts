import {
  getEarliestWorkerTime, getFencingToken, isReached, isSent, isSentOnce, OrderGate, recordFailure, replaceOwnFence,
  type DispatchEngine, type DispatchOrder, type OrderOutcome, type OrderRequest, type WorkerClient, type WorkerRecord
} from '../dispatch/index.js'
import type { RunRecord } from '../jobs/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import type { RepeatBudget } from '../shared/RepeatBudget.js'
import type { InstanceMetrics } from './InstanceMetrics.js'
import { isStopAnswered } from './isStopAnswered.js'
import { repeatOrder } from './repeatOrder.js'

/** Options of a sender. */
export interface OrderSenderOptions {
  engine: DispatchEngine
  clock: Clock
  logger: Logger
  metrics: InstanceMetrics
  errors: ErrorBoundary
  /** The budget of orders that are sent again beside earlier sends. */
  repeats: RepeatBudget
  /** Returns whether this process may start tasks now. */
  mayStart (): boolean
  /** Stores the assignment of a run of a long-running task; resolves to whether it is durable. */
  storeAssignment (run: RunRecord): Promise<boolean>
  /** Called after a change that may allow another task to start. */
  onChange (): void
  onDeposed (reason: string): void
}

/** A worker's client has connections for two orders; further ones would queue there and could not be withdrawn. */
const ORDERS_PER_WORKER = 2
/** A process with a quarter of a core handles this many responses in a third of an order's time limit. */
const ORDERS_IN_FLIGHT = 32
/** As many as other orders, so that a wide gang and other starts get equal parts of what the process can send. */
const GANG_STARTS_IN_FLIGHT = 32
/** With answers after 24 ms, a worker so takes 350 members in the time in which a gang has to start. */
const GANG_STARTS_PER_WORKER = 4
/** How often the queued starts of gangs are checked, of which there may be a thousand. */
const GANG_CHECK_MILLISECONDS = 100
/** A start queued for longer is planned again from newer reports; orders in flight ahead take a third of this. */
const LONGEST_START_WAIT_MILLISECONDS = 1000
/** A worker rejects a start that arrives later than this, so a delayed order has no effect. */
const START_WINDOW_MILLISECONDS = 1800
/** A start without a response is sent this many times in turn, as one attempt, which a worker runs at most once. */
const START_SEND_LIMIT = 3
/** A stop without a response is sent in turn with pauses between, see `FIRST_STOP_RETRY_MILLISECONDS`. */
const STOP_SEND_LIMIT = 1
/** Delay before a stop without a response is sent again; it doubles with each retry. */
const FIRST_STOP_RETRY_MILLISECONDS = 300
/** Limit of that delay: the lease ends the run in any case, so late retries hold its capacity only this much longer. */
const LONGEST_STOP_RETRY_MILLISECONDS = 1200

type StopOrder = DispatchOrder & { kind: 'stop' }

/** The outcome of an order, or `withdrawn` when the order was no longer needed before it was sent. */
type SendOutcome = OrderOutcome | { kind: 'withdrawn' }

/** Sends the engine's orders to workers, a limited number at a time, and retries those with an unknown outcome. */
export class OrderSender {
  private readonly gate = OrderGate.create({ perWorkerLimit: ORDERS_PER_WORKER, totalLimit: ORDERS_IN_FLIGHT })
  /** Limits the starts of gangs, which wait as long as they can complete their gang and delay no other orders. */
  private readonly gangGate = OrderGate.create({
    perWorkerLimit: GANG_STARTS_PER_WORKER, totalLimit: GANG_STARTS_IN_FLIGHT
  })

  private gangsCheckedAt = -Infinity
  /** Called with the next report of a worker. */
  private readonly reportWaiters = new Map<WorkerRecord, Set<() => void>>()
  private stopped = false
  private storing = 0
  private readonly acceptedStarts: BatchedLog

  private constructor (private readonly options: OrderSenderOptions) {
    this.acceptedStarts = BatchedLog.create({ ...options, message: 'tasks started' })
  }

  /**
   * Creates a sender.
   * @param options The engine and the callbacks.
   * @returns The sender.
   */
  static create (options: OrderSenderOptions): OrderSender {
    return new OrderSender(options)
  }

  /** Stops sending orders; outcomes of calls in flight are ignored. */
  stop (): void {
    this.stopped = true
    this.acceptedStarts.flush()
    this.gate.withdrawUnneeded()
    this.gangGate.withdrawUnneeded()
  }

  /** The number of queued orders that delay further starts, see `OrderGate`. */
  get delayingCount (): number {
    return this.gate.countDelayingStarts()
  }

  /** The number of queued starts of gangs. */
  get queuedGangStartCount (): number {
    return this.gangGate.waiting
  }

  /** The number of starts whose assignments are being stored. */
  get storingCount (): number {
    return this.storing
  }

  /** Sends the stops again that could not be sent while a worker did not respond; called after each of its reports. */
  handleReport (worker: WorkerRecord): void {
    const waiting = this.reportWaiters.get(worker)
    this.reportWaiters.delete(worker)
    for (const resume of waiting ?? []) resume()
  }

  /** Withdraws queued orders that are no longer needed, which frees their reserved capacity at once. */
  withdrawUnneeded (): void {
    this.gate.withdrawUnneeded()
    const now = this.now()
    if (now - this.gangsCheckedAt < GANG_CHECK_MILLISECONDS) return
    this.gangsCheckedAt = now
    this.gangGate.withdrawUnneeded()
  }

  /**
   * Sends an order, with retries while its outcome is unknown, and reports the outcome to the engine. An unexpected
   * error costs this order only, so the promise never rejects.
   * @param order The order.
   * @param client The worker's client.
   */
  async send (order: DispatchOrder, client: WorkerClient): Promise<void> {
    const { errors } = this.options
    const isComplete = await errors.runAsync(`${order.kind}-order`, async () => await this.sendOrder(order, client))
    if (isComplete || this.stopped) return
    if (order.kind === 'start') errors.run('start-order', () => this.withdrawStart(order.worker, order.run))
    if (order.kind === 'pace') order.run.pacePercent = -1
    if (order.kind === 'stop') {
      await this.pause(LONGEST_STOP_RETRY_MILLISECONDS)
      await this.send(order, client)
    }
  }

  private async sendOrder (order: DispatchOrder, client: WorkerClient): Promise<void> {
    if (order.kind === 'start') return await this.sendStart(order.worker, order.run, client)
    if (order.kind === 'stop') return await this.sendStop(order, client)
    const { worker, run, percent } = order
    this.options.metrics.paceChanges.inc()
    const outcome = await this.sendWhenAdmitted({
      workerId: worker.entry.workerId,
      priority: 'pace',
      isNeeded: () => run.state === 'running' && run.pacePercent === percent && worker.syncState === 'synchronized'
    }, () => this.callWithToken(worker, token => client.setPace(run.task.name, run.attempt, percent, token)))
    // The worker may not have received the pace, so the next report leads to a new decision.
    if (outcome.kind !== 'accepted' && run.pacePercent === percent) run.pacePercent = -1
  }

  private async sendStart (worker: WorkerRecord, run: RunRecord, client: WorkerClient): Promise<void> {
    const orderedAt = this.now()
    const waitSeconds = (orderedAt - run.task.waitingSince) / 1000
    this.options.metrics.waitSeconds.observe(waitSeconds)
    if (run.task.step.specification.longRunning) {
      this.options.metrics.longRunningRestartSeconds.observe(waitSeconds)
      if (!await this.storeAssignment(run)) {
        if (!this.stopped) this.withdrawStart(worker, run)
        return
      }
    }
    const { gang } = run.task.step.specification
    const queuedAt = this.now()
    const isInTime = () => gang
      ? this.options.engine.gangs.attempts.mayComplete(run, this.now())
      : this.now() - queuedAt < LONGEST_START_WAIT_MILLISECONDS
    const request: OrderRequest = {
      workerId: worker.entry.workerId,
      priority: 'start',
      isNeeded: () => this.options.engine.isStartNeeded(worker, run) && this.options.mayStart() &&
        (isSent(run) || isInTime())
    }
    const outcome = await this.sendWhenAdmitted(request, async markOverdue => await repeatOrder({
      clock: this.options.clock,
      repeats: this.options.repeats,
      worker,
      onOverdue: markOverdue,
      serialSendLimit: START_SEND_LIMIT,
      repeatsUnanswered: !isSentOnce(run.task),
      repeatsOverSlowPath: false,
      send: async () => await this.callStart(worker, run, client),
      isNeeded: () => !this.stopped && this.mayRepeat(run) && request.isNeeded(),
      onRepeat: () => this.options.metrics.workerCallRepeats.inc({ call: 'start' })
    }), gang ? this.gangGate : this.gate)
    if (this.stopped) return
    // A report that lists the run has settled its start.
    const isListed = run.state === 'running'
    if (run.openSendCount > 0 && !isListed) run.startUncertain = true
    const { engine, onDeposed } = this.options
    if (outcome.kind === 'fenced') return onDeposed('a worker rejected a start with an old epoch')
    this.recordStart(run, outcome, orderedAt)
    if (outcome.kind === 'withdrawn') this.withdrawStart(worker, run)
    else if (!isListed || outcome.kind !== 'unknown') engine.applyStartOutcome(worker, run, outcome, this.now())
    this.options.onChange()
  }

  /** Returns whether a start whose connection has broken may be sent again; a later process may execute both. */
  private mayRepeat ({ task }: RunRecord): boolean {
    return !isSentOnce(task) || !this.options.engine.openStarts.expectsLateOrders(this.now())
  }

  /** Stores the assignment of a run, so that a successor knows where the run may be; returns whether it is durable. */
  private async storeAssignment (run: RunRecord): Promise<boolean> {
    this.storing++
    try {
      return await this.options.storeAssignment(run) && !this.stopped
    } finally {
      this.storing--
    }
  }

  private withdrawStart (worker: WorkerRecord, run: RunRecord): void {
    const { engine } = this.options
    if (!isSent(run)) return engine.withdrawRun(worker, run, this.now())
    // The worker may have executed an earlier send; a run whose outcome is known by now stays as it is.
    if (run.state === 'starting') {
      engine.applyStartOutcome(worker, run, { kind: 'unknown', reason: 'start withdrawn after it was sent' }, this.now())
    }
  }

  private async callStart (worker: WorkerRecord, run: RunRecord, client: WorkerClient): Promise<OrderOutcome> {
    const now = this.now()
    const workerTime = getEarliestWorkerTime(worker, now)
    if (workerTime === null) return { kind: 'not-sent', reason: 'worker clock unknown' }
    const { sentAt } = run
    run.sentAt = now
    run.openSendCount++
    if (run.task.step.specification.gang) this.options.engine.gangs.attempts.recordSend(run, now)
    if (run.startDeadline === Infinity) run.startDeadline = Math.floor(workerTime + START_WINDOW_MILLISECONDS)
    const leaseDeadline = run.startDeadline
    worker.leaseDeadline = Math.max(worker.leaseDeadline, leaseDeadline)
    const outcome = await this.callWithToken(worker, token => client.start({
      taskName: run.task.name,
      attempt: run.attempt,
      taskDescription: run.task.step.occurrence.job.submission.specification.taskDescription,
      checkpoint: run.task.checkpoint,
      epoch: token,
      leaseDeadline
    }))
    if (outcome.kind !== 'unknown') run.openSendCount--
    else if (outcome.isConnectionBroken !== true) run.isUnanswered = true
    // A later send keeps its own time.
    if (outcome.kind === 'not-sent' && run.sentAt === now) run.sentAt = sentAt
    return outcome
  }

  /** Counts a start and logs it: accepted ones together, withdrawn ones as `run lost`, and each other one by itself. */
  private recordStart (run: RunRecord, outcome: SendOutcome, orderedAt: number): void {
    const { metrics, logger, engine } = this.options
    metrics.starts.inc({ outcome: outcome.kind })
    if (outcome.kind === 'withdrawn') return
    metrics.startSeconds.observe((this.now() - orderedAt) / 1000)
    const { task, attempt, workerId } = run
    if (outcome.kind === 'accepted') {
      const checkpoint = task.checkpoint === '' ? '' : ' from a checkpoint'
      this.acceptedStarts.add(`${task.name}#${attempt} on ${workerId} epoch ${engine.epoch}${checkpoint}`)
      return
    }
    logger.info('task start', {
      task: task.name,
      attempt,
      worker: workerId,
      outcome: outcome.kind,
      epoch: engine.epoch,
      isResumed: task.checkpoint !== ''
    })
  }

  /** Sends a stop until the worker responds or the run is known to have ended. */
  private async sendStop (order: StopOrder, client: WorkerClient): Promise<void> {
    const { worker, taskName, attempt, run } = order
    const { engine, onDeposed } = this.options
    const isRunning = () => run === null ? worker.orphanedRuns.size > 0 : run.task.runs.includes(run)
    // Runs on an unresponsive worker end with its lease; stops sent to it would only delay other orders.
    const isNeeded = () => isRunning() && isReached(worker, this.now())
    let isAnswered = false
    const call = async (): Promise<OrderOutcome> => {
      const outcome = await this.callWithToken(worker, token => client.stop(taskName, attempt, token))
      isAnswered ||= isStopAnswered(outcome)
      if (run !== null && !isAnswered) run.isStopUnanswered = true
      return outcome
    }
    let retryMilliseconds = FIRST_STOP_RETRY_MILLISECONDS
    while (!this.stopped && isRunning()) {
      const outcome = await this.sendWhenAdmitted(
        { workerId: worker.entry.workerId, priority: 'stop', isNeeded },
        async markOverdue => await repeatOrder({
          clock: this.options.clock,
          repeats: this.options.repeats,
          worker,
          onOverdue: markOverdue,
          serialSendLimit: STOP_SEND_LIMIT,
          repeatsUnanswered: true,
          repeatsOverSlowPath: true,
          send: call,
          isNeeded: () => !this.stopped && isNeeded(),
          onRepeat: () => this.options.metrics.workerCallRepeats.inc({ call: 'stop' })
        }))
      if (this.stopped) return
      if (outcome.kind === 'fenced') return onDeposed('a worker rejected a stop with an old epoch')
      if (isStopAnswered(outcome)) {
        if (run !== null) engine.applyStopOutcome(run, { kind: 'accepted', workerMilliseconds: null }, this.now())
        return
      }
      // Starts queue behind the stops to a worker, so its tasks should start elsewhere.
      if (isPathFailure(outcome)) recordFailure(worker, this.now())
      if (outcome.kind === 'withdrawn' || outcome.kind === 'not-sent') await this.pauseUntilReport(worker, retryMilliseconds)
      else await this.pause(retryMilliseconds)
      retryMilliseconds = Math.min(LONGEST_STOP_RETRY_MILLISECONDS, retryMilliseconds * 2)
    }
  }

  /** Makes a call with the current fencing token; a refusal for a higher token of this owner leads to another call. */
  private async callWithToken (
    worker: WorkerRecord, call: (token: number) => Promise<OrderOutcome>
  ): Promise<OrderOutcome> {
    const { epoch } = this.options.engine
    const token = getFencingToken(worker, epoch)
    const sentAt = this.now()
    const outcome = await call(token)
    if (outcome.kind !== 'unknown' && outcome.kind !== 'not-sent') worker.responseTime.record(this.now() - sentAt)
    return replaceOwnFence(outcome, token, getFencingToken(worker, epoch))
  }

  /** Queues a call and makes it when a gate admits it and it is still needed. */
  private async sendWhenAdmitted (
    request: OrderRequest, call: (markOverdue: () => void) => Promise<OrderOutcome>, gate = this.gate
  ): Promise<SendOutcome> {
    const { workerId, isNeeded } = request
    const admission = await gate.acquire({ ...request, isNeeded: () => !this.stopped && isNeeded() })
    if (admission === 'withdrawn') return { kind: 'withdrawn' }
    let isOverdue = false
    const markOverdue = () => {
      if (isOverdue) return
      isOverdue = true
      gate.markOverdue(workerId)
    }
    try {
      return await call(markOverdue)
    } finally {
      gate.release(workerId, isOverdue)
    }
  }

  /** Pauses until the next report of a worker, or for a time limit. */
  private async pauseUntilReport (worker: WorkerRecord, milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const waiters = this.reportWaiters.get(worker) ?? new Set()
      this.reportWaiters.set(worker, waiters)
      const resume = () => {
        cancelTimer()
        waiters.delete(resume)
        resolve()
      }
      const cancelTimer = this.options.clock.setTimer(milliseconds, resume)
      waiters.add(resume)
    })
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}

/** Returns whether an order got no response or no connection. */
function isPathFailure (outcome: SendOutcome): boolean {
  return outcome.kind === 'unknown' || (outcome.kind === 'not-sent' && outcome.hasConnectionFailed === true)
}
