import type { RunRecord, StepRecord } from '../../jobs/index.js'
import type { AbandonedGang, DispatchObserver } from '../DispatchObserver.js'
import type { PendingOrders } from '../PendingOrders.js'
import type { WorkerRecord } from '../WorkerRecord.js'
import { GangAttempts } from './GangAttempts.js'
import { DEFAULT_GANG_TIMES, type GangTimes } from './GangTimes.js'
import { selectGangRunsToStop } from './selectGangRunsToStop.js'

/** Options of the starts of gangs. */
export interface GangStartsOptions {
  /** The limits of the platform; `DEFAULT_GANG_TIMES` by default. */
  times?: GangTimes
  /** All workers of the owner, which may change. */
  workers: ReadonlyMap<string, WorkerRecord>
  orders: PendingOrders
  observer: DispatchObserver
}

/** The attempts to start gangs, of which those that cannot complete are given up and stopped. */
export class GangStarts {
  readonly attempts: GangAttempts

  private constructor (private readonly options: GangStartsOptions) {
    this.attempts = GangAttempts.create(options.times ?? DEFAULT_GANG_TIMES)
  }

  /**
   * Creates an object without attempts.
   * @param options The limits of the platform, the workers and the orders.
   * @returns The object.
   */
  static create (options: GangStartsOptions): GangStarts {
    return new GangStarts(options)
  }

  /**
   * Gives up the attempts whose time is over.
   * @param now The monotonic time.
   */
  abandonOverdue (now: number): void {
    for (const { step, attempt } of this.attempts.takeOverdue(now)) this.abandon({ step, attempt, cause: 'overdue' }, now)
  }

  /**
   * Gives up the attempt of a run that is over, unless all members had started.
   * @param run The run.
   * @param cause Why the run is over.
   * @param now The monotonic time.
   */
  handleLostRun (run: RunRecord, cause: AbandonedGang['cause'], now: number): void {
    const { task: { step }, attempt } = run
    if (step.specification.gang) this.abandon({ step, attempt, cause }, now, run)
  }

  /**
   * Gives up the attempt of a member that has ended, unless all members had started.
   * @param step The step.
   * @param attempt The number of the attempt.
   * @param run The run of the member; undefined when it is not known.
   * @param now The monotonic time.
   */
  handleEnd (step: StepRecord, attempt: number, run: RunRecord | undefined, now: number): void {
    if (step.specification.gang) this.abandon({ step, attempt, cause: 'member-ended' }, now, run)
  }

  /** Withdraws the starts that are not sent and stops the members, whose wait for the others would be in vain. */
  private abandon (abandoned: Omit<AbandonedGang, 'pauseMilliseconds'>, now: number, endedRun?: RunRecord): void {
    const { workers, orders, observer } = this.options
    const { step, attempt } = abandoned
    const pauseMilliseconds = this.attempts.abandon(step, attempt, now, endedRun)
    if (pauseMilliseconds === null) return
    observer.onGangAbandoned({ ...abandoned, pauseMilliseconds })
    for (const run of selectGangRunsToStop(step, attempt)) {
      const worker = workers.get(run.workerId)
      if (worker !== undefined) orders.stop(worker, run)
    }
  }
}
