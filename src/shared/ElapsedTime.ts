import type { Clock } from './Clock.js'

/** The time since a moment. A suspended machine may stop only one of its clocks, so the larger difference counts. */
export class ElapsedTime {
  private constructor (
    private readonly clock: Clock,
    /** The monotonic time of the moment. */
    readonly startedAt: number,
    private readonly startedAtWallTime: number
  ) {}

  /**
   * Starts at the present moment.
   * @param clock The clock of the process.
   * @returns The time since now.
   */
  static start (clock: Clock): ElapsedTime {
    return new ElapsedTime(clock, clock.monotonicMilliseconds(), clock.wallMilliseconds())
  }

  /** Returns the milliseconds since the moment. */
  getMilliseconds (): number {
    return Math.max(
      this.clock.monotonicMilliseconds() - this.startedAt, this.clock.wallMilliseconds() - this.startedAtWallTime)
  }
}
