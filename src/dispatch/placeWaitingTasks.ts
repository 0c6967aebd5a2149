import { AccountShares, type AccountDirectory, type AccountUsage } from '../accounts/index.js'
import { isStepReady, type JobRecord, type OccurrenceRecord, type TaskRecord } from '../jobs/index.js'
import { fitsAccountCap } from './fitsAccountCap.js'
import { hasWaitingTask } from './hasWaitingTask.js'
import type { UrgentWorkProtection } from './headroom/UrgentWorkProtection.js'
import type { JobTable } from './JobTable.js'
import { hasStartedOccurrence, hasStartedTask } from './hasStartedTask.js'
import { compareSlack, getTotalWork, rankJobs, type GetRunTimeRatio, type RankedJob } from './rankJobs.js'
import type { RestartReservations } from './RestartReservations.js'
import { SizeClassShares } from './SizeClassShares.js'
import type { StartPlan } from './StartPlan.js'

/** The worth of a job that completes late, relative to one in time. */
const LATE_WORTH_SHARE = 0.15

/** A job that needs more of all processors than this until its objective is not expected to complete in time. */
const LARGEST_SITE_SHARE = 0.5

/** The jobs of a plan and the conditions of their starts. */
export interface PlanContext {
  jobs: JobTable
  /** The client accounts, whose shares count where the configuration has some. */
  accounts: AccountDirectory
  plan: StartPlan
  /** The number of restarts of long-running tasks that precede all other work. */
  restartLimit: number
  reservations: RestartReservations
  /** The shares of the classes of job sizes by priority, kept across plans. */
  sizeClassShares: Map<number, SizeClassShares>
  /** What gives way to urgent work in an overload; nothing by default. */
  protection?: UrgentWorkProtection
  /** Returns the learned ratio of run times to estimates; 1 by default. */
  getRunTimeRatio?: GetRunTimeRatio
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
  const hasWaitingRestart = placeRestarts(context)
  context.reservations.resume(task => plan.getConditions(context.getServiceName(task.step.occurrence.job)))
  context.protection?.placeReserved(context, hasWaitingRestart)
  const startable = [...jobs.getJobs()].filter(job =>
    job.finalState === null && hasWaitingTask(job, wallMilliseconds, mayStart))
  for (const job of startable) jobs.createDueOccurrences(job, wallMilliseconds, now)
  const startableWithinCap = startable.filter(isWithinCap)
  const accountShares = createAccountShares(startableWithinCap, context)
  const ranking = rankJobs(startableWithinCap, wallMilliseconds, context.getRunTimeRatio)
  for (const [priority, ranked] of groupByPriority(ranking)) {
    placeJobs(ranked, getSizeClassShares(context, priority), accountShares, context)
    if (plan.isFull) return 'plan-full'
  }
  context.protection?.handleWaitingJobs(ranking, context)
  return plan.hasReachedStoredStartLimit ? 'plan-full' : 'complete'
}

/** Returns whether the cap of the account of a job allows a start of any of its steps. */
function isWithinCap ({ account, submission: { specification: { steps } } }: JobRecord): boolean {
  if (account === null || !account.isAtCap) return true
  return steps.some(step => account.fits(step, step.gang ? step.taskCount : 1))
}

/** Returns the shares of the accounts with waiting or running work; null without accounts in the configuration. */
function createAccountShares (waiting: readonly JobRecord[], { accounts, plan }: PlanContext): AccountShares | null {
  if (!accounts.hasAccounts) return null
  const active = new Set<AccountUsage>(accounts.getAll().filter(account => account.isRunning))
  for (const { account } of waiting) if (account !== null) active.add(account)
  return AccountShares.create(plan.capacity, active)
}

/** Groups jobs that are sorted by priority. */
function groupByPriority (ranked: readonly RankedJob[]): Map<number, RankedJob[]> {
  const groups = new Map<number, RankedJob[]>()
  for (const row of ranked) {
    const group = groups.get(row.priority)
    if (group === undefined) groups.set(row.priority, [row])
    else group.push(row)
  }
  return groups
}

function getSizeClassShares ({ sizeClassShares }: PlanContext, priority: number): SizeClassShares {
  const existing = sizeClassShares.get(priority)
  if (existing !== undefined) return existing
  const shares = SizeClassShares.create()
  sizeClassShares.set(priority, shares)
  return shares
}

/**
 * Places the jobs of one priority: those that have begun and can end in time, the others that can, in the order of the
 * shares of their sizes, and all others in the order of their rank. Of a scheduled job, only the occurrences that have
 * begun come first, or one whose occurrences overlap would leave nothing to others.
 * A job that is too large for the site is among these, so that it delays no others by work that is wasted.
 *
 * With client accounts, jobs that have not begun of accounts within their share come before those of other accounts,
 * unless they are useless, long-running or too large; these follow last, again accounts within their share first.
 */
