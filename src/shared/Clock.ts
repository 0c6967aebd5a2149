/** Cancels a timer; has no effect on a timer that has already fired. */
export type CancelTimer = () => void

/** The only source of time. Functions that make decisions receive the time as a parameter and never read a clock. */
export interface Clock {
  /** Returns a time in milliseconds that never decreases; the values of two processes are not comparable. */
  monotonicMilliseconds (): number
  /** Returns the wall-clock time in milliseconds since 1970, for records that people read. */
  wallMilliseconds (): number
  /** Runs the callback once after the delay. */
  setTimer (delayMilliseconds: number, callback: () => void): CancelTimer
}

/** The system clock of the machine. */
export class SystemClock implements Clock {
  private constructor () {}

  /**
   * Creates the clock.
   * @returns The clock.
   */
  static create (): SystemClock {
    return new SystemClock()
  }

  monotonicMilliseconds (): number {
    return performance.now()
  }

  wallMilliseconds (): number {
    return Date.now()
  }

  setTimer (delayMilliseconds: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, delayMilliseconds)
    return () => clearTimeout(timer)
  }
}
