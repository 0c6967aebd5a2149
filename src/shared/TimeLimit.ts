import type { CancelTimer, Clock } from './Clock.js'

/** How a time limit learns the time and lets the process read what has arrived. */
export interface TimeLimitOptions {
  clock: Clock
  /** Runs the callback when the event loop has read what had arrived. */
  runAfterPendingReads (callback: () => void): CancelTimer
  /** Runs when the time is over; not after `cancel`. */
  onExpire (): void
}

/** A limit that passes only after the process has read what arrived within it, also when the event loop is late. */
export class TimeLimit {
  private deadline = 0
  /** When the timer runs; a limit that is extended leaves it in place. */
  private timerDueAt = Infinity
  private cancelTimer: CancelTimer | null = null

  private constructor (private readonly options: TimeLimitOptions) {}

  /**
   * Creates a limit that is not yet running.
   * @param options The clock and what to do at the end.
   * @returns The limit.
   */
  static create (options: TimeLimitOptions): TimeLimit {
    return new TimeLimit(options)
  }

  /**
   * Starts the limit, or starts it anew.
   * @param milliseconds How long it lasts from now.
   */
  start (milliseconds: number): void {
    this.deadline = this.options.clock.monotonicMilliseconds() + milliseconds
    if (this.timerDueAt <= this.deadline) return
    this.cancel()
    this.setTimer(milliseconds)
  }

  /** Ends the limit without effect. */
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
      // Timers of the machine have whole milliseconds.
      this.setTimer(Math.ceil(remainingMilliseconds))
    } else if (hasReadPendingInput) {
      this.cancel()
      this.options.onExpire()
    } else {
      this.cancelTimer = this.options.runAfterPendingReads(() => this.checkDeadline(true))
    }
  }
}
