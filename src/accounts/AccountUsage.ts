import type { AccountResources, ClientAccount } from './ClientAccount.js'

const RESOURCES = ['processorsMilli', 'memoryMegabytes', 'accelerators'] as const
/** Tolerance for rounding in sums of fractions. */
const ROUNDING_MARGIN = 1e-6

/** A run of which it matters whether its worker has confirmed its start. */
export interface CountedRun {
  /** The time of the confirmation; null while the start may still be executed. */
  readonly confirmedAt: number | null
}

/**
 * What one client account has running on all workers, and its cap.
 *
 * A run counts from the decision to start it until it is known to be over, whatever its state. Runs that a new owner
 * has not seen yet are counted by an estimate, which is replaced as a whole.
 */
export class AccountUsage {
  weight = 1
  cap: Readonly<AccountResources> = createResources()
  private readonly running = createResources()
  private runCount = 0
  /** The runs with what they reserve, as far as their starts can be told apart. */
  private readonly runs = new Map<CountedRun, AccountResources>()
  private unseen: Readonly<AccountResources> = createResources()

  private constructor (readonly name: string | null) {}

  /**
   * Creates the usage of an account that has nothing running and no cap.
   * @param name The name of the account; null for all jobs without one.
   * @returns The usage.
   */
  static create (name: string | null): AccountUsage {
    return new AccountUsage(name)
  }

  /**
   * Applies the configured weight and cap; what is running above a lower cap goes on.
   * @param account The account.
   */
  configure ({ weight, cap }: ClientAccount): void {
    this.weight = weight
    this.cap = { ...cap }
  }

  /**
   * Counts a run.
   * @param resources What the run reserves, with the processors that a best-effort run requests.
   * @param run The run; absent for one that a worker has listed.
   */
  add (resources: AccountResources, run?: CountedRun): void {
    this.runCount++
    if (run !== undefined) this.runs.set(run, resources)
    addResources(this.running, resources, 1)
  }

  /**
   * Counts a run no longer, because it is known to be over.
   * @param resources What was added for the run.
   * @param run The run, if it was added.
   */
  remove (resources: AccountResources, run?: CountedRun): void {
    this.runCount--
    if (run !== undefined) this.runs.delete(run)
    // Sums of fractions do not return to exactly 0.
    if (this.runCount === 0) Object.assign(this.running, createResources())
    else addResources(this.running, resources, -1)
  }

  /**
   * Replaces the estimate of the runs that this owner has not seen.
   * @param resources What these runs reserve at most.
   */
  setUnseen (resources: AccountResources): void {
    this.unseen = resources
  }

  /** What is running, or may be. */
  get used (): AccountResources {
    const { running, unseen } = this
    return {
      processorsMilli: running.processorsMilli + unseen.processorsMilli,
      memoryMegabytes: running.memoryMegabytes + unseen.memoryMegabytes,
      accelerators: running.accelerators + unseen.accelerators
    }
  }

  /** Whether the account has runs, or may have some that this owner has not seen. */
  get isRunning (): boolean {
    return this.runCount > 0 || this.unseen.processorsMilli > 0 || this.unseen.memoryMegabytes > 0
  }

  /** Whether the account has a cap on any resource. */
  get hasCap (): boolean {
    const { processorsMilli, memoryMegabytes, accelerators } = this.cap
    return processorsMilli > 0 || memoryMegabytes > 0 || accelerators > 0
  }

  /** Whether the account has reached its cap on some resource, so that a run that ends may not be replaced. */
  get isAtCap (): boolean {
    return this.hasCap && (this.isReached('processorsMilli', 0) || this.isReached('memoryMegabytes', 0) ||
      this.isReached('accelerators', 0))
  }

  /**
   * Returns whether tasks of one size may start together.
   *
   * Starts are allowed while the account is below its cap, so that it exceeds the cap by less than one task. Platforms
   * allow for one task, and tasks that must fit below the cap would wait behind smaller ones that take what is left.
   * They allow for the size of the task that starts: a smaller one whose start is executed later must not find the
   * account further above its cap than by its own size.
   * @param resources What one task asks for.
   * @param count The number of tasks.
   * @returns Whether the account is below its cap before the last of the starts, and then above it by no more than each
   * start asks for that may still be executed.
   */
  fits (resources: AccountResources, count = 1): boolean {
    if (!this.hasCap) return true
    const isReached = RESOURCES.some(resource => this.isReachedBefore(resource, resources, count))
    return !isReached && !this.exceedsOpenStarts(resources, count)
  }

  private isReachedBefore (resource: keyof AccountResources, resources: AccountResources, count: number): boolean {
    return resources[resource] > 0 && this.isReached(resource, resources[resource] * (count - 1))
  }

  /** Returns whether starts would bring the account further above its cap than an open start asks for. */
  private exceedsOpenStarts (resources: AccountResources, count: number): boolean {
    const excess = RESOURCES.map(resource => this.getExcess(resource, resources[resource] * count))
    if (excess.every(amount => amount <= ROUNDING_MARGIN)) return false
    const exceeds = (open: AccountResources): boolean =>
      RESOURCES.some((resource, index) => excess[index] > open[resource] + ROUNDING_MARGIN)
    // The sizes of starts that an earlier owner may have sent are not known.
    if (RESOURCES.some(resource => this.unseen[resource] > 0)) return true
    for (const [{ confirmedAt }, open] of this.runs) if (confirmedAt === null && exceeds(open)) return true
    return false
  }

  private getExcess (resource: keyof AccountResources, added: number): number {
    const cap = this.cap[resource]
    return cap > 0 && added > 0 ? this.running[resource] + this.unseen[resource] + added - cap : 0
  }

  private isReached (resource: keyof AccountResources, added: number): boolean {
    const cap = this.cap[resource]
    return cap > 0 && this.running[resource] + this.unseen[resource] + added + ROUNDING_MARGIN >= cap
  }
}

function createResources (): AccountResources {
  return { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }
}

function addResources (sum: AccountResources, resources: AccountResources, sign: 1 | -1): void {
  sum.processorsMilli += sign * resources.processorsMilli
  sum.memoryMegabytes += sign * resources.memoryMegabytes
  sum.accelerators += sign * resources.accelerators
}
