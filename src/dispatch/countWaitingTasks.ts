import type { AccountUsage } from '../accounts/index.js'
import { isStepReady, type JobRecord, type StepRecord, type TaskRecord } from '../jobs/index.js'
import type { WaitingReason } from './explainWaiting.js'
import { fitsAccountCap } from './fitsAccountCap.js'
import { getSizeKey } from './getSizeKey.js'

/** Why tasks wait, as far as this was found out. */
export type CountedReason = WaitingReason | 'not-examined'

/** Each explanation takes a pass over all workers; 20 of them took 7 to 24 ms with 246 workers. */
const EXPLAINED_LIMIT = 5

/**
 * Counts the tasks that wait for a start, by account and reason. The reason of one task stands for the others of its
 * account and size; those above a limit of explanations are counted as not examined.
 * @param jobs The jobs.
 * @param explain Returns why a task waits.
 * @returns The numbers of tasks of each account.
 */
export function countWaitingTasks (
  jobs: Iterable<JobRecord>, explain: (task: TaskRecord) => WaitingReason
): Map<AccountUsage, Map<CountedReason, number>> {
  const counts = new Map<AccountUsage, Map<CountedReason, number>>()
  const reasons = new Map<string, CountedReason>()
  let explainedCount = 0
  const getReason = (step: StepRecord): CountedReason => {
    if (!fitsAccountCap(step)) return 'account-cap'
    const { serviceName, queueName, accountName = '' } = step.occurrence.job.submission
    const key = `${serviceName} ${queueName} ${getSizeKey(step)} ${accountName}`
    const known = reasons.get(key)
    if (known !== undefined) return known
    const task = findIdleTask(step)
    if (task === null || explainedCount === EXPLAINED_LIMIT) return 'not-examined'
    explainedCount++
    const reason = explain(task)
    reasons.set(key, reason)
    return reason
  }
  for (const { account, finalState, occurrences } of jobs) {
    if (account === null || finalState !== null) continue
    for (const { steps } of occurrences.values()) {
      for (const step of steps) {
        const { idleCount } = step.tasks
        if (idleCount === 0 || !isStepReady(step)) continue
        const byReason = counts.get(account) ?? new Map<CountedReason, number>()
        counts.set(account, byReason)
        const reason = getReason(step)
        byReason.set(reason, (byReason.get(reason) ?? 0) + idleCount)
      }
    }
  }
  return counts
}

/** Returns a task of a step that waits and has a record, or null. */
function findIdleTask ({ tasks }: StepRecord): TaskRecord | null {
  for (const task of tasks.getAllCreated()) if (task.runs.length === 0) return task
  return null
}
