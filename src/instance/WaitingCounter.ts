import type { JobTable } from '../dispatch/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import { TASK_START_LIMIT_MILLISECONDS } from './ownerTimeLimits.js'

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

/**
 * A job must be counted within 5 s of its acceptance, and a response of the feed may lack rows that were stored up to
 * 1 s before its request.
 */
const READ_AGE_LIMIT_MILLISECONDS = 4000

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
   * @returns The number, or null when the ownership or the copy of the job table is too old for it.
   */
  count (queueName: string): number | null {
    const { jobs, epoch } = this.options
    const obstacle = this.getObstacle()
    const { waiting, started, ended } = jobs.countByProgress(queueName)
    this.counts.add({
      queue: queueName,
      waiting,
      obstacle,
      started,
      ended,
      jobs: jobs.liveCount,
      epoch,
      renewalAgeMilliseconds: getLoggedAge(this.options.getRenewalAge()),
      readAgeMilliseconds: getLoggedAge(this.options.getReadAge())
    })
    return obstacle === null ? waiting : null
  }

  /** Logs the counts that have not been logged yet. */
  stop (): void {
    this.counts.flush()
  }

  /** Returns why no count is given, null when one is. */
  private getObstacle (): string | null {
    if (this.options.getRenewalAge() >= TASK_START_LIMIT_MILLISECONDS) return 'renewal-too-old'
    return this.options.getReadAge() > READ_AGE_LIMIT_MILLISECONDS ? 'read-too-old' : null
  }
}

function getLoggedAge (milliseconds: number): number | null {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : null
}
