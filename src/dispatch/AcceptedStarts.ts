/** Accepted starts alone cause a plan only after this time since the last one. */
const PLAN_INTERVAL_MILLISECONDS = 50

/**
 * Decides when accepted starts cause a plan.
 *
 * An accepted start frees no capacity, so a plan just after the last one would place nothing. An owner that is short of
 * processor time would be late with starts if each one caused a plan.
 */
export class AcceptedStarts {
  private hasNew = false
  private plannedAt = -Infinity

  private constructor () {}

  /**
   * Creates an object that knows of no start and no plan.
   * @returns The object.
   */
  static create (): AcceptedStarts {
    return new AcceptedStarts()
  }

  /** Records that a worker has accepted a start. */
  add (): void {
    this.hasNew = true
  }

  /**
   * Returns whether accepted starts cause a plan now.
   * @param now The monotonic time.
   * @returns Whether there are some since the last plan, and that was some time ago.
   */
  requirePlan (now: number): boolean {
    return this.hasNew && now - this.plannedAt >= PLAN_INTERVAL_MILLISECONDS
  }

  /**
   * Records a plan, whatever its cause.
   * @param now The monotonic time.
   */
  recordPlan (now: number): void {
    this.hasNew = false
    this.plannedAt = now
  }
}
