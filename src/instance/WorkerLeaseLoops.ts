import { isListedAnew, type WorkerClient, type WorkerEntry, type WorkerRecord } from '../dispatch/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import { WorkerLeaseLoop, type WorkerLeaseLoopOptions } from './WorkerLeaseLoop.js'

/** Options of the loops of all workers. */
export interface WorkerLeaseLoopsOptions
  extends Omit<WorkerLeaseLoopOptions, 'worker' | 'client' | 'endedRuns'> {
  createWorkerClient (entry: WorkerEntry): WorkerClient
}

/** The lease loop of a worker, and the client with its address. */
interface FollowedWorker {
  worker: WorkerRecord
  loop: WorkerLeaseLoop
  client: WorkerClient
  address: string
  /** When the listed incarnation started, in Unix milliseconds; 0 when it is unknown. */
  bornAtMilliseconds: number
}

/** Runs one lease loop and keeps one client for each worker of the owner. */
export class WorkerLeaseLoops {
  private readonly followed = new Map<string, FollowedWorker>()

  private readonly endedRuns: BatchedLog

  private constructor (private readonly options: WorkerLeaseLoopsOptions) {
    this.endedRuns = BatchedLog.create({ ...options, message: 'ended runs applied' })
  }

  /**
   * Creates the loops of an owner that follows no worker yet.
   * @param options The engine and the callbacks of all loops.
   * @returns The loops.
   */
  static create (options: WorkerLeaseLoopsOptions): WorkerLeaseLoops {
    return new WorkerLeaseLoops(options)
  }

  /**
   * Starts the loop of a worker that is not followed yet, or calls it at the address of its present entry. A worker
   * that was removed and is listed again has another record, which the loop of the former one does not update.
   * @param worker The worker.
   * @param entry Its present entry, which may be that of an incarnation that has not reported yet.
   */
  follow (worker: WorkerRecord, entry: WorkerEntry = worker.entry): void {
    const { workerId } = entry
    if (this.followed.has(workerId) && this.followed.get(workerId)?.worker !== worker) this.stop(workerId)
    const followed = this.followed.get(workerId)
    if (followed === undefined) return this.start(worker)
    const hasRestarted = entry.bornAtMilliseconds > followed.bornAtMilliseconds && isListedAnew(worker, entry)
    if (hasRestarted || followed.address !== entry.address) this.replaceClient(followed, entry)
    if (hasRestarted) this.callNewProcess(followed, entry)
    followed.bornAtMilliseconds = entry.bornAtMilliseconds
  }

  /** Returns the client of a worker, or undefined when the worker is not followed. */
  getClient (workerId: string): WorkerClient | undefined {
    return this.followed.get(workerId)?.client
  }

  /** Returns the identifiers of the followed workers. */
  getWorkerIds (): string[] {
    return [...this.followed.keys()]
  }

  /** Stops the loop of a worker and closes its client. */
  stop (workerId: string): void {
    const followed = this.followed.get(workerId)
    this.followed.delete(workerId)
    followed?.loop.stop()
    followed?.client.close()
  }

  /** Stops all loops. */
  stopAll (): void {
    for (const workerId of this.getWorkerIds()) this.stop(workerId)
    this.endedRuns.flush()
  }

  private start (worker: WorkerRecord): void {
    const { createWorkerClient, ...loopOptions } = this.options
    const { workerId, address } = worker.entry
    const { bornAtMilliseconds } = worker.entry
    const followed = { worker, client: createWorkerClient(worker.entry), address, bornAtMilliseconds }
    const loop = WorkerLeaseLoop.create({
      ...loopOptions,
      endedRuns: this.endedRuns,
      worker,
      // Read for each call, because the client changes with the worker's address.
      get client () { return followed.client }
    })
    this.followed.set(workerId, Object.assign(followed, { loop }))
    loop.run()
  }

  /** Calls a new process at once: until then, it may execute calls that were sent to the earlier one. */
  private callNewProcess ({ loop, bornAtMilliseconds }: FollowedWorker, entry: WorkerEntry): void {
    this.options.logger.info('worker is listed with another process', {
      worker: entry.workerId, earlierBornAt: bornAtMilliseconds, bornAt: entry.bornAtMilliseconds
    })
    loop.callNow()
  }

  /** Calls a worker at its new address, or its new process; calls in flight to the former one end as failed. */
  private replaceClient (followed: FollowedWorker, entry: WorkerEntry): void {
    const { workerId, address } = entry
    if (address !== followed.address) {
      this.options.logger.info('worker has another address', { worker: workerId, from: followed.address, to: address })
    }
    followed.client.close()
    followed.client = this.options.createWorkerClient(entry)
    followed.address = address
  }
}
