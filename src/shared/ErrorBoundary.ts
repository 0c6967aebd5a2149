import type { Clock } from './Clock.js'
import type { Logger } from './Logger.js'

/** Options of an error boundary. */
export interface ErrorBoundaryOptions {
  clock: Clock
  logger: Logger
  /** Called for each unexpected error, for example to count it. */
  onError (activity: string): void
}

/** One activity logs at most one error in this time, because a lasting fault may repeat with each call. */
const LOG_INTERVAL_MILLISECONDS = 1000

/**
 * Confines unexpected errors to the activity in which they occur.
 *
 * Expected failures are outcomes. An error that is thrown all the same must cost one activity, such as one order or one
 * row, and not the process, which serves many others.
 */
export class ErrorBoundary {
  private readonly lastLoggedAt = new Map<string, number>()
  private readonly suppressedCounts = new Map<string, number>()

  private constructor (private readonly options: ErrorBoundaryOptions) {}

  /**
   * Creates a boundary that has seen no error.
   * @param options The clock, the logger and the callback.
   * @returns The boundary.
   */
  static create (options: ErrorBoundaryOptions): ErrorBoundary {
    return new ErrorBoundary(options)
  }

  /**
   * Runs a function and reports an error that it throws.
   * @param activity The name of the activity in logs and metrics.
   * @param work The function.
   * @returns Whether the function completed.
   */
  run (activity: string, work: () => void): boolean {
    try {
      work()
      return true
    } catch (error) {
      this.report(activity, error)
      return false
    }
  }

  /**
   * Runs an asynchronous function and reports an error that it throws; the promise never rejects, so it may be ignored.
   * @param activity The name of the activity in logs and metrics.
   * @param work The function.
   * @returns Whether the function completed.
   */
  async runAsync (activity: string, work: () => Promise<unknown>): Promise<boolean> {
    try {
      await work()
      return true
    } catch (error) {
      this.report(activity, error)
      return false
    }
  }

  /**
   * Counts an unexpected error and logs it, unless the activity has logged one just before.
   * @param activity The name of the activity in logs and metrics.
   * @param error The error.
   */
  report (activity: string, error: unknown): void {
    const { clock, logger, onError } = this.options
    onError(activity)
    const now = clock.monotonicMilliseconds()
    const suppressed = this.suppressedCounts.get(activity) ?? 0
    if (now - (this.lastLoggedAt.get(activity) ?? -Infinity) < LOG_INTERVAL_MILLISECONDS) {
      this.suppressedCounts.set(activity, suppressed + 1)
      return
    }
    this.lastLoggedAt.set(activity, now)
    this.suppressedCounts.delete(activity)
    const { message, stack } = error instanceof Error ? error : new Error(String(error))
    logger.error('unexpected error', { activity, reason: message, stack: stack ?? '', suppressed })
  }
}
