import type { Clock } from '../shared/Clock.js'
import type { Logger } from '../shared/Logger.js'
import type { InstanceMetrics } from './InstanceMetrics.js'

/** Options of a monitor. */
export interface EventLoopDelayMonitorOptions {
  clock: Clock
  logger: Logger
  metrics: Pick<InstanceMetrics, 'loopDelaySeconds'>
}

/** A delay of this length leaves an order half of its time limit of 350 ms. */
const LATE_THRESHOLD_MILLISECONDS = 175
/** An episode of delays ends after this time without one, so that one pair of log lines covers the episode. */
const RECOVERY_MILLISECONDS = 2000

/** Measures how late a periodic timer runs, and logs the beginning and the end of each episode of delays. */
export class EventLoopDelayMonitor {
  private lateSince: number | null = null
  private lastLateAt = 0
  private longestMilliseconds = 0

  private constructor (private readonly options: EventLoopDelayMonitorOptions) {}

  /**
   * Creates a monitor.
   * @param options The clock, the logger and the metrics.
   * @returns The monitor.
   */
  static create (options: EventLoopDelayMonitorOptions): EventLoopDelayMonitor {
    return new EventLoopDelayMonitor(options)
  }

  /** Whether an episode of delays lasts, so that responses may wait to be read. */
  get isLate (): boolean {
    return this.lateSince !== null
  }

  /**
   * Records a run of the timer.
   * @param dueAt Monotonic time at which the run was due.
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