function placeJobs (
  ranked: readonly RankedJob[], shares: SizeClassShares, accountShares: AccountShares | null, context: PlanContext
): void {
  const { processorsMilli } = context.plan
  const begun: RankedJob[] = []
  const unstarted: RankedJob[] = []
  const others: RankedJob[] = []
  for (const row of ranked) {
    if (row.isLongRunning || isTooLarge(row, processorsMilli)) {
      others.push(row)
      continue
    }
    const isBegun = shouldComplete(row)
    if (isBegun) begun.push(row)
    if (isBegun && row.job.submission.specification.repeatCount === 0) continue
    if (row.timeliness.urgency === 'in-time') unstarted.push(row)
    else others.push(row)
  }
  placeInOrder(begun.flatMap(({ job }) => [...job.occurrences.values()].filter(hasStartedOccurrence)), context)
  if (accountShares === null) {
    placeUnstarted(unstarted, shares, () => true, context)
    return placeRanked(others, () => true, context)
  }
  const deferred = new Set<JobRecord>()
  const isWithinShare = (job: JobRecord): boolean => {
    const isWithin = job.account === null || accountShares.isWithinShare(job.account)
    if (!isWithin) deferred.add(job)
    return isWithin
  }
  const isDeferred = (job: JobRecord): boolean => deferred.has(job)
  const isLate = (row: RankedJob): boolean => row.timeliness.urgency === 'late' && !row.isLongRunning
  const late = others.filter(isLate)
  const last = others.filter(row => !isLate(row))
  placeUnstarted(unstarted, shares, isWithinShare, context)
  placeRanked(late, isWithinShare, context)
  placeUnstarted(unstarted.filter(({ job }) => isDeferred(job)), shares, () => true, context)
  placeRanked(late, isDeferred, context)
  placeRanked(last, isWithinShare, context)
  placeRanked(last, isDeferred, context)
}

/**
 * Places jobs that have not begun and can end in time, in the order of the shares of their sizes.
 * @param rows The jobs.
 * @param shares The shares of the classes of sizes.
 * @param isNext Returns whether a job is placed now; asked for each job after the starts before it.
 * @param context The plan.
 */
function placeUnstarted (
  rows: readonly RankedJob[], shares: SizeClassShares, isNext: (job: JobRecord) => boolean, context: PlanContext
): void {
  const { plan, now } = context
  const waiting = rows.toSorted(compareSlack).map(({ job, timeliness: { isStarved } }) => ({ job, isStarved }))
  for (const job of shares.selectJobs(waiting, now)) {
    if (!isNext(job)) continue
    const isScheduled = job.submission.specification.repeatCount > 0
    for (const occurrence of job.occurrences.values()) {
      if (plan.isFull) return
      if (isScheduled && hasStartedOccurrence(occurrence)) continue
      const { startCount } = plan
      placeOccurrence(occurrence, context)
      if (plan.startCount > startCount && hasStartedOccurrence(occurrence)) shares.recordStart(job)
    }
  }
}

/** Places jobs in the order of their rank; `isNext` is asked for each job after the starts before it. */
function placeRanked (rows: readonly RankedJob[], isNext: (job: JobRecord) => boolean, context: PlanContext): void {
  for (const { job } of rows) if (isNext(job)) placeInOrder([...job.occurrences.values()], context)
}

function placeInOrder (occurrences: readonly OccurrenceRecord[], context: PlanContext): void {
  for (const occurrence of occurrences) {
    if (context.plan.isFull) return
    placeOccurrence(occurrence, context)
  }
}

/** Returns whether a job needs so much of the site that it can hardly complete in time. */
function isTooLarge ({ remainingWork, timeliness }: RankedJob, processorsMilli: number): boolean {
  return timeliness.urgency === 'in-time' &&
    remainingWork > timeliness.remainingMilliseconds * processorsMilli * LARGEST_SITE_SHARE
}

/** Returns whether a job that has begun should be completed before others begin. */
function shouldComplete ({ job, timeliness: { urgency }, remainingWork }: RankedJob): boolean {
  if (urgency === 'useless' || !hasStartedTask(job)) return false
  return urgency === 'in-time' || remainingWork <= LATE_WORTH_SHARE * getTotalWork(job)
}

/** Returns whether a restart that could start has found no worker. */
function placeRestarts (context: PlanContext): boolean {
  const { jobs, plan, restartLimit, reservations, getServiceName, mayStart } = context
  let hasWaiting = false
  for (const task of jobs.waitingRestarts.getWaiting()) {
    if (plan.startCount >= restartLimit || plan.hasReachedStoredStartLimit) return true
    const { job } = task.step.occurrence
    if (job.finalState !== null || !mayStart(task)) continue
    if (!fitsAccountCap(task.step) || plan.isGangHeld(task.step)) continue
    const serviceName = getServiceName(job)
    if (plan.placeRestart(task, serviceName)) {
      reservations.release(task)
    } else {
      reservations.reserve(task, plan.workers, plan.getConditions(serviceName))
      hasWaiting = true
    }
  }
  return hasWaiting
}

function placeOccurrence ({ job, steps }: OccurrenceRecord, { plan, getServiceName }: PlanContext): void {
  const serviceName = getServiceName(job)
  for (const step of steps) {
    if (step.tasks.remainingCount === 0 || !isStepReady(step)) continue
    plan.placeStep(step, serviceName)
    if (plan.isFull) return
  }
}
