import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { InstanceMetrics } from './InstanceMetrics.js'

/** Options of a watch. */
export interface EventLoopDelayMonitorOptions {
  clock: Clock
  logger: Logger
  metrics: Pick<InstanceMetrics, 'loopDelaySeconds'>
}

/** A delay above this leaves an order less than half of its time limit of 350 ms. */
const LATE_THRESHOLD_MILLISECONDS = 175
/** Without such a delay for this long the loop counts as on time, so that a pair of lines covers a whole episode. */
const RECOVERY_MILLISECONDS = 2000

/** Counts how late periodic timers run, and logs the begin and end of each episode of delays. */
export class EventLoopDelayMonitor {
  private lateSince: number | null = null
  private lastLateAt = 0
  private longestMilliseconds = 0

  private constructor (private readonly options: EventLoopDelayMonitorOptions) {}

  /**
   * Creates a watch.
   * @param options The clock, and where delays are told.
   * @returns The watch.
   */
  static create (options: EventLoopDelayMonitorOptions): EventLoopDelayMonitor {
    return new EventLoopDelayMonitor(options)
  }

  /**
   * Notes that a timer ran.
   * @param dueAt Monotonic time at which it was due.
   */
  recordTick (dueAt: number): void {
    const { clock, logger, metrics } = this.options
    const now = clock.monotonicMilliseconds()
    const delay = Math.max(0, now - dueAt)
    metrics.loopDelaySeconds.observe(delay / 1000)
    if (delay >= LATE_THRESHOLD_MILLISECONDS) {
      this.longestMilliseconds = Math.max(this.longestMilliseconds, delay)
      this.lastLateAt = now
      if (this.lateSince !== null) return
      this.lateSince = now
      logger.warn('event loop is late', { delayMilliseconds: Math.round(delay) })
    } else if (this.lateSince !== null && now - this.lastLateAt >= RECOVERY_MILLISECONDS) {
      logger.info('event loop is on time again', {
        lateForMilliseconds: Math.round(this.lastLateAt - this.lateSince),
        longestDelayMilliseconds: Math.round(this.longestMilliseconds)
      })
      this.lateSince = null
      this.longestMilliseconds = 0
    }
  }
}
