import type { HoldOutcome, HoldRequest, OrderOutcome, StartOrder, WorkerClient } from '../../src/dispatch/index.js'
import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { EmulatedProcessor } from './EmulatedProcessor.js'

/** What becomes of a call whose time is over while it waits for a connection, and the client that goes with it. */
export type ExpiredCalls =
  /**
   * It stays in the queue, and the connection that it is given is destroyed. Holds and orders share the connections,
   * time limits run from the queueing, and a call that was not sent is told as one without an answer.
   */
  | 'destroys-connection'
  /**
   * It is taken out of the queue and uses no connection. A hold has a connection of its own, time limits of answers run
   * from the sending, and what has arrived is read before a call is given up.
   */
  | 'leaves-queue'

/** Counts of one process over all its workers. */
export interface ConnectionCounts {
  opened: number
  expiredUnsent: number
  expiredSent: number
}

/** Options of the connections. */
export interface EmulatedConnectionsOptions {
  worker: WorkerClient
  processor: EmulatedProcessor
  /** The clock of the network, which goes on while the process works. */
  clock: Clock
  expiredCalls: ExpiredCalls
  counts: ConnectionCounts
  /** Whether the process still runs, so that what it has queued is sent. */
  isAlive: () => boolean
  /** How many jobs wait, which the plan after a report ranks. */
  countQueuedJobs: () => number
}

/** The connections that holds and orders share, or have for themselves, as in `platform/RunnerClient.ts`. */
const SHARED_CONNECTION_LIMIT = 3
const HOLD_CONNECTION_LIMIT = 1
const ORDER_CONNECTION_LIMIT = 2
/** The time limit of an order, as in `platform/RunnerClient.ts`. */
const ORDER_TIMEOUT_MILLISECONDS = 350
/** What a hold may take beyond its wait, as in `platform/RunnerClient.ts`. */
const HOLD_MARGIN_MILLISECONDS = 600
/** Assumed: opening a connection within a region takes as long as a call. */
const ROUND_TRIP_MILLISECONDS = 2

const TIMED_OUT = { kind: 'unknown', reason: 'timeout' } as const
const NOT_SENT = { kind: 'not-sent', reason: 'queue-timeout' } as const

interface Connection {
  state: 'closed' | 'opening' | 'open'
  call: QueuedCall | null
}

/** Calls that wait for the same connections. */
interface ConnectionPool {
  limit: number
  connections: Connection[]
  queue: QueuedCall[]
}

interface QueuedCall {
  pool: ConnectionPool
  timeoutMilliseconds: number
  perform: () => Promise<unknown>
  settle: (outcome: unknown) => void
  cancelTimer: CancelTimer
  isExpired: boolean
  isSettled: boolean
  connection: Connection | null
  isSent: boolean
}

/** The connections of one process to one worker, with calls that wait for a free one. */
export class EmulatedConnections implements WorkerClient {
  private readonly holdPool: ConnectionPool
  private readonly orderPool: ConnectionPool
  private closed = false

  private constructor (private readonly options: EmulatedConnectionsOptions) {
    const shares = options.expiredCalls === 'destroys-connection'
    this.orderPool = createPool(shares ? SHARED_CONNECTION_LIMIT : ORDER_CONNECTION_LIMIT)
    this.holdPool = shares ? this.orderPool : createPool(HOLD_CONNECTION_LIMIT)
  }

  /**
   * Creates connections that are opened when they are needed.
   * @param options The worker, the process, and what becomes of expired calls.
   * @returns The connections.
   */
  static create (options: EmulatedConnectionsOptions): EmulatedConnections {
    return new EmulatedConnections(options)
  }

  async start (order: StartOrder): Promise<OrderOutcome> {
    return await this.order(() => this.options.worker.start(order))
  }

  async stop (taskName: string, attempt: number, epoch: number): Promise<OrderOutcome> {
    return await this.order(() => this.options.worker.stop(taskName, attempt, epoch))
  }

  async setPace (taskName: string, attempt: number, percent: number, epoch: number): Promise<OrderOutcome> {
    return await this.order(() => this.options.worker.setPace(taskName, attempt, percent, epoch))
  }

  async hold (request: HoldRequest): Promise<HoldOutcome> {
    const timeout = request.waitMilliseconds + HOLD_MARGIN_MILLISECONDS
    const outcome = await this.call(this.holdPool, () => this.options.worker.hold(request), timeout)
    this.options.processor.charge('planned-job', this.options.countQueuedJobs())
    return outcome
  }

