import type { JobSubmission } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import type { ElapsedTime } from '../shared/ElapsedTime.js'
import { decideAdmission, getDraw, type AdmissionDecision } from './decideAdmission.js'
import type { LoadSummary } from './LoadSummary.js'

/** Options of an admission control. */
export interface AdmissionControlOptions {
  clock: Clock
  /** Returns a number from 0 to 1. */
  random (): number
  /** Returns the epoch of the owner that the store was last seen to name; 0 for none. */
  getObservedEpoch (): number
  /** Returns the load that this process measures as the owner; null for another process. */
  getOwnSummary (): LoadSummary | null
}

/** Decides in any instance which jobs are admitted, by the load that the owner publishes. */
export class AdmissionControl {
  private received: { summary: LoadSummary, since: ElapsedTime } | null = null
  private highestEpoch = 0

  private constructor (private readonly options: AdmissionControlOptions) {}

  /**
   * Creates a control that admits all jobs until it gets a summary.
   * @param options The clock and the owner.
   * @returns The control.
   */
  static create (options: AdmissionControlOptions): AdmissionControl {
    return new AdmissionControl(options)
  }

  /**
   * Records a summary that the owner has sent.
   * @param summary The summary.
   * @param since The time since the request for it was sent.
   */
  record (summary: LoadSummary, since: ElapsedTime): void {
    this.highestEpoch = Math.max(this.highestEpoch, summary.epoch)
    if (summary.epoch === this.highestEpoch) this.received = { summary, since }
  }

  /**
   * Decides whether a job is admitted.
   * @param submission The job.
   * @returns The decision.
   */
  decide (submission: JobSubmission): AdmissionDecision {
    const { random, getObservedEpoch, getOwnSummary } = this.options
    const ownSummary = getOwnSummary()
    const summary = ownSummary ?? this.received?.summary ?? null
    const elapsed = ownSummary === null ? this.received?.since.getMilliseconds() ?? 0 : 0
    return decideAdmission({
      summary,
      summaryAge: elapsed + (summary?.ageMilliseconds ?? 0),
      ownerEpoch: Math.max(this.highestEpoch, getObservedEpoch()),
      submission,
      draw: getDraw(submission.jobId),
      random: random()
    })
  }
}
