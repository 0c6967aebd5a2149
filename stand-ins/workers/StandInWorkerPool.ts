import type { Clock } from '../../src/shared/Clock.js'
import type { WorkerDescription } from '../../src/placement/PlacementEngine.js'
import type { ObjectStore } from '../../src/table/TableService.js'
import type { ExchangeOutcome, WorkerClient, WorkerExchange } from '../../src/workers/WorkerProtocol.js'
import { createRandom } from '../shared/createRandom.js'
import { InterferenceModel } from './InterferenceModel.js'
import { RunLog } from './RunLog.js'
import { StandInWorker, type WorkerFault } from './StandInWorker.js'

/** Options of a pool. */
export interface StandInWorkerPoolOptions {
  workers: WorkerDescription[]
  clock: Clock
  seed: number
  objectStore: ObjectStore
  /** Interference penalties by `kind|other kind` that replace those derived from the seed. */
  penalties?: Record<string, number>
  usageLagMilliseconds?: number
  /** Time after which `exchange` gives up on a worker that does not respond, in milliseconds. */
  timeoutMilliseconds?: number
}

const DEFAULT_TIMEOUT_MILLISECONDS = 2000

/** Runs many workers in one process with a common run log; tests also use it as the client of the workers. */
export class StandInWorkerPool implements WorkerClient {
  readonly runLog = RunLog.create()
  private readonly workers = new Map<string, StandInWorker>()

  private constructor (private readonly options: StandInWorkerPoolOptions) {
    const { clock, seed, objectStore, penalties, usageLagMilliseconds } = options
    const model = InterferenceModel.create({ seed, penalties })
    const random = createRandom(seed)
    for (const description of options.workers) {
      this.workers.set(description.workerId, StandInWorker.create({
        description,
        clock,
        random,
        objectStore,
        model,
        runLog: this.runLog,
        ...(usageLagMilliseconds === undefined ? {} : { usageLagMilliseconds })
      }))
    }
  }

  /**
   * Creates the workers.
   * @param options The options of the pool.
   * @returns The pool.
   */
  static create (options: StandInWorkerPoolOptions): StandInWorkerPool {
    return new StandInWorkerPool(options)
  }

  /**
   * Looks up a worker.
   * @param workerId The ID of the worker.
   * @returns The worker, or undefined if the pool has none with this ID.
   */
  getWorker (workerId: string): StandInWorker | undefined {
    return this.workers.get(workerId)
  }

  /**
   * Switches a fault on or off.
   * @param workerId The ID of the worker.
   * @param fault The fault, or `none`.
   * @returns Whether the pool has a worker with this ID.
   */
  setFault (workerId: string, fault: WorkerFault): boolean {
    this.workers.get(workerId)?.setFault(fault)
    return this.workers.has(workerId)
  }

  async exchange (workerId: string, _address: string, exchange: WorkerExchange): Promise<ExchangeOutcome> {
    const worker = this.workers.get(workerId)
    if (worker === undefined) return { kind: 'not-sent', reason: 'no such worker' }
    const { clock, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS } = this.options
    return await new Promise(resolve => {
      const cancelTimer = clock.setTimer(timeoutMilliseconds, () => resolve({ kind: 'unknown', reason: 'timeout' }))
      worker.exchange(structuredClone(exchange)).then(answer => {
        cancelTimer()
        if (answer === null) resolve({ kind: 'unknown', reason: 'connection lost' })
        else resolve({ kind: 'answered', answer: structuredClone(answer) })
      })
    })
  }
}