  close (): void {
    this.closed = true
    for (const pool of [this.holdPool, this.orderPool]) pool.queue = []
  }

  private async order (perform: () => Promise<OrderOutcome>): Promise<OrderOutcome> {
    return await this.call(this.orderPool, perform, ORDER_TIMEOUT_MILLISECONDS)
  }

  private call<Outcome> (pool: ConnectionPool, perform: () => Promise<Outcome>, timeoutMilliseconds: number): Promise<Outcome> {
    const { processor } = this.options
    return new Promise(resolve => {
      const call: QueuedCall = {
        pool,
        timeoutMilliseconds,
        perform,
        settle: outcome => resolve(outcome as Outcome),
        cancelTimer: processor.clock.setTimer(timeoutMilliseconds, () => this.expire(call)),
        isExpired: false,
        isSettled: false,
        connection: null,
        isSent: false
      }
      processor.charge('call')
      pool.queue.push(call)
      this.assignCalls(pool)
    })
  }

  private assignCalls (pool: ConnectionPool): void {
    while (pool.queue.length > 0 && !this.closed) {
      const connection = findFreeConnection(pool)
      if (connection === null) return
      const call = pool.queue.shift()!
      connection.call = call
      call.connection = connection
      if (connection.state === 'closed') this.open(connection)
      else if (connection.state === 'open') this.sendCall(connection)
    }
  }

  private open (connection: Connection): void {
    const { processor, clock, counts } = this.options
    connection.state = 'opening'
    counts.opened++
    processor.charge('connection')
    clock.setTimer(processor.getBusyMilliseconds() + ROUND_TRIP_MILLISECONDS, () => processor.handle('timer', () => {
      connection.state = 'open'
      if (connection.call !== null) this.sendCall(connection)
    }))
  }

  private sendCall (connection: Connection): void {
    const { processor, clock, isAlive, expiredCalls } = this.options
    const call = connection.call!
    if (call.isExpired) {
      this.releaseConnection(call, 'closed')
      return
    }
    call.isSent = true
    if (expiredCalls === 'leaves-queue') {
      call.cancelTimer()
      // What has arrived by the end of the time is handled first.
      call.cancelTimer = processor.clock.setTimer(call.timeoutMilliseconds, () => {
        processor.handle('timer', () => this.expire(call))
      })
    }
    clock.setTimer(processor.getBusyMilliseconds(), () => {
      if (!isAlive()) return
      call.perform().then(outcome => processor.handle('answer', () => {
        // The answer to an expired call arrives at a connection that was closed.
        if (call.isExpired) return
        call.cancelTimer()
        call.isSettled = true
        call.settle(outcome)
        this.releaseConnection(call, 'open')
      }))
    })
  }

  private expire (call: QueuedCall): void {
    const { counts, expiredCalls } = this.options
    if (call.isSettled) return
    call.isExpired = true
    if (call.isSent) {
      counts.expiredSent++
      this.releaseConnection(call, 'closed')
    } else {
      counts.expiredUnsent++
      if (expiredCalls === 'leaves-queue') this.removeUnsentCall(call)
    }
    call.settle(call.isSent || expiredCalls === 'destroys-connection' ? TIMED_OUT : NOT_SENT)
  }

  /** Takes a call back that was not sent; a connection that is being opened for it serves the next one. */
  private removeUnsentCall (call: QueuedCall): void {
    call.pool.queue = call.pool.queue.filter(other => other !== call)
    if (call.connection === null) return
    call.connection.call = null
    this.assignCalls(call.pool)
  }

  private releaseConnection (call: QueuedCall, state: 'closed' | 'open'): void {
    const connection = call.connection!
    connection.call = null
    connection.state = state
    this.assignCalls(call.pool)
  }
}

function createPool (limit: number): ConnectionPool {
  return { limit, connections: [], queue: [] }
}

function findFreeConnection (pool: ConnectionPool): Connection | null {
  const free = pool.connections.filter(connection => connection.call === null)
  const found = free.find(connection => connection.state === 'open') ?? free[0]
  if (found !== undefined || pool.connections.length === pool.limit) return found ?? null
  const added: Connection = { state: 'closed', call: null }
  pool.connections.push(added)
  return added
}
