import {
  getEarliestWorkerTime, isSent, OrderGate, type DispatchEngine, type DispatchOrder, type OrderOutcome,
  type OrderRequest, type WorkerClient, type WorkerRecord
} from '../dispatch/index.js'
import type { RunRecord } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { InstanceMetrics } from './InstanceMetrics.js'

/** Options of a sender. */
export interface OrderSenderOptions {
  engine: DispatchEngine
  clock: Clock
  logger: Logger
  metrics: InstanceMetrics
  /** Whether this process may start tasks now. */
  mayStart (): boolean
  /** Something changed that may let another task start. */
  onChange (): void
  onDeposed (reason: string): void
}

/** A worker's client has two connections for orders; more in flight would wait there and could not be withdrawn. */
const ORDERS_PER_WORKER = 2
/** The answers of this many orders take a process with a quarter of a core a third of an order's time limit. */
const ORDERS_IN_FLIGHT = 32
/** A start that waits longer is placed anew, on newer lists; the orders in flight before it take a third of this. */
const LONGEST_START_WAIT_MILLISECONDS = 1000
/** A start that arrives later than this is refused by the worker, so an order that was held up does no harm. */
const START_WINDOW_MILLISECONDS = 1800
/** A start without an answer is sent this often; it is the same attempt, which a worker runs at most once. */
const START_SEND_LIMIT = 3
/** A stop without an answer is repeated after this time, which doubles with each try. */
const FIRST_STOP_RETRY_MILLISECONDS = 300
/** A run without an answer to its stop is over with its lease, so slower retries cost at most this much of its room. */
const LONGEST_STOP_RETRY_MILLISECONDS = 1200

/** The outcome of an order, or that it lost its reason before its turn came. */
type SendOutcome = OrderOutcome | { kind: 'withdrawn' }

/** After these a worker may still run what was to be stopped. */
const UNSETTLED_STOP_OUTCOMES: ReadonlySet<SendOutcome['kind']> =
  new Set(['unknown', 'unhealthy', 'not-sent', 'withdrawn'] as const)

/** Sends the orders of an engine to workers, a few at a time, and repeats those whose outcome is not known. */
export class OrderSender {
  private readonly gate = OrderGate.create({ perWorkerLimit: ORDERS_PER_WORKER, totalLimit: ORDERS_IN_FLIGHT })
  private stopped = false

  private constructor (private readonly options: OrderSenderOptions) {}

  /**
   * Creates a sender.
   * @param options The engine and what follows from outcomes.
   * @returns The sender.
   */
  static create (options: OrderSenderOptions): OrderSender {
    return new OrderSender(options)
  }

  /** Sends nothing more; outcomes of calls in flight are ignored. */
  stop (): void {
    this.stopped = true
    this.gate.withdrawUnneeded()
  }

  /** The number of orders that wait to be sent. */
  get queuedCount (): number {
    return this.gate.waiting
  }

  /** Withdraws waiting orders that have lost their reason, so that their room is free at once. */
  withdrawUnneeded (): void {
    this.gate.withdrawUnneeded()
  }

  /**
   * Sends an order until its outcome is known, and tells the engine of it.
   * @param order The order.
   * @param client The worker's client.
   */
  async send (order: DispatchOrder, client: WorkerClient): Promise<void> {
    if (order.kind === 'start') return await this.sendStart(order.worker, order.run, client)
    if (order.kind === 'stop') return await this.sendStop(order, client)
    const { worker, run, percent } = order
    this.options.metrics.paceChanges.inc()
    const outcome = await this.sendWhenAdmitted({
      workerId: worker.entry.workerId,
      priority: 'pace',
      isNeeded: () => run.state === 'running' && run.pacePercent === percent && worker.syncState === 'synchronized'
    }, () => client.setPace(run.task.name, run.attempt, percent, this.options.engine.epoch))
    // A pace that may not have arrived is decided anew with the next report.
    if (outcome.kind !== 'accepted' && run.pacePercent === percent) run.pacePercent = -1
  }

