import { isStepReady, type JobRecord, type TaskRecord } from '../jobs/index.js'
import { hasWaitingTask } from './hasWaitingTask.js'
import type { JobTable } from './JobTable.js'
import { rankJobs } from './rankJobs.js'
import type { StartPlan } from './StartPlan.js'

/** The jobs of a plan and the conditions of their starts. */
export interface PlanContext {
  jobs: JobTable
  plan: StartPlan
  /** The number of restarts of long-running tasks that precede all other work. */
  restartLimit: number
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
  placeRestarts(context)
  const startable = [...jobs.getJobs()].filter(job =>
    job.finalState === null && hasWaitingTask(job, wallMilliseconds, mayStart))
  for (const job of rankJobs(startable, wallMilliseconds)) {
    jobs.createDueOccurrences(job, wallMilliseconds, now)
    placeJob(job, context)
    if (plan.isFull) return 'plan-full'
  }
  return plan.hasReachedStoredStartLimit ? 'plan-full' : 'complete'
}

function placeRestarts ({ jobs, plan, restartLimit, getServiceName, mayStart }: PlanContext): void {
  for (const task of jobs.waitingRestarts.getWaiting()) {
    if (plan.startCount >= restartLimit || plan.hasReachedStoredStartLimit) return
    const { job } = task.step.occurrence
    if (job.finalState === null && mayStart(task)) plan.placeRestart(task, getServiceName(job))
  }
}

function placeJob (job: JobRecord, { plan, getServiceName }: PlanContext): void {
  const serviceName = getServiceName(job)
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      if (step.doneCount === step.tasks.length || !isStepReady(step)) continue
      plan.placeStep(step, serviceName)
      if (plan.isFull) return
    }
  }
}
