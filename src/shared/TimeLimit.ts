import type { CancelTimer, Clock } from './Clock.js'

/** Options of a time limit. */
export interface TimeLimitOptions {
  clock: Clock
  /** Runs the callback after the event loop has read the data that has already arrived. */
  runAfterPendingReads (callback: () => void): CancelTimer
  /** Called when the limit expires; not called after `cancel`. */
  onExpire (): void
}

/**
 * A time limit that expires only after the process has read all data that arrived in time, so that a blocked event loop
 * doesn't turn a timely response into a timeout.
 */
export class TimeLimit {
  private deadline = 0
  /** When the current timer fires. Extending the limit keeps the timer, which then schedules the next one. */
  private timerDueAt = Infinity
  private cancelTimer: CancelTimer | null = null

  private constructor (private readonly options: TimeLimitOptions) {}

  /**
   * Creates a limit that is not yet running.
   * @param options The clock and the callbacks.
   * @returns The limit.
   */
  static create (options: TimeLimitOptions): TimeLimit {
    return new TimeLimit(options)
  }

  /**
   * Starts or restarts the limit.
   * @param milliseconds The time from now until the limit expires.
   */
  start (milliseconds: number): void {
    this.deadline = this.options.clock.monotonicMilliseconds() + milliseconds
    if (this.timerDueAt <= this.deadline) return
    this.cancel()
    this.setTimer(milliseconds)
  }

  /** Stops the limit, so that it doesn't expire. */
  cancel (): void {
    this.cancelTimer?.()
    this.cancelTimer = null
    this.timerDueAt = Infinity
  }

  private setTimer (milliseconds: number): void {
    this.timerDueAt = this.deadline
    this.cancelTimer = this.options.clock.setTimer(milliseconds, () => this.checkDeadline(false))
  }

  private checkDeadline (hasReadPendingInput: boolean): void {
    const remainingMilliseconds = this.deadline - this.options.clock.monotonicMilliseconds()
    if (remainingMilliseconds > 0) {
      // System timers have a resolution of one millisecond.
      this.setTimer(Math.ceil(remainingMilliseconds))
    } else if (hasReadPendingInput) {
      this.cancel()
      this.options.onExpire()
    } else {
      this.cancelTimer = this.options.runAfterPendingReads(() => this.checkDeadline(true))
    }
  }
}
