import { ConcurrencyLimit } from '../routing/ConcurrencyLimit.js'

/** Stops go first, because they free capacity and bound the run time of cancelled tasks; pace changes go last. */
const PRIORITIES = ['stop', 'start', 'pace'] as const

/** The priority classes of orders, in the order of `PRIORITIES`. */
export type OrderPriority = typeof PRIORITIES[number]

/** Options of an order gate. */
export interface OrderGateOptions {
  /** The maximum number of orders in flight to one worker. */
  perWorkerLimit: number
  /** The maximum number of orders in flight to all workers. */
  totalLimit: number
}

/** A request to send an order. */
export interface OrderRequest {
  workerId: string
  priority: OrderPriority
  /** Returns whether the order should still be sent; called when it reaches the head of its queue. */
  isNeeded (): boolean
}

interface WaitingOrder {
  isNeeded (): boolean
  settle (outcome: 'send' | 'withdrawn'): void
}

interface WorkerQueue {
  workerId: string
  /** Limits the orders in flight whose responses are not overdue. */
  limit: ConcurrencyLimit
  /** The orders in flight whose responses are overdue; they count for further starts, and not for stops. */
  overdueCount: number
  waiting: Record<OrderPriority, WaitingOrder[]>
}

/**
 * Limits the orders in flight to each worker and in total, and queues the others by priority.
 *
 * Handles plans with more orders than the process can send within their time limits: a queued order has no cost yet,
 * and it is withdrawn without being sent when it is no longer needed.
 */
export class OrderGate {
  private readonly total: ConcurrencyLimit
  private readonly queues = new Map<string, WorkerQueue>()
  /** Queues with waiting orders, served round-robin. */
  private readonly readyQueues = new Set<WorkerQueue>()
  private waitingCount = 0

  private constructor (private readonly options: OrderGateOptions) {
    this.total = ConcurrencyLimit.create({ limit: options.totalLimit })
  }

  /**
   * Creates a gate without orders in flight.
   * @param options The limits.
   * @returns The gate.
   */
  static create (options: OrderGateOptions): OrderGate {
    return new OrderGate(options)
  }

  /** The number of orders in flight. */
  get inFlight (): number {
    return this.total.getUsed()
  }

  /** The number of queued orders. */
  get waiting (): number {
    return this.waitingCount
  }

  /**
   * Counts the queued orders that delay further starts: all starts, and other orders to workers below their own limit.
   * Those that wait for earlier orders to the same worker, which may not respond, delay no start on another one.
   * @returns The number of orders.
   */
  countDelayingStarts (): number {
    let count = 0
    for (const { limit, waiting } of this.queues.values()) {
      count += waiting.start.length
      if (limit.getUsed() < limit.getLimit()) count += waiting.stop.length + waiting.pace.length
    }
    return count
  }

  /**
   * Waits until an order may be sent.
   * @param request The order.
   * @returns `send` when the order may be sent and `release` must follow; `withdrawn` when it is no longer needed.
   */
  async acquire (request: OrderRequest): Promise<'send' | 'withdrawn'> {
    const queue = this.getQueue(request.workerId)
    this.waitingCount++
    return await new Promise(resolve => {
      const settle = (outcome: 'send' | 'withdrawn') => {
        this.waitingCount--
        resolve(outcome)
      }
      queue.waiting[request.priority].push({ isNeeded: request.isNeeded, settle })
      this.readyQueues.add(queue)
      this.admitWaiting()
    })
  }

  /**
   * Lets another order in for one whose response is overdue. The limits bound the responses that this process has to
   * handle soon, and an overdue one is likely to be lost. To the same worker only stops are let in.
   * @param workerId The worker to which the order was sent.
   */
  markOverdue (workerId: string): void {
    this.total.release()
    const queue = this.getQueue(workerId)
    queue.limit.release()
    queue.overdueCount++
    if (countWaiting(queue) > 0) this.readyQueues.add(queue)
    this.admitWaiting()
  }

  /**
   * Releases the permit of an order that is no longer in flight.
   * @param workerId The worker to which the order was sent.
   * @param isOverdue Whether `markOverdue` was called for the order; false by default.
   */
  release (workerId: string, isOverdue = false): void {
    const queue = this.getQueue(workerId)
    if (isOverdue) {
      queue.overdueCount--
    } else {
      this.total.release()
      queue.limit.release()
    }
    if (countWaiting(queue) > 0) this.readyQueues.add(queue)
    this.removeIfIdle(queue)
    this.admitWaiting()
  }

  /** Withdraws all queued orders that are no longer needed, for example when a worker does not respond. */
  withdrawUnneeded (): void {
    for (const queue of this.queues.values()) {
      for (const priority of PRIORITIES) {
        queue.waiting[priority] = queue.waiting[priority].filter(order => {
          if (order.isNeeded()) return true
          order.settle('withdrawn')
          return false
        })
      }
      this.removeIfIdle(queue)
    }
  }

  private admitWaiting (): void {
    for (const queue of this.readyQueues) {
      if (this.total.getUsed() >= this.total.getLimit()) return
      this.readyQueues.delete(queue)
      // A queue at its limit becomes ready again with the next release.
      if (queue.limit.getUsed() >= queue.limit.getLimit()) continue
      const order = takeNextNeeded(queue, this.getAdmittedPriorities(queue))
      if (order === null) {
        this.removeIfIdle(queue)
        continue
      }
      queue.limit.tryAcquire()
      this.total.tryAcquire()
      if (countWaiting(queue) > 0) this.readyQueues.add(queue)
      order.settle('send')
    }
  }

  /** Returns the priorities of the orders that may be sent to a worker below its limit. */
  private getAdmittedPriorities ({ limit, overdueCount }: WorkerQueue): readonly OrderPriority[] {
    return limit.getUsed() + overdueCount < limit.getLimit() ? PRIORITIES : ['stop']
  }

  /** Removes a queue from both collections, because a queue that is created later for the worker replaces it. */
  private removeIfIdle (queue: WorkerQueue): void {
    if (queue.limit.getUsed() + queue.overdueCount > 0 || countWaiting(queue) > 0) return
    this.queues.delete(queue.workerId)
    this.readyQueues.delete(queue)
  }

  private getQueue (workerId: string): WorkerQueue {
    const existing = this.queues.get(workerId)
    if (existing !== undefined) return existing
    const queue: WorkerQueue = {
      workerId,
      limit: ConcurrencyLimit.create({ limit: this.options.perWorkerLimit }),
      overdueCount: 0,
      waiting: { stop: [], start: [], pace: [] }
    }
    this.queues.set(workerId, queue)
    return queue
  }
}

function countWaiting (queue: WorkerQueue): number {
  return PRIORITIES.reduce((sum, priority) => sum + queue.waiting[priority].length, 0)
}

/** Removes and returns the next order that is still needed, and withdraws the unneeded ones before it. */
function takeNextNeeded (queue: WorkerQueue, priorities: readonly OrderPriority[]): WaitingOrder | null {
  for (const priority of priorities) {
    for (let order = queue.waiting[priority].shift(); order !== undefined; order = queue.waiting[priority].shift()) {
      if (order.isNeeded()) return order
      order.settle('withdrawn')
    }
  }
  return null
}
