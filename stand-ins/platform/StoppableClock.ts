import { SystemClock, type CancelTimer, type Clock } from '../../src/shared/Clock.js'

/** The clock of the system, whose timers end with the test that stops it. */
export class StoppableClock implements Clock {
  private readonly clock = SystemClock.create()
  private readonly cancels = new Set<CancelTimer>()
  private isStopped = false

  private constructor () {}

  /**
   * Creates a clock that runs.
   * @returns The clock.
   */
  static create (): StoppableClock {
    return new StoppableClock()
  }

  monotonicMilliseconds (): number {
    return this.clock.monotonicMilliseconds()
  }

  wallMilliseconds (): number {
    return this.clock.wallMilliseconds()
  }

  setTimer (delayMilliseconds: number, callback: () => void): CancelTimer {
    if (this.isStopped) return () => {}
    const cancel = this.clock.setTimer(delayMilliseconds, () => {
      this.cancels.delete(cancel)
      callback()
    })
    this.cancels.add(cancel)
    return () => {
      this.cancels.delete(cancel)
      cancel()
    }
  }

  /** Cancels all timers; later ones never run. */
  stop (): void {
    this.isStopped = true
    for (const cancel of this.cancels) cancel()
  }
}
