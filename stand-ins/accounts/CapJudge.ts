import type { AccountResources } from '../../src/accounts/index.js'
import type { StepSpecification } from '../../src/jobs/index.js'
import type { RunObserver } from '../platform/RunJudge.js'
import { CAPPED_RESOURCES, type CapHistory } from './CapHistory.js'

/** Options of a judge. */
export interface CapJudgeOptions {
  history: CapHistory
  /** Returns the account of the job of a task, or null for a job without one. */
  getAccountName (taskName: string): string | null
  /** Returns what a task asks for; the processors of best-effort tasks count, although they reserve none. */
  getResources (taskName: string): AccountResources
}

/** A start may exceed the cap by this share and by its own task, on the pages `quotaOvershoot`. */
const OVERSHOOT_SHARE = 0.1

/**
 * Test oracle for the caps of client accounts: it counts what the workers run for each account, whatever the owner
 * knows of it, and reports starts above the highest cap that may be in force.
 */
export class CapJudge implements RunObserver {
  readonly violations: string[] = []
  private readonly usages = new Map<string, AccountResources>()
  /** The number of starts of jobs with an account. */
  startCount = 0

  private constructor (private readonly options: CapJudgeOptions) {}

  /**
   * Creates a judge of a site on which nothing runs.
   * @param options The caps, and what is known of tasks.
   * @returns The judge.
   */
  static create (options: CapJudgeOptions): CapJudge {
    return new CapJudge(options)
  }

  recordStart (taskName: string, attempt: number, workerId: string, isLate: boolean): void {
    const accountName = this.options.getAccountName(taskName)
    if (accountName === null) return
    this.startCount++
    const task = this.options.getResources(taskName)
    const usage = this.getUsage(accountName)
    const cap = this.options.history.getHighest(accountName)
    for (const resource of CAPPED_RESOURCES) {
      const limit = (cap?.[resource] ?? Infinity) * (1 + OVERSHOOT_SHARE)
      // The start brings the account above this limit plus one task when the account was above the limit before.
      if (task[resource] === 0 || usage[resource] <= limit) continue
      this.violations.push(
        `quota: account ${accountName} has ${usage[resource]} ${resource}, limit ${Math.round(limit)}, and starts ` +
        `${task[resource]}: ${taskName} run ${attempt} on ${workerId}${isLate ? ', executed late' : ''}`)
      break
    }
    this.add(accountName, task, 1)
  }

  recordRunEnd (taskName: string): void {
    const accountName = this.options.getAccountName(taskName)
    if (accountName !== null) this.add(accountName, this.options.getResources(taskName), -1)
  }

  /** Returns what the workers run for an account. */
  getUsage (accountName: string): AccountResources {
    return this.usages.get(accountName) ?? { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }
  }

  /**
   * Returns whether the tasks of a step may wait for the cap of an account: the account uses at least half of it, or a
   * gang as a whole does not fit, whose members start together.
   * @param accountName The account; null for none, which has no cap.
   * @param step The step.
   */
  mayWait (accountName: string | null, step: StepSpecification): boolean {
    if (accountName === null) return false
    const usage = this.getUsage(accountName)
    const cap = this.options.history.getLowest(accountName)
    return CAPPED_RESOURCES.some(resource => {
      const limit = cap?.[resource] ?? Infinity
      const gang = step.gang ? step.taskCount * step[resource] : 0
      return usage[resource] >= limit / 2 || usage[resource] + gang > limit
    })
  }

  private add (accountName: string, task: AccountResources, sign: 1 | -1): void {
    const usage = { ...this.getUsage(accountName) }
    for (const resource of CAPPED_RESOURCES) usage[resource] += sign * task[resource]
    this.usages.set(accountName, usage)
  }
}
