import type {
  HoldOutcome, HoldRequest, LateReportListener, OrderOutcome, StartOrder, StopConnection, WorkerClient
} from '../../src/dispatch/index.js'
import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import { EmulatedOpenings } from './EmulatedOpenings.js'
import type { EmulatedProcessor } from './EmulatedProcessor.js'
import type { LossyPath, PathDirection } from './LossyPath.js'
import type { LossyStream } from './LossyStream.js'
import type { LinkRoute } from './RegionLink.js'
import type { WorkerPaths } from './WorkerPaths.js'

/** Selects the worker client to emulate by its handling of calls that time out while queued for a connection. */
export type ExpiredCalls =
  /**
   * A call that times out stays in the queue, and the connection that is assigned to it is destroyed. Holds and orders
   * share connections, time-outs start when a call is queued, and an unsent call is reported as unanswered.
   */
  | 'destroys-connection'
  /**
   * A call that times out is removed from the queue and uses no connection. Holds have a separate connection, the
   * time-out of a response starts when its call is sent, and responses that have arrived are read before calls expire.
   */
  | 'leaves-queue'

/** The calls to a worker. */
export type CallName = 'hold' | 'start' | 'stop' | 'set-pace'

/** Counters of connections and expired calls, over all workers. */
export interface ConnectionCounts {
  opened: number
  /** Calls that were sent. */
  calls: number
  expiredUnsent: number
  expiredSent: number
}

/** Options of the connections from one process to one worker. */
export interface EmulatedConnectionsOptions {
  worker: WorkerClient
  /** The network between the process and the worker. */
  paths: WorkerPaths
  /** The link between regions that the calls cross after the network; absent or null within a region. */
  route?: LinkRoute | null
  /** Called with the name of each call that ended without a response or was not sent in time. */
  onExpired?: (name: CallName) => void
  /** Identifies the process of the worker, null while none runs; a packet that is sent again reaches no later one. */
  getIncarnation: () => number | null
  processor: EmulatedProcessor
  /** The clock of the network, which advances while the processor is busy. */
  clock: Clock
  expiredCalls: ExpiredCalls
  counts: ConnectionCounts
  /** Returns whether the process still runs; queued calls of a dead process are not sent. */
  isAlive: () => boolean
  /** Called with the name of each task whose start is ordered, whether or not the order arrives. */
  onStart: (taskName: string) => void
  /** Returns the number of queued jobs, which the planning after each report ranks. */
  countQueuedJobs: () => number
}

/** Limits of shared and of separate connections for holds and orders, as in `platform/RunnerClient.ts`. */
const SHARED_CONNECTION_LIMIT = 3
const HOLD_CONNECTION_LIMIT = 6
const LATE_CONNECTION_LIMIT = 2
const ORDER_CONNECTION_LIMIT = 12
/** Time-out of an order, as in `platform/RunnerClient.ts`. */
const ORDER_TIMEOUT_MILLISECONDS = 350
/** How long the connection for reports is kept for the response to a stop, as in `platform/RunnerClient.ts`. */
const LATE_STOP_MILLISECONDS = 3000
/** Time that a hold may take in addition to its wait, as in `platform/RunnerClient.ts`. */
const HOLD_MARGIN_MILLISECONDS = 600
/** Time after which the opening of a connection is given up, as in `platform/RunnerClient.ts`. */
const CONNECT_TIMEOUT_MILLISECONDS = 300
/** How long one opening goes on after that, as in `platform/RunnerClient.ts`. */
const LATE_OPENING_MILLISECONDS = 2700
/** Opening a connection within a region takes as long as a call. */
const ROUND_TRIP_MILLISECONDS = 2
/** The bytes of a request, and of a response beside what it reports. */
const MESSAGE_BYTES = 400
/** The bytes of each packet by which a connection opens. */
const OPENING_BYTES = 60

const TIMED_OUT = { kind: 'unknown', reason: 'timeout' } as const
const AWAITED = { ...TIMED_OUT, isAwaited: true } as const
const NOT_SENT = { kind: 'not-sent', reason: 'queue-timeout' } as const
/** The outcomes of holds and of orders without a connection, as in `platform/RunnerClient.ts`. */
const HOLD_NOT_CONNECTED = { kind: 'unknown', reason: 'connect-timeout' } as const
const ORDER_NOT_CONNECTED = { kind: 'not-sent', reason: 'connect-timeout', hasConnectionFailed: true } as const

interface Connection {
  state: 'closed' | 'opening' | 'open'
  call: QueuedCall | null
  /** The stream since the connection was last opened. */
  stream: LossyStream | null
}

/** Connections with a common limit, and the calls that are queued for them. */
interface ConnectionPool {
  limit: number
  path: LossyPath
  openings: EmulatedOpenings
  /** The outcome of a call for which no connection was open in time. */
  notConnected: unknown
  /** The number of further connections that are kept for late responses. */
  lateCount: number
  connections: Connection[]
  queue: QueuedCall[]
}

