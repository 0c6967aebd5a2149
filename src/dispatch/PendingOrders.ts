import type { RunRecord } from '../jobs/index.js'
import { isSent, type WorkerRecord } from './WorkerRecord.js'

/** What the owner has to send. */
export type DispatchOrder =
  | { kind: 'start', worker: WorkerRecord, run: RunRecord }
  | { kind: 'stop', worker: WorkerRecord, taskName: string, attempt: number, run: RunRecord | null }
  | { kind: 'pace', worker: WorkerRecord, run: RunRecord, percent: number }

/** The orders that were decided and not yet taken. */
export class PendingOrders {
  private orders: DispatchOrder[] = []

  private constructor () {}

  /**
   * Creates an empty book.
   * @returns The book.
   */
  static create (): PendingOrders {
    return new PendingOrders()
  }

  /** Returns and clears the orders. */
  take (): DispatchOrder[] {
    const { orders } = this
    this.orders = []
    return orders
  }

  /** Adds the start of a run. */
  start (worker: WorkerRecord, run: RunRecord): void {
    this.orders.push({ kind: 'start', worker, run })
  }

  /** Adds a change of the pace of a run. */
  pace (worker: WorkerRecord, run: RunRecord, percent: number): void {
    this.orders.push({ kind: 'pace', worker, run, percent })
  }

  /** Adds the stop of a run that belongs to no live job. */
  stopOrphaned (worker: WorkerRecord, taskName: string, attempt: number): void {
    this.orders.push({ kind: 'stop', worker, taskName, attempt, run: null })
  }

  /** Adds the stop of a run. */
  stop (worker: WorkerRecord, run: RunRecord): void {
    run.state = 'stopping'
    // Only an answer to this stop settles a start that got none.
    if (run.startUncertain) run.confirmedAt = null
    // A start that still waits to be sent is withdrawn; the worker knows nothing of it.
    if (isSent(run)) this.orders.push({ kind: 'stop', worker, taskName: run.task.name, attempt: run.attempt, run })
  }
}
