import { ConcurrencyLimit } from '../routing/ConcurrencyLimit.js'

/** Stops come first, as they free room and bound how long cancelled tasks run; paces can wait. */
const PRIORITIES = ['stop', 'start', 'pace'] as const

/** The kinds of orders, the first one sent first. */
export type OrderPriority = typeof PRIORITIES[number]

/** Options of a gate. */
export interface OrderLimiterOptions {
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
export class OrderLimiter {
  private readonly total: ConcurrencyLimit
  private readonly queues = new Map<string, WorkerQueue>()
  /** Lanes with waiting orders in the order of their turns. */
  private readonly readyQueues = new Set<WorkerQueue>()
  private waitingCount = 0

  private constructor (private readonly options: OrderLimiterOptions) {
    this.total = ConcurrencyLimit.create({ limit: options.totalLimit })
  }

  /**
   * Creates a gate with nothing in flight.
   * @param options The limits.
   * @returns The gate.
   */
  static create (options: OrderLimiterOptions): OrderLimiter {
    return new OrderLimiter(options)
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
    const lane = this.getQueue(request.workerId)
    this.waitingCount++
    return await new Promise(resolve => {
      const settle = (outcome: 'send' | 'withdrawn') => {
        this.waitingCount--
        resolve(outcome)
      }
      lane.waiting[request.priority].push({ isNeeded: request.isNeeded, settle })
      this.readyQueues.add(lane)
      this.admitWaiting()
    })
  }

  /**
   * Notes that an order is no longer in flight.
   * @param workerId The worker that it was sent to.
   */
  release (workerId: string): void {
    this.total.release()
    const lane = this.getQueue(workerId)
    lane.limit.release()
    if (countWaiting(lane) > 0) this.readyQueues.add(lane)
    this.removeIfIdle(lane)
    this.admitWaiting()
  }

  /** Withdraws all waiting orders that have lost their reason, for example when a worker gives no answer. */
  withdrawUnneeded (): void {
    for (const lane of this.queues.values()) {
      for (const priority of PRIORITIES) {
        lane.waiting[priority] = lane.waiting[priority].filter(order => {
          if (order.isNeeded()) return true
          order.settle('withdrawn')
          return false
        })
      }
    }
  }

  private admitWaiting (): void {
    for (const lane of this.readyQueues) {
      if (this.total.getUsed() >= this.total.getLimit()) return
      this.readyQueues.delete(lane)
      // A lane at its limit gets its next turn with a release.
      if (lane.limit.getUsed() >= lane.limit.getLimit()) continue
      const order = takeNextNeeded(lane)
      if (order === null) {
        this.removeIfIdle(lane)
        continue
      }
      lane.limit.tryAcquire()
      this.total.tryAcquire()
      if (countWaiting(lane) > 0) this.readyQueues.add(lane)
      order.settle('send')
    }
  }

  private removeIfIdle (lane: WorkerQueue): void {
    if (lane.limit.getUsed() === 0 && countWaiting(lane) === 0) this.queues.delete(lane.workerId)
  }

  private getQueue (workerId: string): WorkerQueue {
    const known = this.queues.get(workerId)
    if (known !== undefined) return known
    const lane: WorkerQueue = {
      workerId,
      limit: ConcurrencyLimit.create({ limit: this.options.perWorkerLimit }),
      waiting: { stop: [], start: [], pace: [] }
    }
    this.queues.set(workerId, lane)
    return lane
  }
}

function countWaiting (lane: WorkerQueue): number {
  return PRIORITIES.reduce((sum, priority) => sum + lane.waiting[priority].length, 0)
}

/** Takes the next order that still has a reason; those before it are withdrawn. */
function takeNextNeeded (lane: WorkerQueue): WaitingOrder | null {
  for (const priority of PRIORITIES) {
    for (let order = lane.waiting[priority].shift(); order !== undefined; order = lane.waiting[priority].shift()) {
      if (order.isNeeded()) return order
      order.settle('withdrawn')
    }
  }
  return null
}