interface QueuedCall {
  name: CallName
  pool: ConnectionPool
  timeoutMilliseconds: number
  perform: () => Promise<unknown>
  settle: (outcome: unknown) => void
  cancelTimer: CancelTimer
  isExpired: boolean
  /** Receives a response that arrives after the time-out, while the connection is kept for it. */
  lateReports: LateReportListener | undefined
  isSettled: boolean
  connection: Connection | null
  isSent: boolean
}

/** The connections of one process to one worker, with a queue of calls for free connections. */
export class EmulatedConnections implements WorkerClient {
  private readonly holdPool: ConnectionPool
  private readonly orderPool: ConnectionPool
  private closed = false

  private constructor (private readonly options: EmulatedConnectionsOptions) {
    const isShared = options.expiredCalls === 'destroys-connection'
    const { orders, holds } = options.paths
    const orderLimit = isShared ? SHARED_CONNECTION_LIMIT : ORDER_CONNECTION_LIMIT
    this.orderPool = this.createPool(orderLimit, orders, ORDER_NOT_CONNECTED)
    this.holdPool = isShared ? this.orderPool : this.createPool(HOLD_CONNECTION_LIMIT, holds, HOLD_NOT_CONNECTED)
  }

  /**
   * Creates a client that opens connections on demand.
   * @param options The worker, the process, and how expired calls are treated.
   * @returns The connections.
   */
  static create (options: EmulatedConnectionsOptions): EmulatedConnections {
    return new EmulatedConnections(options)
  }

  async start (order: StartOrder): Promise<OrderOutcome> {
    this.options.onStart(order.taskName)
    return await this.order('start', () => this.options.worker.start(order))
  }

  async stop (
    taskName: string, attempt: number, epoch: number, connection: StopConnection = 'orders'
  ): Promise<OrderOutcome> {
    const perform = () => this.options.worker.stop(taskName, attempt, epoch)
    if (connection === 'orders') return await this.order('stop', perform)
    const late = { milliseconds: LATE_STOP_MILLISECONDS, onOutcome: () => {} }
    return await this.call('stop', this.holdPool, perform, ORDER_TIMEOUT_MILLISECONDS, late)
  }

  async setPace (taskName: string, attempt: number, percent: number, epoch: number): Promise<OrderOutcome> {
    return await this.order('set-pace', () => this.options.worker.setPace(taskName, attempt, percent, epoch))
  }

  async hold (request: HoldRequest, lateReports?: LateReportListener): Promise<HoldOutcome> {
    const timeout = request.waitMilliseconds + HOLD_MARGIN_MILLISECONDS
    const perform = () => this.options.worker.hold(request)
    const outcome = await this.call('hold', this.holdPool, perform, timeout, lateReports)
    this.options.processor.charge('planned-job', this.options.countQueuedJobs())
    return outcome
  }

  close (): void {
    this.closed = true
    for (const pool of [this.holdPool, this.orderPool]) pool.queue = []
  }

  private async order (name: CallName, perform: () => Promise<OrderOutcome>): Promise<OrderOutcome> {
    return await this.call(name, this.orderPool, perform, ORDER_TIMEOUT_MILLISECONDS)
  }

