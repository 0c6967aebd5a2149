import { isStepReady, type StepRecord, type TaskRecord } from '../../jobs/index.js'
import { fitsAccountCap } from '../fitsAccountCap.js'
import type { RankedJob } from '../rankJobs.js'

/** Interval at which waiting steps are looked for. */
const LOOK_INTERVAL_MILLISECONDS = 100
/** A step waits for capacity, rather than for the next plan or the end of a task, after this time. */
const WAIT_MILLISECONDS = 500

/** A step of a job that can still be in time, with tasks that have found no capacity. */
export interface WaitingStep {
  step: StepRecord
  /** The monotonic time since which each look has found tasks of the step waiting. */
  since: number
}

/** Finds the steps of short jobs that can still be in time and whose tasks have waited for capacity. */
export class WaitingSteps {
  private since = new Map<StepRecord, number>()
  private nextLookAt = -Infinity

  private constructor () {}

  /**
   * Creates an object that has found no steps.
   * @returns The object.
   */
  static create (): WaitingSteps {
    return new WaitingSteps()
  }

  /**
   * Looks for steps after a plan that has placed all tasks that fit.
   * @param ranked The jobs that had waiting tasks before the plan, highest rank first.
   * @param mayStart Returns whether no unknown run of a task can exist.
   * @param now The monotonic time.
   * @returns The steps that have waited for long, in the order of their jobs; null when it is too early for a look.
   */
  look (
    ranked: readonly RankedJob[], mayStart: (task: TaskRecord) => boolean, now: number
  ): WaitingStep[] | null {
    if (now < this.nextLookAt) return null
    this.nextLookAt = now + LOOK_INTERVAL_MILLISECONDS
    const since = new Map<StepRecord, number>()
    for (const { job, isLongRunning, timeliness: { urgency, isStarved } } of ranked) {
      if (isLongRunning || urgency !== 'in-time' || isStarved || job.finalState !== null) continue
      for (const { steps } of job.occurrences.values()) {
        for (const step of steps) {
          if (step.specification.gang || !step.tasks.hasIdle() || !isStepReady(step)) continue
          // The cap of its account keeps the step waiting, whatever capacity is free.
          if (!fitsAccountCap(step)) continue
          if (step.tasks.hasWaiting(mayStart)) since.set(step, this.since.get(step) ?? now)
        }
      }
    }
    this.since = since
    return [...since].filter(([, at]) => now - at >= WAIT_MILLISECONDS).map(([step, at]) => ({ step, since: at }))
  }
}
