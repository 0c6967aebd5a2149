import type { AccountDirectory, AccountResources, AccountUsage } from '../accounts/index.js'
import type { JobRecord, StepSpecification } from '../jobs/index.js'
import type { JobTable } from './JobTable.js'
import type { UnreconciledWorkers } from './UnreconciledWorkers.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Plans run within 8 ms of each change, and a count looks at the steps of all recovered jobs. */
const COUNT_INTERVAL_MILLISECONDS = 100

/** Options of a counter. */
export interface UnseenRunsOptions {
  jobs: JobTable
  accounts: AccountDirectory
  unreconciled: UnreconciledWorkers
  /** All workers of the owner, which may change. */
  workers: ReadonlyMap<string, WorkerRecord>
}

/** What the tasks of one account that may have unseen runs ask for together. */
interface UnseenTotals extends AccountResources {
  /** Thousandths of a processor of best-effort tasks; `processorsMilli` has those of the other tasks only. */
  bestEffortMilli: number
  /** The most that one of these best-effort tasks asks for. */
  largestBestEffortMilli: number
}

/** The most that can run on the workers that are not reconciled. */
interface UnreconciledCapacity extends AccountResources {
  workerCount: number
}

/**
 * Counts the runs that earlier owners may have left on workers that are not reconciled, for the caps of accounts.
 *
 * Answers a takeover while some workers do not respond: an account must not start its cap again beside runs there.
 */
export class UnseenRuns {
  private nextCountAt = -Infinity
  private countedRecoveries = -1
  private hasCounted = false

  private constructor (private readonly options: UnseenRunsOptions) {}

  /**
   * Creates a counter.
   * @param options The jobs, the accounts and the workers.
   * @returns The counter.
   */
  static create (options: UnseenRunsOptions): UnseenRuns {
    return new UnseenRuns(options)
  }

  /** Makes the next update count, after a change of the caps. */
  invalidate (): void {
    this.nextCountAt = -Infinity
  }

  /**
   * Updates the accounts unless the last count is recent and no job of an earlier owner was added since.
   * @param now The monotonic time.
   * @param wallMilliseconds The time of day.
   */
  update (now: number, wallMilliseconds: number): void {
    const { jobs, accounts, unreconciled } = this.options
    const isNeeded = accounts.hasCaps && !unreconciled.isEmpty
    if (!isNeeded && !this.hasCounted) return
    if (isNeeded && now < this.nextCountAt && jobs.recoveryCount === this.countedRecoveries) return
    this.nextCountAt = now + COUNT_INTERVAL_MILLISECONDS
    this.countedRecoveries = jobs.recoveryCount
    this.hasCounted = isNeeded
    const totals = isNeeded ? this.count(now, wallMilliseconds) : new Map<AccountUsage, UnseenTotals>()
    const capacity = this.getUnreconciledCapacity()
    for (const account of accounts.getAll()) {
      account.setUnseen(limitTotals(totals.get(account) ?? createTotals(), capacity))
    }
  }

  private count (now: number, wallMilliseconds: number): Map<AccountUsage, UnseenTotals> {
    const { jobs } = this.options
    const totals = new Map<AccountUsage, UnseenTotals>()
    const add = (account: AccountUsage | null, specification: StepSpecification, taskCount: number): void => {
      if (account === null || taskCount === 0) return
      const sum = totals.get(account) ?? createTotals()
      totals.set(account, sum)
      addTasks(sum, specification, taskCount)
    }
    for (const job of jobs.getJobs()) {
      if (!job.recovered) continue
      // An earlier owner may have started tasks of occurrences that this one has not created yet.
      if (job.finalState === null) jobs.createDueOccurrences(job, wallMilliseconds, now)
      this.countTasks(job, add)
    }
    for (const { account, specification, taskCount } of jobs.getEndedRecoveredTasks()) {
      add(account, specification, taskCount)
    }
    return totals
  }

  private countTasks (
    job: JobRecord, add: (account: AccountUsage | null, specification: StepSpecification, taskCount: number) => void
  ): void {
    for (const { steps } of job.occurrences.values()) {
      for (const { specification, tasks } of steps) {
        const mayNewTasksRun = !(specification.longRunning && job.hasStoredAssignments)
        let taskCount = mayNewTasksRun ? tasks.remainingCount - tasks.createdCount : 0
        for (const task of tasks.getAllCreated()) {
          if (task.runs.length === 0 && this.options.unreconciled.mayRun(task)) taskCount++
        }
        add(job.account, specification, taskCount)
      }
    }
  }

  private getUnreconciledCapacity (): UnreconciledCapacity {
    const { unreconciled, workers } = this.options
    const sum = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0, workerCount: 0 }
    for (const workerId of unreconciled.getExpiries().keys()) {
      const capacity = workers.get(workerId)?.entry.capacity
      const isKnown = capacity !== undefined && capacity.processorsMilli > 0
      sum.workerCount++
      sum.processorsMilli += isKnown ? capacity.processorsMilli : Infinity
      sum.memoryMegabytes += isKnown ? capacity.memoryMegabytes : Infinity
      sum.accelerators += isKnown ? capacity.accelerators : Infinity
    }
    return sum
  }
}

function createTotals (): UnseenTotals {
  return { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0, bestEffortMilli: 0, largestBestEffortMilli: 0 }
}

function addTasks (sum: UnseenTotals, specification: StepSpecification, taskCount: number): void {
  const { processorsMilli, memoryMegabytes, accelerators, fills } = specification
  if (fills) {
    sum.bestEffortMilli += taskCount * processorsMilli
    sum.largestBestEffortMilli = Math.max(sum.largestBestEffortMilli, processorsMilli)
  } else {
    sum.processorsMilli += taskCount * processorsMilli
  }
  sum.memoryMegabytes += taskCount * memoryMegabytes
  sum.accelerators += taskCount * accelerators
}

/**
 * Limits totals to what the workers can run. Best-effort tasks of a worker request its unused processors at most, and
 * one of them any number, see `hasUnusedProcessors`.
 */
function limitTotals (totals: UnseenTotals, capacity: UnreconciledCapacity): AccountResources {
  const { largestBestEffortMilli } = totals
  const excessMilli = largestBestEffortMilli > 0 ? capacity.workerCount * largestBestEffortMilli : 0
  return {
    processorsMilli: Math.min(totals.processorsMilli, capacity.processorsMilli) +
      Math.min(totals.bestEffortMilli, capacity.processorsMilli + excessMilli),
    memoryMegabytes: Math.min(totals.memoryMegabytes, capacity.memoryMegabytes),
    accelerators: Math.min(totals.accelerators, capacity.accelerators)
  }
}
