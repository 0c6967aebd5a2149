import {
  getEarliestWorkerTime, type DispatchEngine, type DispatchOrder, type OrderOutcome, type WorkerClient,
  type WorkerRecord
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
  /** Something changed that may let another task start. */
  onChange (): void
  onDeposed (reason: string): void
}

/** A start that arrives later than this is refused by the worker, so an order that was held up does no harm. */
const START_WINDOW_MILLISECONDS = 1800
/** A start without an answer is sent this often; it is the same attempt, which a worker runs at most once. */
const START_TRIES = 3
const STOP_RETRY_MILLISECONDS = 300

/** Sends the orders of an engine to workers, and repeats those whose outcome is not known. */
export class OrderSender {
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
  }

  /**
   * Sends an order until its outcome is known, and tells the engine of it.
   * @param order The order.
   * @param client The worker's client.
   */
  async send (order: DispatchOrder, client: WorkerClient): Promise<void> {
    if (order.kind === 'start') return await this.sendStart(order.worker, order.run, client)
    if (order.kind === 'stop') return await this.sendStop(order, client)
    const { run, percent } = order
    this.options.metrics.paceChanges.inc()
    const outcome = await client.setPace(run.task.name, run.attempt, percent, this.options.engine.epoch)
    // A pace that may not have arrived is decided anew with the next report.
    if (outcome.kind !== 'accepted') run.pacePercent = -1
  }

  private async sendStart (worker: WorkerRecord, run: RunRecord, client: WorkerClient): Promise<void> {
    const { clock, metrics } = this.options
    const orderedAt = clock.monotonicMilliseconds()
    metrics.waitSeconds.observe((orderedAt - run.task.waitingSince) / 1000)
    let outcome: OrderOutcome = { kind: 'unknown', reason: 'not sent' }
    for (let attempt = 0; attempt < START_TRIES && outcome.kind === 'unknown'; attempt++) {
      // The run may be settled meanwhile by a list, by a stop, or by the end of the worker's lease.
      if (this.stopped || run.state !== 'starting' || !run.task.runs.includes(run)) return
      const now = clock.monotonicMilliseconds()
      const workerTime = getEarliestWorkerTime(worker, now)
      if (workerTime === null) break
      run.sentAt = now
      const leaseDeadline = Math.floor(workerTime + START_WINDOW_MILLISECONDS)
      worker.leaseDeadline = Math.max(worker.leaseDeadline, leaseDeadline)
      outcome = await client.start({
        taskName: run.task.name,
        attempt: run.attempt,
        taskDescription: run.task.step.occurrence.job.submission.specification.taskDescription,
        checkpoint: run.task.checkpoint,
        epoch: this.options.engine.epoch,
        leaseDeadline
      })
      if (outcome.kind === 'unknown') run.startUncertain = true
    }
    if (this.stopped) return
    if (outcome.kind === 'fenced') return this.options.onDeposed('a worker refused a start of this epoch')
    metrics.starts.inc({ outcome: outcome.kind })
    metrics.startSeconds.observe((clock.monotonicMilliseconds() - orderedAt) / 1000)
    this.options.logger.info('task start', {
      task: run.task.name,
      attempt: run.attempt,
      worker: run.workerId,
      outcome: outcome.kind,
      epoch: this.options.engine.epoch,
      isResumed: run.task.checkpoint !== ''
    })
    this.options.engine.applyStartOutcome(worker, run, outcome, clock.monotonicMilliseconds())
    this.options.onChange()
  }

  /** A stop is repeated until it is answered, or until its run is known to be over. */
  private async sendStop (order: DispatchOrder & { kind: 'stop' }, client: WorkerClient): Promise<void> {
    const { worker, taskName, attempt, run } = order
    while (!this.stopped) {
      const isOver = run === null
        ? worker.foreignRuns.size === 0
        : !run.task.runs.includes(run)
      if (isOver) return
      const outcome = await client.stop(taskName, attempt, this.options.engine.epoch)
      if (this.stopped) return
      if (outcome.kind === 'fenced') return this.options.onDeposed('a worker refused a stop of this epoch')
      if (outcome.kind !== 'unknown' && outcome.kind !== 'unhealthy') {
        if (run !== null) {
          this.options.engine.applyStopOutcome(run, { kind: 'accepted', workerMilliseconds: null }, this.now())
        }
        return
      }
      await this.pause(STOP_RETRY_MILLISECONDS)
    }
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