  private call<Outcome> (
    name: CallName,
    pool: ConnectionPool,
    perform: () => Promise<Outcome>,
    timeoutMilliseconds: number,
    lateReports?: LateReportListener
  ): Promise<Outcome> {
    const { processor } = this.options
    return new Promise(resolve => {
      const call: QueuedCall = {
        name,
        pool,
        timeoutMilliseconds,
        perform,
        settle: outcome => resolve(outcome as Outcome),
        cancelTimer: processor.clock.setTimer(timeoutMilliseconds, () => this.expire(call)),
        isExpired: false,
        lateReports: this.options.expiredCalls === 'leaves-queue' ? lateReports : undefined,
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
      if (connection.state === 'closed') this.open(connection, pool)
      else if (connection.state === 'open') this.sendCall(connection)
    }
  }

  private open (connection: Connection, pool: ConnectionPool): void {
    connection.state = 'opening'
    pool.openings.open(isOpen => {
      if (isOpen) this.handleOpen(connection, pool)
      else this.handleOpeningTimeout(connection, pool)
    })
  }

  private handleOpen (connection: Connection, pool: ConnectionPool): void {
    connection.state = 'open'
    connection.stream = pool.path.createStream()
    if (connection.call !== null) this.sendCall(connection)
  }

  private handleOpeningTimeout (connection: Connection, pool: ConnectionPool): void {
    const { call } = connection
    connection.state = 'closed'
    connection.call = null
    if (call !== null) {
      call.cancelTimer()
      call.isSettled = true
      this.options.onExpired?.(call.name)
      call.settle(pool.notConnected)
    }
    this.assignCalls(pool)
  }

  private sendCall (connection: Connection): void {
    const { processor, clock, isAlive, expiredCalls, counts } = this.options
    const call = connection.call!
    if (call.isExpired) {
      this.releaseConnection(call, 'closed')
      return
    }
    call.isSent = true
    counts.calls++
    if (expiredCalls === 'leaves-queue') {
      call.cancelTimer()
      // Responses that have arrived by the time-out are handled first.
      call.cancelTimer = processor.clock.setTimer(call.timeoutMilliseconds, () => {
        processor.handle('timer', () => this.expire(call))
      })
    }
    const stream = connection.stream!
    clock.setTimer(processor.getBusyMilliseconds(), () => {
      if (!isAlive()) return
      this.sendSegment(stream, 'toWorker', null, () => {
        call.perform().then(outcome => {
          this.sendSegment(stream, 'fromWorker', outcome, () => this.receiveAnswer(call, outcome))
        })
      })
    })
  }

  /** Exchanges the packets by which a connection opens. */
  private crossLinkTwice (onOpen: () => void): void {
    const { route } = this.options
    if (route == null) onOpen()
    else route.requests.send(OPENING_BYTES, () => route.answers.send(OPENING_BYTES, onOpen))
  }

  /** Sends a segment, which is lost if the process of the worker ends before it arrives. */
  private sendSegment (stream: LossyStream, direction: PathDirection, content: unknown, deliver: () => void): void {
    const { route, getIncarnation } = this.options
    const incarnation = getIncarnation()
    const deliverIfRunning = () => { if (getIncarnation() === incarnation) deliver() }
    stream.send(direction, () => {
      if (route == null) return deliverIfRunning()
      const link = direction === 'toWorker' ? route.requests : route.answers
      link.send(MESSAGE_BYTES + JSON.stringify(content).length, deliverIfRunning)
    })
  }

  private receiveAnswer (call: QueuedCall, outcome: unknown): void {
    this.options.processor.handle('answer', () => {
      if (call.isExpired) return this.receiveLateAnswer(call, outcome)
      call.cancelTimer()
      call.isSettled = true
      call.settle(outcome)
      this.releaseConnection(call, 'open')
    })
  }

  /** Passes on a late response whose connection was kept; the response on a closed connection is discarded. */
  private receiveLateAnswer (call: QueuedCall, outcome: unknown): void {
    const { lateReports } = call
    if (lateReports === undefined) return
    call.cancelTimer()
    call.pool.lateCount--
    this.releaseConnection(call, 'open')
    lateReports.onOutcome(outcome as HoldOutcome)
  }

  private awaitLateAnswer (call: QueuedCall, { milliseconds }: LateReportListener): void {
    const remainingMilliseconds = Math.max(0, milliseconds - call.timeoutMilliseconds)
    call.pool.lateCount++
    call.cancelTimer = this.options.processor.clock.setTimer(remainingMilliseconds, () => {
      call.lateReports = undefined
      call.pool.lateCount--
      this.releaseConnection(call, 'closed')
    })
    call.settle(AWAITED)
    this.assignCalls(call.pool)
  }

  private expire (call: QueuedCall): void {
    const { counts, expiredCalls } = this.options
    if (call.isSettled) return
    call.isExpired = true
    this.options.onExpired?.(call.name)
    if (call.isSent) {
      counts.expiredSent++
      if (call.lateReports !== undefined && call.pool.lateCount < LATE_CONNECTION_LIMIT) {
        return this.awaitLateAnswer(call, call.lateReports)
      }
      call.lateReports = undefined
      this.releaseConnection(call, 'closed')
    } else {
      counts.expiredUnsent++
      if (expiredCalls === 'leaves-queue') this.removeUnsentCall(call)
    }
    call.settle(call.isSent || expiredCalls === 'destroys-connection' ? TIMED_OUT : NOT_SENT)
  }

  /** Removes an unsent call; a connection that is being opened for it is used by the next call. */
  private removeUnsentCall (call: QueuedCall): void {
    call.pool.queue = call.pool.queue.filter(other => other !== call)
    if (call.connection === null) return
    call.connection.call = null
    this.assignCalls(call.pool)
  }

  private createPool (limit: number, path: LossyPath, notConnected: unknown): ConnectionPool {
    const { processor, clock, expiredCalls, counts } = this.options
    const openings = EmulatedOpenings.create({
      processor,
      clock,
      limitMilliseconds: expiredCalls === 'leaves-queue' ? CONNECT_TIMEOUT_MILLISECONDS : Infinity,
      lateMilliseconds: LATE_OPENING_MILLISECONDS,
      isClosed: () => this.closed,
      connect: onOpen => {
        counts.opened++
        processor.charge('connection')
        let giveUp = clock.setTimer(processor.getBusyMilliseconds() + ROUND_TRIP_MILLISECONDS, () => {
          giveUp = path.open(() => this.crossLinkTwice(onOpen))
        })
        return () => giveUp()
      }
    })
    return { limit, path, openings, notConnected, lateCount: 0, connections: [], queue: [] }
  }

  private releaseConnection (call: QueuedCall, state: 'closed' | 'open'): void {
    const connection = call.connection!
    connection.call = null
    connection.state = state
    this.assignCalls(call.pool)
  }
}

function findFreeConnection (pool: ConnectionPool): Connection | null {
  const free = pool.connections.filter(connection => connection.call === null)
  const found = free.find(connection => connection.state === 'open') ?? free[0]
  if (found !== undefined || pool.connections.length - pool.lateCount >= pool.limit) return found ?? null
  const added: Connection = { state: 'closed', call: null, stream: null }
  pool.connections.push(added)
  return added
}
