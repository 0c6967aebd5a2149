/** One run as a worker lists it. */
export interface ListedRun {
  taskName: string
  attempt: number
  checkpoint: string
  percent: number
  /** Tail latency in milliseconds of a serving task, processors in use (thousandths) of any other. */
  usageFigure: number
}

/** How a run ended. */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** One end as a worker lists it, until it is acknowledged. */
export interface ListedCompletion {
  number: number
  taskName: string
  attempt: number
  end: RunOutcome
  checkpoint: string
}

/** Everything that a worker tells of its runs. */
export interface WorkerReport {
  workerMilliseconds: number
  /** Identifies the life of the worker's process; 0 when it is not told. */
  bornAtMilliseconds: number
  running: ListedRun[]
  ended: ListedCompletion[]
}

/** An order to a worker, as it is sent. */
export interface StartOrder {
  taskName: string
  attempt: number
  taskDescription: string
  checkpoint: string
  epoch: number
  /** On the worker's clock. */
  leaseDeadline: number
}

/** What a worker answered to an order. */
export type OrderOutcome =
  | { kind: 'accepted', workerMilliseconds: number | null }
  /** A higher fencing token was used: this process is no longer the owner. */
  | { kind: 'fenced' }
  /** The worker has done nothing and will not: `old` attempts, missed deadlines, no room, a wrong request. */
  | { kind: 'rejected', reason: string }
  /** The worker has done nothing because it is unhealthy or overloaded. */
  | { kind: 'unhealthy' }
  /** Another incarnation answered. */
  | { kind: 'replaced' }
  /** The order was not sent, so the worker has not carried it out and will not. */
  | { kind: 'not-sent', reason: string }
  /** No answer: the order may have been carried out or may be later. */
  | { kind: 'unknown', reason: string }

/** The outcome of renewing a worker's lease and reading its lists. */
export type HoldOutcome =
  | { kind: 'reported', report: WorkerReport }
  | { kind: 'fenced' }
  | { kind: 'replaced' }
  /** The call was not sent, which tells nothing of the worker. */
  | { kind: 'not-sent', reason: string }
  | { kind: 'unknown', reason: string }

/** What to renew, and how long the answer may wait for an end. */
export interface HoldRequest {
  epoch: number
  acknowledgedCompletion: number
  /** On the worker's clock; null to read only. */
  leaseDeadline: number | null
  waitMilliseconds: number
}

/** The calls of one worker. */
export interface WorkerClient {
  start (order: StartOrder): Promise<OrderOutcome>
  stop (taskName: string, attempt: number, epoch: number): Promise<OrderOutcome>
  setPace (taskName: string, attempt: number, percent: number, epoch: number): Promise<OrderOutcome>
  hold (request: HoldRequest): Promise<HoldOutcome>
  close (): void
}
