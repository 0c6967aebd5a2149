import { hasLongRunningStep, isStepReady, type JobRecord, type TaskRecord } from '../jobs/index.js'
import { hasWaitingTask } from './hasWaitingTask.js'
import type { JobTable } from './JobTable.js'
import { LargeJobShare } from './LargeJobShare.js'
import { rankJobs } from './rankJobs.js'
import type { RestartReservations } from './RestartReservations.js'
import type { StartPlan } from './StartPlan.js'

/** The jobs of a plan and the conditions of their starts. */
export interface PlanContext {
  jobs: JobTable
  plan: StartPlan
  /** The number of restarts of long-running tasks that precede all other work. */
  restartLimit: number
  reservations: RestartReservations
  /** The shares of the large jobs by priority, kept across plans. */
  largeJobShares: Map<number, LargeJobShare>
  /** The time of day. */
  wallMilliseconds: number
  /** The monotonic time. */
  now: number
  /** Returns the service whose workers may run a job. */
  getServiceName (job: JobRecord): string
  /** Returns whether no unknown run of a task can exist. */
  mayStart (task: TaskRecord): boolean
}

/**
 * Places the waiting tasks of all jobs: restarts of long-running tasks first, then the jobs in the order of their rank.
 * @param context The jobs, the plan and the conditions.
 * @returns `plan-full` when tasks may be left because the plan has reached its limit of starts.
 */
export function placeWaitingTasks (context: PlanContext): 'complete' | 'plan-full' {
  const { jobs, plan, wallMilliseconds, now, mayStart } = context
  context.reservations.suspend(now)
  placeRestarts(context)
  context.reservations.resume(task => plan.getConditions(context.getServiceName(task.step.occurrence.job)))
  const startable = [...jobs.getJobs()].filter(job =>
    job.finalState === null && hasWaitingTask(job, wallMilliseconds, mayStart))
  for (const job of startable) jobs.createDueOccurrences(job, wallMilliseconds, now)
  for (const [priority, ranked] of groupByPriority(rankJobs(startable, wallMilliseconds))) {
    placeJobs(ranked, getLargeJobShare(context, priority), context)
    if (plan.isFull) return 'plan-full'
  }
  return plan.hasReachedStoredStartLimit ? 'plan-full' : 'complete'
}

/** Groups jobs that are sorted by priority. */
function groupByPriority (ranked: readonly JobRecord[]): Map<number, JobRecord[]> {
  const groups = new Map<number, JobRecord[]>()
  for (const job of ranked) {
    const { priority } = job.submission
    const group = groups.get(priority)
    if (group === undefined) groups.set(priority, [job])
    else group.push(job)
  }
  return groups
}

function getLargeJobShare ({ largeJobShares }: PlanContext, priority: number): LargeJobShare {
  const existing = largeJobShares.get(priority)
  if (existing !== undefined) return existing
  const share = LargeJobShare.create()
  largeJobShares.set(priority, share)
  return share
}

/** Places the jobs of one priority: the largest ones within their share, then all in the order of their rank. */
function placeJobs (ranked: readonly JobRecord[], share: LargeJobShare, context: PlanContext): void {
  const { plan, wallMilliseconds } = context
  let largeJobStarts = 0
  if (share.allowance > 0 && ranked.length > 1) {
    for (const job of share.selectJobs(ranked, wallMilliseconds)) {
      const remaining = share.allowance - largeJobStarts
      if (remaining <= 0 || plan.isFull) break
      largeJobStarts += plan.placeWithin(remaining, () => placeJob(job, context))
    }
  }
  let starts = largeJobStarts
  for (const job of ranked) {
    if (plan.isFull) break
    const countBefore = plan.startCount
    placeJob(job, context)
    if (!hasLongRunningStep(job)) starts += plan.startCount - countBefore
  }
  share.recordStarts(starts, largeJobStarts)
}

function placeRestarts (context: PlanContext): void {
  const { jobs, plan, restartLimit, reservations, getServiceName, mayStart } = context
  for (const task of jobs.waitingRestarts.getWaiting()) {
    if (plan.startCount >= restartLimit || plan.hasReachedStoredStartLimit) return
    const { job } = task.step.occurrence
    if (job.finalState !== null || !mayStart(task)) continue
    const serviceName = getServiceName(job)
    if (plan.placeRestart(task, serviceName)) reservations.release(task)
    else reservations.reserve(task, plan.workers, plan.getConditions(serviceName))
  }
}

function placeJob (job: JobRecord, { plan, getServiceName }: PlanContext): void {
  const serviceName = getServiceName(job)
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      if (step.tasks.remainingCount === 0 || !isStepReady(step)) continue
      plan.placeStep(step, serviceName)
      if (plan.isFull) return
    }
  }
}
