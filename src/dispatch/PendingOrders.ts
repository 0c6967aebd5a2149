import type { RunRecord } from '../jobs/index.js'
import { isSent, type WorkerRecord } from './WorkerRecord.js'

/** An order that the shard owner has to send to a worker. */
export type DispatchOrder =
  | { kind: 'start', worker: WorkerRecord, run: RunRecord }
  | { kind: 'stop', worker: WorkerRecord, taskName: string, attempt: number, run: RunRecord | null }
  | { kind: 'pace', worker: WorkerRecord, run: RunRecord, percent: number }

/** The orders that the engine has decided and that were not taken for sending yet. */
export class PendingOrders {
  private orders: DispatchOrder[] = []

  private constructor () {}

  /**
   * Creates an empty collection of orders.
   * @returns The collection.
   */
  static create (): PendingOrders {
    return new PendingOrders()
  }

  /** Returns the orders and clears them. */
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

  /** Adds the stop of a run and marks the run as stopping. */
  stop (worker: WorkerRecord, run: RunRecord): void {
    run.state = 'stopping'
    worker.changeCount++
    // After a start without a response, only the response to this stop confirms the state of the run.
    if (run.startUncertain) run.confirmedAt = null
    // A start that is still queued for sending is withdrawn instead: the worker does not know of the run.
    if (isSent(run)) this.orders.push({ kind: 'stop', worker, taskName: run.task.name, attempt: run.attempt, run })
  }
}
