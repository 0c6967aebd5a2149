import type { HoldOutcome, HoldRequest, OrderOutcome, StartOrder, WorkerClient } from '../../src/dispatch/index.js'
import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { EmulatedProcessor } from './EmulatedProcessor.js'

/** What becomes of a call whose time is over while it waits for a connection. */
export type ExpiredCalls =
  /** It stays in the queue, and the connection that it is given is destroyed. */
  | 'destroys-connection'
  /** It is taken out of the queue and uses no connection. */
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
  countWaitingJobs: () => number
}

/** One connection is usually kept by a hold, as in `platform/RunnerClient.ts`. */
const CONNECTION_LIMIT = 3
/** The time limit of an order, from its queueing, as in `platform/RunnerClient.ts`. */
const ORDER_TIMEOUT_MILLISECONDS = 350
/** What a hold may take beyond its wait, as in `platform/RunnerClient.ts`. */
const HOLD_MARGIN_MILLISECONDS = 600
/** Assumed: opening a connection within a region takes as long as a call. */
const ROUND_TRIP_MILLISECONDS = 2

const TIMED_OUT = { kind: 'unknown', reason: 'timeout' } as const
/** `RunnerClient` does not tell a call that was not sent from one without an answer. */
const NOT_SENT = { kind: 'unknown', reason: 'not sent' } as const

interface Connection {
  state: 'closed' | 'opening' | 'open'
  call: QueuedCall | null
}

interface QueuedCall {
  perform: () => Promise<unknown>
  settle: (outcome: unknown) => void
  cancelTimer: CancelTimer
  isExpired: boolean
  connection: Connection | null
  isSent: boolean
}

/** The connections of one process to one worker, with calls that wait for a free one. */
export class EmulatedConnections implements WorkerClient {
  private readonly connections: Connection[] = []
  private queue: QueuedCall[] = []
  private closed = false

  private constructor (private readonly options: EmulatedConnectionsOptions) {}

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
    const outcome = await this.call(() => this.options.worker.hold(request), timeout)
    this.options.processor.charge('planned-job', this.options.countWaitingJobs())
    return outcome
  }

  close (): void {
    this.closed = true
    this.queue = []
  }

  private async order (perform: () => Promise<OrderOutcome>): Promise<OrderOutcome> {
    return await this.call(perform, ORDER_TIMEOUT_MILLISECONDS)
  }

  private call<Outcome> (perform: () => Promise<Outcome>, timeout: number): Promise<Outcome> {
    const { processor } = this.options
    return new Promise(resolve => {
      const call: QueuedCall = {
        perform,
        settle: outcome => resolve(outcome as Outcome),
        cancelTimer: processor.clock.setTimer(timeout, () => this.expire(call)),
        isExpired: false,
        connection: null,
        isSent: false
      }
      processor.charge('call')
      this.queue.push(call)
      this.assignCalls()
    })
  }

  private assignCalls (): void {
    while (this.queue.length > 0 && !this.closed) {
      const connection = this.findFreeConnection()
      if (connection === null) return
      const call = this.queue.shift()!
      connection.call = call
      call.connection = connection
      if (connection.state === 'closed') this.open(connection)
      else if (connection.state === 'open') this.startCall(connection)
    }
  }

  private findFreeConnection (): Connection | null {
    const free = this.connections.filter(connection => connection.call === null)
    const found = free.find(connection => connection.state === 'open') ?? free[0]
    if (found !== undefined || this.connections.length === CONNECTION_LIMIT) return found ?? null
    const added: Connection = { state: 'closed', call: null }
    this.connections.push(added)
    return added
  }

  private open (connection: Connection): void {
    const { processor, clock, counts } = this.options
    connection.state = 'opening'
    counts.opened++
    processor.charge('connection')
    clock.setTimer(processor.getDelay() + ROUND_TRIP_MILLISECONDS, () => processor.handle('timer', () => {
      connection.state = 'open'
      if (connection.call !== null) this.startCall(connection)
    }))
  }

  private startCall (connection: Connection): void {
    const { processor, clock, isAlive } = this.options
    const call = connection.call!
    if (call.isExpired) {
      this.release(connection, 'closed')
      return
    }
    call.isSent = true
    clock.setTimer(processor.getDelay(), () => {
      if (!isAlive()) return
      call.perform().then(outcome => processor.handle('answer', () => {
        // The answer to an expired call arrives at a connection that was closed.
        if (call.isExpired) return
        call.cancelTimer()
        call.settle(outcome)
        this.release(connection, 'open')
      }))
    })
  }

  private expire (call: QueuedCall): void {
    const { counts, expiredCalls } = this.options
    call.isExpired = true
    if (call.isSent) {
      counts.expiredSent++
      this.release(call.connection!, 'closed')
    } else {
      counts.expiredUnsent++
      if (expiredCalls === 'leaves-queue') this.withdraw(call)
    }
    call.settle(call.isSent ? TIMED_OUT : NOT_SENT)
  }

  /** Takes a call back that was not sent; a connection that is being opened for it serves the next one. */
  private withdraw (call: QueuedCall): void {
    this.queue = this.queue.filter(other => other !== call)
    if (call.connection === null) return
    call.connection.call = null
    this.assignCalls()
  }

  private release (connection: Connection, state: 'closed' | 'open'): void {
    connection.call = null
    connection.state = state
    this.assignCalls()
  }
}
