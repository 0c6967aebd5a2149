import { ConcurrencyLimit } from '../routing/ConcurrencyLimit.js'

/** Stops come first, as they free room and bound how long cancelled tasks run; paces can wait. */
const PRIORITIES = ['stop', 'start', 'pace'] as const

/** The kinds of orders, the first one sent first. */
export type OrderPriority = typeof PRIORITIES[number]

/** Options of a gate. */
export interface OrderGateOptions {
  /** The greatest number of orders in flight to one worker. */
  perWorkerLimit: number
  /** The greatest number of orders in flight to all workers. */
  totalLimit: number
}

/** An order that asks to be sent. */
export interface OrderRequest {
  workerId: string
  priority: OrderPriority
  /** Whether there still is a reason to send the order; asked when its turn comes. */
  isNeeded (): boolean
}

interface WaitingOrder {
  isNeeded (): boolean
  settle (outcome: 'send' | 'withdrawn'): void
}

interface WorkerQueue {
  workerId: string
  limit: ConcurrencyLimit
  waiting: Record<OrderPriority, WaitingOrder[]>
}

/**
 * Lets orders go out in turn, a few at a time to each worker and to all.
 *
 * Answers the load of a plan that decides more orders than the process can send within their time limits: those that
 * wait have cost nothing yet, and one that has lost its reason meanwhile is withdrawn without being sent.
 */
export class OrderGate {
  private readonly total: ConcurrencyLimit
  private readonly queues = new Map<string, WorkerQueue>()
  /** Lanes with waiting orders in the order of their turns. */
  private readonly readyQueues = new Set<WorkerQueue>()
  private waitingCount = 0

  private constructor (private readonly options: OrderGateOptions) {
    this.total = ConcurrencyLimit.create({ limit: options.totalLimit })
  }

  /**
   * Creates a gate with nothing in flight.
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

  /** The number of orders that wait for their turn. */
  get waiting (): number {
    return this.waitingCount
  }

  /**
   * Waits until an order may be sent.
   * @param request The order.
   * @returns `send` when it may be sent now, with one call of `release` afterwards; `withdrawn` when it must not be.
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
   * Notes that an order is no longer in flight.
   * @param workerId The worker that it was sent to.
   */
  release (workerId: string): void {
    this.total.release()
    const queue = this.getQueue(workerId)
    queue.limit.release()
    if (countWaiting(queue) > 0) this.readyQueues.add(queue)
    this.removeIfIdle(queue)
    this.admitWaiting()
  }

  /** Withdraws all waiting orders that have lost their reason, for example when a worker gives no answer. */
  withdrawUnneeded (): void {
    for (const queue of this.queues.values()) {
      for (const priority of PRIORITIES) {
        queue.waiting[priority] = queue.waiting[priority].filter(order => {
          if (order.isNeeded()) return true
          order.settle('withdrawn')
          return false
        })
      }
    }
  }

  private admitWaiting (): void {
    for (const queue of this.readyQueues) {
      if (this.total.getUsed() >= this.total.getLimit()) return
      this.readyQueues.delete(queue)
      // A lane at its limit gets its next turn with a release.
      if (queue.limit.getUsed() >= queue.limit.getLimit()) continue
      const order = takeNextNeeded(queue)
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

  private removeIfIdle (queue: WorkerQueue): void {
    if (queue.limit.getUsed() === 0 && countWaiting(queue) === 0) this.queues.delete(queue.workerId)
  }

  private getQueue (workerId: string): WorkerQueue {
    const existing = this.queues.get(workerId)
    if (existing !== undefined) return existing
    const queue: WorkerQueue = {
      workerId,
      limit: ConcurrencyLimit.create({ limit: this.options.perWorkerLimit }),
      waiting: { stop: [], start: [], pace: [] }
    }
    this.queues.set(workerId, queue)
    return queue
  }
}

function countWaiting (queue: WorkerQueue): number {
  return PRIORITIES.reduce((sum, priority) => sum + queue.waiting[priority].length, 0)
}

/** Takes the next order that still has a reason; those before it are withdrawn. */
function takeNextNeeded (queue: WorkerQueue): WaitingOrder | null {
  for (const priority of PRIORITIES) {
    for (let order = queue.waiting[priority].shift(); order !== undefined; order = queue.waiting[priority].shift()) {
      if (order.isNeeded()) return order
      order.settle('withdrawn')
    }
  }
  return null
}
