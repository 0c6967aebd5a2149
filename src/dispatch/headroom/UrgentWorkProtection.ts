import type { JobRecord, RunRecord } from '../../jobs/index.js'
import type { ChoiceConditions } from '../chooseWorker.js'
import { RunDisplacer } from '../displacement/RunDisplacer.js'
import type { DispatchObserver } from '../DispatchObserver.js'
import type { JobTable } from '../JobTable.js'
import type { GetRunTimeRatio, RankedJob } from '../rankJobs.js'
import type { WorkerRecord } from '../WorkerRecord.js'
import { AmpleRoom } from './AmpleRoom.js'
import { UrgentHeadroom } from './UrgentHeadroom.js'
import { UrgentReservations, type UrgentReservationContext } from './UrgentReservations.js'
import { WaitingSteps } from './WaitingSteps.js'

/** Options of a protection. */
export interface UrgentWorkProtectionOptions {
  /** Returns the observer, which receives the decisions. */
  getObserver (): DispatchObserver
  getServiceName (job: JobRecord): string
  /** Returns the learned ratio of run times to estimates; 1 by default. */
  getRunTimeRatio?: GetRunTimeRatio
  /** Stops a run, so that its task waits again. */
  stop (worker: WorkerRecord, run: RunRecord): void
}

/** The state of the plan that the protection uses. */
export interface ProtectionContext extends UrgentReservationContext {
  jobs: JobTable
  /** The monotonic time. */
  now: number
  /** The time of day. */
  wallMilliseconds: number
}

/** What gives way to urgent work and to work that can still be in time, where the deployment enables it. */
export class UrgentWorkProtection {
  readonly headroom: UrgentHeadroom
  private readonly reservations = UrgentReservations.create()
  private readonly waitingSteps = WaitingSteps.create()
  private readonly displacer: RunDisplacer
  private readonly ampleRoom = AmpleRoom.create()

  private constructor (options: UrgentWorkProtectionOptions) {
    this.displacer = RunDisplacer.create(options)
    this.headroom = UrgentHeadroom.create({
      ...options, isOverdue: (step, serviceName, now) => this.ampleRoom.isOverdue(step, serviceName, now)
    })
  }

  /**
   * Creates a protection that has seen no work.
   * @param options The observer and the services of jobs.
   * @returns The protection.
   */
  static create (options: UrgentWorkProtectionOptions): UrgentWorkProtection {
    return new UrgentWorkProtection(options)
  }

  /**
   * Places urgent tasks with reserved workers.
   * @param context The plan, after the restarts.
   * @param hasWaitingRestart Whether a restart has found no worker.
   */
  placeReserved (context: ProtectionContext, hasWaitingRestart: boolean): void {
    this.reservations.place(context, hasWaitingRestart)
  }

  /**
   * Handles the jobs whose tasks have found no capacity.
   * @param ranked The jobs that had waiting tasks before the plan.
   * @param context The plan, which has placed all tasks that fit.
   */
  handleWaitingJobs (ranked: readonly RankedJob[], context: ProtectionContext): void {
    const { plan, reservations, getServiceName, mayStart, now, wallMilliseconds } = context
    const waiting = this.waitingSteps.look(ranked, mayStart, now)
    if (waiting === null) return
    const getConditions = (job: JobRecord): ChoiceConditions => plan.getConditions(getServiceName(job))
    if (this.ampleRoom.look(ranked, plan.workers, getConditions, now)) this.reservations.releaseAll(reservations)
    else this.reservations.reserve(waiting, context)
    this.displacer.displace(waiting, {
      jobs: context.jobs.getJobs(), workers: plan.workers, getConditions, mayStart, now, wallMilliseconds
    })
  }
}
