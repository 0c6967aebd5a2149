import type { JobTable } from '../dispatch/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'

/** Options of a counter. */
export interface WaitingCounterOptions {
  jobs: JobTable
  /** The epoch of the owner. */
  epoch: number
  clock: Clock
  logger: Logger
  /** Returns the milliseconds since the last successful renewal of the ownership. */
  getRenewalAge (): number
  /** Returns the milliseconds since the latest read of the job table whose rows have arrived was sent. */
  getReadAge (): number
}

/** Counts the waiting jobs of queues for callers and peers, and logs from which copy each count comes. */
export class WaitingCounter {
  private readonly counts: BatchedLog

  private constructor (private readonly options: WaitingCounterOptions) {
    this.counts = BatchedLog.create({ ...options, message: 'waiting jobs counted' })
  }

  /**
   * Creates a counter.
   * @param options The jobs, and the ages of the ownership and of the copy of the job table.
   * @returns The counter.
   */
  static create (options: WaitingCounterOptions): WaitingCounter {
    return new WaitingCounter(options)
  }

  /**
   * Counts the jobs of a queue that have not started yet.
   * @param queueName The queue.
   * @returns The number.
   */
  count (queueName: string): number {
    const { jobs, epoch } = this.options
    const { waiting, started, ended } = jobs.countByProgress(queueName)
    this.counts.add({
      queue: queueName,
      waiting,
      started,
      ended,
      jobs: jobs.liveCount,
      epoch,
      renewalAgeMilliseconds: getLoggedAge(this.options.getRenewalAge()),
      readAgeMilliseconds: getLoggedAge(this.options.getReadAge())
    })
    return waiting
  }

  /** Logs the counts that have not been logged yet. */
  stop (): void {
    this.counts.flush()
  }
}

function getLoggedAge (milliseconds: number): number | null {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : null
}