  private async sendStart (worker: WorkerRecord, run: RunRecord, client: WorkerClient): Promise<void> {
    const orderedAt = this.now()
    this.options.metrics.waitSeconds.observe((orderedAt - run.task.waitingSince) / 1000)
    const request: OrderRequest = {
      workerId: worker.entry.workerId,
      priority: 'start',
      isNeeded: () => this.options.engine.isStartNeeded(worker, run) && this.options.mayStart() &&
        (isSent(run) || this.now() - orderedAt < LONGEST_START_WAIT_MILLISECONDS)
    }
    let outcome: SendOutcome = { kind: 'withdrawn' }
    for (let sendCount = 0; sendCount < START_SEND_LIMIT; sendCount++) {
      outcome = await this.sendWhenAdmitted(request, () => this.callStart(worker, run, client))
      if (outcome.kind !== 'unknown') break
      run.startUncertain = true
    }
    if (this.stopped) return
    if (outcome.kind === 'fenced') return this.options.onDeposed('a worker refused a start of this epoch')
    this.recordStart(run, outcome, orderedAt)
    if (outcome.kind === 'withdrawn') this.withdrawStart(worker, run)
    else this.options.engine.applyStartOutcome(worker, run, outcome, this.now())
    this.options.onChange()
  }

  private withdrawStart (worker: WorkerRecord, run: RunRecord): void {
    const { engine } = this.options
    if (!isSent(run)) return engine.withdrawRun(worker, run, this.now())
    // An earlier try may have been carried out; a run that was settled meanwhile is left alone.
    if (run.state === 'starting') {
      engine.applyStartOutcome(worker, run, { kind: 'unknown', reason: 'not repeated' }, this.now())
    }
  }

  private async callStart (worker: WorkerRecord, run: RunRecord, client: WorkerClient): Promise<OrderOutcome> {
    const now = this.now()
    const workerTime = getEarliestWorkerTime(worker, now)
    if (workerTime === null) return { kind: 'not-sent', reason: 'clock of the worker is not known' }
    const { sentAt } = run
    run.sentAt = now
    const leaseDeadline = Math.floor(workerTime + START_WINDOW_MILLISECONDS)
    worker.leaseDeadline = Math.max(worker.leaseDeadline, leaseDeadline)
    const outcome = await client.start({
      taskName: run.task.name,
      attempt: run.attempt,
      taskDescription: run.task.step.occurrence.job.submission.specification.taskDescription,
      checkpoint: run.task.checkpoint,
      epoch: this.options.engine.epoch,
      leaseDeadline
    })
    if (outcome.kind === 'not-sent') run.sentAt = sentAt
    return outcome
  }

  /** Counts a start; one that was withdrawn has no line, as `run lost` tells of it. */
  private recordStart (run: RunRecord, outcome: SendOutcome, orderedAt: number): void {
    const { metrics, logger, engine } = this.options
    metrics.starts.inc({ outcome: outcome.kind })
    if (outcome.kind === 'withdrawn') return
    metrics.startSeconds.observe((this.now() - orderedAt) / 1000)
    logger.info('task start', {
      task: run.task.name,
      attempt: run.attempt,
      worker: run.workerId,
      outcome: outcome.kind,
      epoch: engine.epoch,
      isResumed: run.task.checkpoint !== ''
    })
  }

  /** A stop is repeated until it is answered, or until its run is known to be over. */
  private async sendStop (order: DispatchOrder & { kind: 'stop' }, client: WorkerClient): Promise<void> {
    const { worker, taskName, attempt, run } = order
    const { engine, onDeposed } = this.options
    const isRunning = () => run === null ? worker.orphanedRuns.size > 0 : run.task.runs.includes(run)
    // What runs on a worker that gives no answer ends with its lease; stops to it would only hold up other orders.
    const isNeeded = () => isRunning() && worker.syncState === 'synchronized'
    let retryMilliseconds = FIRST_STOP_RETRY_MILLISECONDS
    while (!this.stopped && isRunning()) {
      const outcome = await this.sendWhenAdmitted(
        { workerId: worker.entry.workerId, priority: 'stop', isNeeded },
        () => client.stop(taskName, attempt, engine.epoch))
      if (this.stopped) return
      if (outcome.kind === 'fenced') return onDeposed('a worker refused a stop of this epoch')
      const isAnswered = !UNSETTLED_STOP_OUTCOMES.has(outcome.kind)
      if (isAnswered) {
        if (run !== null) engine.applyStopOutcome(run, { kind: 'accepted', workerMilliseconds: null }, this.now())
        return
      }
      await this.pause(retryMilliseconds)
      retryMilliseconds = Math.min(LONGEST_STOP_RETRY_MILLISECONDS, retryMilliseconds * 2)
    }
  }

  /** Makes a call when its turn comes and it still has a reason. */
  private async sendWhenAdmitted (request: OrderRequest, call: () => Promise<OrderOutcome>): Promise<SendOutcome> {
    const { workerId, isNeeded } = request
    const admission = await this.gate.acquire({ ...request, isNeeded: () => !this.stopped && isNeeded() })
    if (admission === 'withdrawn') return { kind: 'withdrawn' }
    try {
      return await call()
    } finally {
      this.gate.release(workerId)
    }
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
