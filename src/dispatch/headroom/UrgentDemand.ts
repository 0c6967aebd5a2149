import { isStepReady, type JobRecord, type StepRecord } from '../../jobs/index.js'

/** The time in which a peak that does not return falls to 37%, so that it counts for about 10 s. */
const DECAY_MILLISECONDS = 10_000
/** The share of the urgent tasks that must fit into a free piece. */
const PIECE_PERCENTILE = 0.9
/** A decayed peak below a tenth of a processor does not count. */
const SMALLEST_PEAK_MILLI = 100
/** The priority of urgent work, which is the highest one. */
const URGENT_PRIORITY = 0

/** Reserved resources of urgent tasks, and the size of the larger ones of these. */
export interface UrgentResources {
  processorsMilli: number
  memoryMegabytes: number
  /** The 90th percentile of the processors of a task. */
  pieceMilli: number
}

/**
 * The resources that urgent short tasks of one service need, as a decayed peak.
 *
 * Designed for urgent work that arrives in bursts: what it needed a moment ago it will need again.
 */
export class UrgentDemand {
  private peak: UrgentResources = { processorsMilli: 0, memoryMegabytes: 0, pieceMilli: 0 }
  private updatedAt = -Infinity
  /** What urgent runs reserve now. */
  readonly used = { processorsMilli: 0, memoryMegabytes: 0 }

  private constructor () {}

  /**
   * Creates a demand that has seen no urgent work.
   * @returns The demand.
   */
  static create (): UrgentDemand {
    return new UrgentDemand()
  }

  /**
   * Records the ready steps of urgent work that are not done.
   * @param steps The steps.
   * @param now The monotonic time.
   */
  update (steps: readonly StepRecord[], now: number): void {
    const factor = Math.exp((this.updatedAt - now) / DECAY_MILLISECONDS)
    this.updatedAt = now
    let [processorsMilli, memoryMegabytes] = [0, 0]
    this.used.processorsMilli = 0
    this.used.memoryMegabytes = 0
    for (const { specification, tasks } of steps) {
      processorsMilli += tasks.remainingCount * specification.processorsMilli
      memoryMegabytes += tasks.remainingCount * specification.memoryMegabytes
      this.used.processorsMilli += tasks.busyTaskCount * specification.processorsMilli
      this.used.memoryMegabytes += tasks.busyTaskCount * specification.memoryMegabytes
    }
    this.peak = {
      processorsMilli: Math.max(processorsMilli, this.peak.processorsMilli * factor),
      memoryMegabytes: Math.max(memoryMegabytes, this.peak.memoryMegabytes * factor),
      pieceMilli: Math.max(getPiece(steps), this.peak.pieceMilli * factor)
    }
  }

  /** The resources that must be free for urgent work beside those that it uses; null for none. */
  get missing (): UrgentResources | null {
    const { peak, used } = this
    const processorsMilli = peak.processorsMilli - used.processorsMilli
    if (peak.processorsMilli < SMALLEST_PEAK_MILLI || processorsMilli <= 0) return null
    const memoryMegabytes = Math.max(0, peak.memoryMegabytes - used.memoryMegabytes)
    return { processorsMilli, memoryMegabytes, pieceMilli: peak.pieceMilli }
  }
}

/**
 * Returns whether the tasks of a step are urgent: short tasks of the highest priority that reserve processors.
 * @param step The step.
 * @returns Whether they are.
 */
export function isUrgent ({ specification, occurrence }: StepRecord): boolean {
  return occurrence.job.submission.priority === URGENT_PRIORITY && !specification.longRunning && !specification.fills
}

/**
 * Returns the ready steps of urgent work that are not done.
 * @param jobs The jobs.
 * @returns The steps.
 */
export function findUrgentSteps (jobs: Iterable<JobRecord>): StepRecord[] {
  const found: StepRecord[] = []
  for (const job of jobs) {
    if (job.submission.priority !== URGENT_PRIORITY || job.finalState !== null) continue
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) {
        if (step.tasks.remainingCount > 0 && isUrgent(step) && isStepReady(step)) found.push(step)
      }
    }
  }
  return found
}

function getPiece (steps: readonly StepRecord[]): number {
  const getSize = ({ specification }: StepRecord): number => specification.processorsMilli
  const sorted = steps.toSorted((left, right) => getSize(left) - getSize(right))
  let left = PIECE_PERCENTILE * sorted.reduce((sum, { tasks }) => sum + tasks.remainingCount, 0)
  for (const { tasks, specification } of sorted) {
    left -= tasks.remainingCount
    if (left <= 0) return specification.processorsMilli
  }
  return 0
}
