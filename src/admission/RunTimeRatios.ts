/** After this time, an ended run counts half. */
const HALF_LIFE_MILLISECONDS = 10_000
/** Bounds of a ratio: run times beyond them come from faults rather than from estimates. */
const LOWEST_RATIO = 0.5
const HIGHEST_RATIO = 8
/** The number of runs with which a ratio of 1 counts, so that a single run hardly changes it. */
const SMOOTHING_RUNS = 3

/** The decayed logarithms of the ratios of one queue and kind of room. */
interface RatioTotals {
  logarithms: number
  count: number
  updatedAt: number
}

/**
 * The ratios of run times to the estimates of submitters, learned from ended runs.
 *
 * Designed for queues whose submitters are wrong in the same direction, and for best-effort tasks, which slow down when
 * other tasks use their processors. The ratio of a queue is the mean of the logarithms of its recent runs, because a
 * few runs take more than ten times their estimate. It stays as it is while no run ends.
 */
export class RunTimeRatios {
  private readonly totals = new Map<string, RatioTotals>()

  private constructor () {}

  /**
   * Creates ratios without data.
   * @returns The ratios, which are 1.
   */
  static create (): RunTimeRatios {
    return new RunTimeRatios()
  }

  /**
   * Records a run that has completed its task.
   * @param queueName The queue of the job.
   * @param fills Whether the task is best-effort.
   * @param ratio The run time relative to the estimate; others than positive finite numbers are ignored.
   * @param now The monotonic time.
   */
  recordRun (queueName: string, fills: boolean, ratio: number, now: number): void {
    if (!(ratio > 0) || !Number.isFinite(ratio)) return
    const key = getKey(queueName, fills)
    const { logarithms, count, updatedAt } = this.totals.get(key) ?? { logarithms: 0, count: 0, updatedAt: now }
    const factor = 0.5 ** (Math.max(0, now - updatedAt) / HALF_LIFE_MILLISECONDS)
    this.totals.set(key, {
      logarithms: logarithms * factor + Math.log(limitRatio(ratio)), count: count * factor + 1, updatedAt: now
    })
  }

  /**
   * Returns the learned ratio of a queue.
   * @param queueName The queue.
   * @param fills Whether the tasks are best-effort.
   * @returns The ratio of run times to estimates, 1 without data.
   */
  getRunTimeRatio (queueName: string, fills: boolean): number {
    const totals = this.totals.get(getKey(queueName, fills))
    if (totals === undefined) return 1
    return limitRatio(Math.exp(totals.logarithms / (totals.count + SMOOTHING_RUNS)))
  }
}

function getKey (queueName: string, fills: boolean): string {
  return `${fills ? 'best-effort' : 'reserved'} ${queueName}`
}

function limitRatio (ratio: number): number {
  return Math.min(HIGHEST_RATIO, Math.max(LOWEST_RATIO, ratio))
}
