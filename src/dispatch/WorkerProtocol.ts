/** A run in the report of a worker. */
export interface ListedRun {
  taskName: string
  attempt: number
  checkpoint: string
  /** Progress in percent. */
  percent: number
  /** The tail latency in milliseconds of a serving task; the usage in thousandths of a processor of any other task. */
  usageFigure: number
}

/** The outcome of a run. */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The completion of a run, which a worker reports until it is acknowledged. */
export interface ListedCompletion {
  /** The sequence number among the completions of the worker's incarnation. */
  number: number
  taskName: string
  attempt: number
  end: RunOutcome
  checkpoint: string
}

/** A worker's report of its runs. */
export interface WorkerReport {
  /** The time on the worker's clock. */
  workerMilliseconds: number
  /** Identifies the incarnation of the worker's process; 0 when the worker does not report it. */
  bornAtMilliseconds: number
  running: ListedRun[]
  /** Completions that were not acknowledged yet, in ascending order of their numbers. */
  ended: ListedCompletion[]
}

/** A start order, as it is sent to a worker. */
export interface StartOrder {
  taskName: string
  attempt: number
  taskDescription: string
  checkpoint: string
  epoch: number
  /** The time on the worker's clock until which the run may continue without a renewal of the lease. */
  leaseDeadline: number
}

/** The outcome of an order. */
export type OrderOutcome =
  | { kind: 'accepted', workerMilliseconds: number | null }
  /** The worker has seen a higher fencing token, so this process is no longer the owner. */
  | { kind: 'fenced' }
  /** The worker never executes the order: `old` attempt, missed deadline, no free capacity, invalid request. */
  | { kind: 'rejected', reason: string }
  /** The worker did not execute the order because it is unhealthy or overloaded. */
  | { kind: 'unhealthy' }
  /** Another incarnation of the worker responded. */
  | { kind: 'replaced' }
  /**
   * The order was not sent, so the worker never executes it. That no connection could be opened is evidence about the
   * worker or the path to it; that the order expired in the queue of this process is none.
   */
  | { kind: 'not-sent', reason: string, hasConnectionFailed?: boolean }
  /**
   * The worker did not respond, so it may have executed the order or may still do so; a connection that has broken was
   * lost on its way rather than kept waiting.
   */
  | { kind: 'unknown', reason: string, isConnectionBroken?: boolean }

/** The outcome of a call that renews a worker's lease and reads its report. */
export type HoldOutcome =
  | { kind: 'reported', report: WorkerReport }
  | { kind: 'fenced' }
  | { kind: 'replaced' }
  /** The call was not sent, which is no evidence about the worker. */
  | { kind: 'not-sent', reason: string }
  /**
   * No response arrived in time; while it is awaited, it is still received and passed to the listener of the call. That
   * no connection could be opened is evidence that the process of the worker has ended.
   */
  | { kind: 'unknown', reason: string, isAwaited?: boolean, hasConnectionFailed?: boolean }

/** A call that acknowledges completions, renews the lease of a worker and reads its report. */
export interface HoldRequest {
  epoch: number
  /** The number up to which completions are acknowledged. */
  acknowledgedCompletion: number
  /** The new lease deadline on the worker's clock; null to leave the lease as it is. */
  leaseDeadline: number | null
  /** How long the worker may delay its response until a run ends (long polling). */
  waitMilliseconds: number
}

/** Receives the response to a report call that arrives after the call has timed out. */
export interface LateReportListener {
  /** How long after the call is sent its response is still received. */
  milliseconds: number
  onOutcome (outcome: HoldOutcome): void
}

/** The connections over which a stop is sent: those for orders, or the one over which the worker reports. */
export type StopConnection = 'orders' | 'reports'

/** Calls one worker. */
export interface WorkerClient {
  start (order: StartOrder): Promise<OrderOutcome>
  /** Stops a run; by default over the connections for orders. */
  stop (taskName: string, attempt: number, epoch: number, connection?: StopConnection): Promise<OrderOutcome>
  setPace (taskName: string, attempt: number, percent: number, epoch: number): Promise<OrderOutcome>
  hold (request: HoldRequest, lateReports?: LateReportListener): Promise<HoldOutcome>
  close (): void
}
